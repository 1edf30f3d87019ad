#include "Requests.h"

#include <array>
#include <fmt/format.h>

namespace wasabivale::malformed {

namespace {

std::size_t upTo(Random &Rng, std::size_t Most) {
  return std::uniform_int_distribution<std::size_t>(0, Most)(Rng);
}

template <std::size_t Count>
const char *oneOf(const std::array<const char *, Count> &From, Random &Rng) {
  return From[upTo(Rng, Count - 1)];
}

std::string randomBytes(Random &Rng, std::size_t Most) {
  std::string Bytes(upTo(Rng, Most), '\0');
  for (char &Byte : Bytes)
    Byte = static_cast<char>(upTo(Rng, 255));
  return Bytes;
}

std::string withBody(const Valid &From, const std::string &Body) {
  std::string Head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n";
  if (!From.m_Key.empty())
    Head += "Authorization: Bearer " + From.m_Key + "\r\n";
  return Head + fmt::format("Content-Length: {}\r\n\r\n", Body.size()) + Body;
}

std::string goodBody(const Valid &From) {
  return fmt::format(
      R"({{"model":"{}","prompt":"good","max_tokens":2,"stream":false}})",
      From.m_Model);
}

std::string noise(const Valid &, Random &Rng) {
  constexpr std::size_t Most = 4000;
  return randomBytes(Rng, Most) + "\r\n\r\n";
}

std::string requestLine(const Valid &, Random &Rng) {
  static constexpr std::array<const char *, 10> Lines = {
      "GET",
      "GET /",
      "POST  /v1/completions HTTP/1.1",
      "G\tET / HTTP/1.1",
      "GET / HTTP/1.1 HTTP/1.1",
      "GET / HTTP/0.0",
      "get / http/1.1",
      "GET http://[::1 HTTP/1.1",
      "GET /%zz%00 HTTP/1.1",
      " / HTTP/1.1"};
  return std::string(oneOf(Lines, Rng)) + "\r\nHost: x\r\n\r\n";
}

std::string headers(const Valid &, Random &Rng) {
  static constexpr std::array<const char *, 9> Headers = {
      "nocolon",
      ": novalue",
      "a b: c",
      "\tfolded",
      "Content-Length: 1e9",
      "Content-Length: -1",
      "Content-Length: 99999999999999999999",
      "Transfer-Encoding: chunked, gzip",
      "Expect: 100-continue"};
  std::string Text = "POST /v1/completions HTTP/1.1\r\n";
  for (std::size_t I = upTo(Rng, 4); I > 0; --I)
    Text += std::string(oneOf(Headers, Rng)) + "\r\n";
  return Text + randomBytes(Rng, 64) + "\r\n\r\n";
}

std::string chunks(const Valid &, Random &Rng) {
  static constexpr std::array<const char *, 8> Sizes = {
      "zz", "-1", "ffffffffffffffff", "7fffffff", "5;x=y", "", "5", "0"};
  std::string Text =
      "POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t I = upTo(Rng, 5); I > 0; --I)
    Text +=
        std::string(oneOf(Sizes, Rng)) + "\r\n" + randomBytes(Rng, 12) + "\r\n";
  return Text;
}

std::string truncated(const Valid &From, Random &Rng) {
  const std::string Whole = goodRequest(From);
  return Whole.substr(0, upTo(Rng, Whole.size() - 1));
}

std::string flipped(const Valid &From, Random &Rng) {
  std::string Bytes = goodRequest(From);
  for (std::size_t I = upTo(Rng, 6) + 1; I > 0; --I)
    Bytes[upTo(Rng, Bytes.size() - 1)] = static_cast<char>(upTo(Rng, 255));
  return Bytes;
}

std::string oversized(const Valid &From, Random &Rng) {
  constexpr std::size_t MuchHeader = 40'000;
  constexpr std::size_t MuchBody = 200'000;
  if (upTo(Rng, 1) == 0)
    return "GET / HTTP/1.1\r\nX: " + std::string(MuchHeader, 'x') + "\r\n\r\n";
  return withBody(From, std::string(MuchBody, '{'));
}

std::string badJson(const Valid &From, Random &Rng) {
  static constexpr std::array<const char *, 12> Bodies = {
      "",
      "{",
      "[]",
      "null",
      "{\"model\":}",
      "{\"model\":\"\xFF\xFE\"}",
      "{\"model\":\"\xED\xA0\x80\",\"prompt\":\"x\"}",
      "{\"model\":{},\"prompt\":[]}",
      "{\"model\":\"m\",\"max_tokens\":1e999}",
      "{\"model\":\"m\",\"prompt\":\"\\ud800\"}",
      "{\"model\":\"m\",\"model\":\"m\",\"n\":-1}",
      "{\"a\":\"\\u0000\"}"};
  if (upTo(Rng, 3) == 0)
    return withBody(From, std::string(upTo(Rng, 20'000), '['));
  std::string Body = oneOf(Bodies, Rng);
  if (upTo(Rng, 3) == 0)
    Body += std::string(1, '\0') + randomBytes(Rng, 32);
  return withBody(From, Body);
}

std::string pipelined(const Valid &From, Random &Rng) {
  std::string All;
  for (std::size_t I = upTo(Rng, 4) + 1; I > 0; --I)
    All += upTo(Rng, 1) == 0 ? badJson(From, Rng) : requestLine(From, Rng);
  return All + noise(From, Rng);
}

} // namespace

std::string goodRequest(const Valid &From) {
  return withBody(From, goodBody(From));
}

std::string badRequest(const Valid &From, Random &Rng) {
  using Maker = std::string (*)(const Valid &, Random &);
  static constexpr std::array<Maker, 9> Makers = {
      noise,   requestLine, headers, chunks,   truncated,
      flipped, oversized,   badJson, pipelined};
  return Makers[upTo(Rng, Makers.size() - 1)](From, Rng);
}

} // namespace wasabivale::malformed
