#include "Text.h"
#include "World.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace wasabivale;
using namespace wasabivale::entry;
using namespace wasabivale::entry::test;

namespace {

constexpr std::size_t MuchHeader = 9'000;
constexpr std::size_t MuchBody = 300'000;

/// Sends bytes on a connection of its own. \returns what came back until the
/// entry closed it or \p Wanted answers had come.
std::string raw(World &In, const std::string &Bytes, std::size_t Wanted = 1,
                bool HalfClose = false) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in Peer{};
  Peer.sin_family = AF_INET;
  Peer.sin_port = htons(CallersPort);
  inet_pton(AF_INET, "127.0.0.1", &Peer.sin_addr);
  (void)::connect(Socket, reinterpret_cast<sockaddr *>(&Peer), sizeof(Peer));
  std::string Got;
  std::size_t Sent = 0;
  const auto Answers = [&Got] {
    std::size_t Count = 0;
    for (std::size_t At = Got.find("HTTP/1.1 "); At != std::string::npos;
         At = Got.find("HTTP/1.1 ", At + 1))
      ++Count;
    return Count;
  };
  In.m_Loop.until([&] {
    while (Sent < Bytes.size()) {
      const auto More = ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent,
                               MSG_NOSIGNAL);
      if (More <= 0)
        break;
      Sent += static_cast<std::size_t>(More);
      if (Sent == Bytes.size() && HalfClose)
        ::shutdown(Socket, SHUT_WR);
    }
    char Buffer[4096];
    const auto Read = ::recv(Socket, Buffer, sizeof(Buffer), 0);
    if (Read > 0)
      Got.append(Buffer, static_cast<std::size_t>(Read));
    return Read == 0 || (Read < 0 && errno == ECONNRESET) ||
           (Answers() >= Wanted && (Got.find('}') != std::string::npos ||
                                    Got.find(" 100 ") != std::string::npos));
  });
  ::close(Socket);
  return Got;
}

std::string post(const std::string &Body, const std::string &More = "",
                 const std::string &Path = "/v1/completions") {
  return fmt::format("POST {} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                     "{}\r\n{}Content-Length: {}\r\n\r\n{}",
                     Path, Key, More, Body.size(), Body);
}

const std::string Good = R"({"model":"gourd-8b","prompt":"hi","max_tokens":2})";

std::string nested(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

struct Row {
  const char *m_Story;
  std::string m_Bytes;
  int m_Status;
  const char *m_Reason;
};

const Row Contract[] = {
    {"good", post(Good), 200, ""},
    {"no request line", "hello\r\n\r\n", 400, "malformed_request"},
    {"binary", std::string("\0\1\2\3\r\n\r\n", 8), 400, "malformed_request"},
    {"bad version", "GET / HTTP/9.9.9\r\n\r\n", 400, "malformed_request"},
    {"header without colon", "GET /v1/models HTTP/1.1\r\nnocolon\r\n\r\n", 400,
     "malformed_request"},
    {"unknown method", "BREW /v1/models HTTP/1.1\r\n\r\n", 405,
     "method_not_allowed"},
    {"wrong method", "GET /v1/completions HTTP/1.1\r\n\r\n", 405,
     "method_not_allowed"},
    {"wrong method for models", post("{}", "", "/v1/models"), 405,
     "method_not_allowed"},
    {"unknown path", "GET /v2/x HTTP/1.1\r\n\r\n", 404, "unknown_path"},
    {"service without a name", post("{}", "", "/v1/services/"), 404,
     "unknown_path"},
    {"no key", "GET /v1/models HTTP/1.1\r\n\r\n", 401, "missing_key"},
    {"no bearer",
     "GET /v1/models HTTP/1.1\r\nAuthorization: Basic eA==\r\n\r\n", 401,
     "missing_key"},
    {"unknown key",
     "GET /v1/models HTTP/1.1\r\nAuthorization: Bearer other\r\n\r\n", 401,
     "unknown_key"},
    {"much header",
     post(Good, "X-Much: " + std::string(MuchHeader, 'x') + "\r\n"), 431,
     "header_too_large"},
    {"much body", post(std::string(MuchBody, ' ')), 413, "body_too_large"},
    {"negative length",
     "POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n", 400,
     "malformed_request"},
    {"length that is no number",
     "POST /v1/completions HTTP/1.1\r\nContent-Length: ten\r\n\r\n", 400,
     "malformed_request"},
    // evhttp takes a length that it can't read for one that is too large.
    {"bad chunk length",
     "POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: "
     "chunked\r\n\r\nzz\r\n",
     413, "body_too_large"},
    {"empty body", post(""), 400, "invalid_json"},
    {"no JSON", post("{\"model\":"), 400, "invalid_json"},
    {"JSON of another kind", post("[1]"), 400, "invalid_json"},
    {"NUL in the body", post(std::string("{\"a\":\0}", 7)), 400,
     "invalid_json"},
    {"deep nesting", post(nested(5000)), 400, "invalid_json"},
    {"no UTF-8", post("{\"model\":\"\xC3\x28\"}"), 400, "invalid_text"},
    {"surrogate", post("{\"model\":\"\xED\xA0\x80\"}"), 400, "invalid_text"},
    {"overlong", post("{\"model\":\"\xC0\xAF\"}"), 400, "invalid_text"},
    {"no model", post(R"({"prompt":"x"})"), 400, "invalid_field"},
    {"model is a number", post(R"({"model":1,"prompt":"x"})"), 400,
     "invalid_field"},
    {"unknown model", post(R"({"model":"m","prompt":"x"})"), 404,
     "unknown_model"},
    {"no prompt", post(R"({"model":"gourd-8b"})"), 400, "invalid_field"},
    {"no tokens", post(R"({"model":"gourd-8b","prompt":"x","max_tokens":0})"),
     400, "invalid_field"},
    {"too many tokens",
     post(R"({"model":"gourd-8b","prompt":"x","max_tokens":131073})"), 400,
     "invalid_field"},
    {"tokens with a fraction",
     post(R"({"model":"gourd-8b","prompt":"x","max_tokens":1.5})"), 400,
     "invalid_field"},
    {"stream is a word",
     post(R"({"model":"gourd-8b","prompt":"x","stream":"yes"})"), 400,
     "invalid_field"},
    {"no messages",
     post(R"({"model":"gourd-8b","messages":[]})", "", "/v1/chat/completions"),
     400, "invalid_field"},
    {"bad message",
     post(R"({"model":"gourd-8b","messages":[{"role":"user"}]})", "",
          "/v1/chat/completions"),
     400, "invalid_field"},
    {"no deadline", post(Good, "Wasabivale-Deadline-Ms: 0\r\n"), 400,
     "invalid_field"},
    {"far deadline", post(Good, "Wasabivale-Deadline-Ms: 60001\r\n"), 400,
     "invalid_field"},
    {"bad priority", post(Good, "Wasabivale-Priority: 10\r\n"), 400,
     "invalid_field"},
    {"bad mark", post(Good, "Wasabivale-Not-Repeatable: maybe\r\n"), 400,
     "invalid_field"},
    {"long key",
     post(Good, "Wasabivale-Not-Repeatable: true\r\nIdempotency-Key: " +
                    std::string(129, 'k') + "\r\n"),
     400, "invalid_field"},
    {"empty key",
     post(Good, "Wasabivale-Not-Repeatable: true\r\nIdempotency-Key: \r\n"),
     400, "invalid_field"},
    {"unknown service", post("{}", "", "/v1/services/none/x"), 404,
     "unknown_service"},
};

} // namespace

SCENARIO("every malformed request is refused by its number, and life goes on") {
  World World(1, 1);
  std::size_t Whole = 0;
  for (const Row &Case : Contract) {
    INFO(Case.m_Story);
    const std::string Got = raw(World, Case.m_Bytes);
    INFO(Got);
    CHECK(Got.rfind(fmt::format("HTTP/1.1 {} ", Case.m_Status), 0) == 0);
    const std::string Reason = fmt::format(R"("reason":"{}")", Case.m_Reason);
    if (Case.m_Status == 200) {
      ++Whole;
      CHECK(Got.find("t00 t01 ") != std::string::npos);
    } else {
      CHECK(Got.find(Reason) != std::string::npos);
      CHECK(Got.find("Wasabivale-Outcome: not_run") != std::string::npos);
      CHECK(Got.find("application/json") != std::string::npos);
    }
  }
  CHECK(World.runs() == Whole);
  CHECK(World.ask(streamed())->outcome() == "completed");
  World.checkAtRest();
}

SCENARIO("unusual but valid HTTP") {
  World World(1, 1);
  GIVEN("two requests sent at once on one connection") {
    const std::string Got = raw(World, post(Good) + post(Good), 2);
    THEN("both are answered, in order") {
      CHECK(Got.find("t00 t01 ") != Got.rfind("t00 t01 "));
    }
  }
  GIVEN("a good request and then nonsense") {
    const std::string Got = raw(World, post(Good) + "nonsense\r\n\r\n", 9);
    INFO(Got);
    CHECK(Got.find("t00 t01 ") != std::string::npos);
    CHECK(Got.find("malformed_request") != std::string::npos);
  }
  GIVEN("a caller that waits for leave to send its body") {
    const std::string All = post(Good, "Expect: 100-continue\r\n");
    const std::string Head = All.substr(0, All.size() - Good.size());
    CHECK(raw(World, Head).rfind("HTTP/1.1 100", 0) == 0);
    THEN("one that does not wait is answered as well") {
      CHECK(raw(World, All).find("t00 t01 ") != std::string::npos);
    }
  }
  GIVEN("HEAD") {
    const std::string Got =
        raw(World, "HEAD /v1/models HTTP/1.1\r\nConnection: close\r\n\r\n", 9);
    CHECK(Got.rfind("HTTP/1.1 405", 0) == 0);
  }
  GIVEN("a caller that closes its side after the request") {
    raw(World, post(Good), 1, true);
    THEN("it counts as gone or is answered, and nothing is left of it") {
      World.checkAtRest();
    }
  }
  World.checkAtRest();
}

SCENARIO("callers' keys, limits and models follow the configuration") {
  World World(1, 1);
  const auto Models = World.ask({"/v1/models", "GET", {}, {}});
  CHECK(Models->has(R"("id":"gourd-8b")"));
  Json Changed = {{"callers",
                   {{{"id", "shop-1"},
                     {"key_hashes", {digestHex(Key)}},
                     {"concurrent", 1}}}},
                  {"models", {{{"id", Model}}}}};
  World.configure(Changed);
  World.m_Script = {Act::SilentMiddle};
  const auto First = World.send(streamed());
  REQUIRE(World.m_Loop.until([&] { return First->has("t02"); }));
  const auto Second = World.send(streamed()); // waits for the first
  const auto Third = World.ask(streamed());
  CHECK(Third->reason() == "concurrency_limited");
  CHECK(Third->outcome() == "not_run");
  CHECK(!http::header(Third->m_Headers, "retry-after").empty());
  Changed["callers"][0]["key_hashes"] = {digestHex("new")};
  World.configure(Changed);
  CHECK(World.ask(streamed())->reason() == "unknown_key");
  First->m_Call->cancel();
  World.checkAtRest();
}

TEST_CASE("JSON strings and UTF-8") {
  CHECK(rc::check("any printed string is read back", [] {
    const auto Pieces = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("a", "\"", "\\", "\n", "\x01", "\x7F",
                                      "\u00E9", "\u20AC", "\U0001F600"));
    std::string Text;
    for (const std::string &Piece : Pieces)
      Text += Piece;
    RC_ASSERT(isUtf8(Text));
    std::string Printed;
    appendJsonString(Printed, Text);
    RC_ASSERT(Json::parse(Printed).get<std::string>() == Text);
  }));
  CHECK(rc::check("agrees with the JSON library on what is UTF-8", [] {
    const auto Text = *rc::gen::container<std::string>(
        rc::gen::element('a', '\x80', '\xBF', '\xC2', '\xE0', '\xA0', '\xED',
                         '\x9F', '\xF0', '\x90', '\xF4', '\x8F', '\xFF'));
    const bool Parses =
        !Json::parse("\"" + Text + "\"", nullptr, false).is_discarded();
    RC_ASSERT(isUtf8(Text) == Parses);
  }));
}
