#include "Headers.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <csignal>
#include <fmt/format.h>
#include <optional>

namespace wasabivale::http {

Headers toHeaders(const evkeyvalq *From) {
  Headers Result;
  for (const evkeyval *Entry = From->tqh_first; Entry != nullptr;
       Entry = Entry->next.tqe_next) {
    std::string Name = Entry->key;
    std::transform(Name.begin(), Name.end(), Name.begin(), [](unsigned char C) {
      return static_cast<char>(std::tolower(C));
    });
    Result.emplace(std::move(Name), Entry->value);
  }
  return Result;
}

void addHeaders(evkeyvalq *To, const Headers &From) {
  for (const auto &[Name, Value] : From)
    evhttp_add_header(To, Name.c_str(), Value.c_str());
}

Fields toFields(const evkeyvalq *From) {
  Fields Made;
  for (const evkeyval *Entry = From->tqh_first; Entry != nullptr;
       Entry = Entry->next.tqe_next)
    Made.emplace_back(Entry->key, Entry->value);
  return Made;
}

void addFields(evkeyvalq *To, const Fields &From) {
  for (const auto &[Name, Value] : From)
    evhttp_add_header(To, Name.c_str(), Value.c_str());
}

bool isSameName(std::string_view One, std::string_view Other) {
  return std::equal(One.begin(), One.end(), Other.begin(), Other.end(),
                    [](unsigned char A, unsigned char B) {
                      return std::tolower(A) == std::tolower(B);
                    });
}

std::string_view field(const Fields &In, std::string_view Name) {
  for (const auto &[Key, Value] : In)
    if (isSameName(Key, Name))
      return Value;
  return {};
}

bool isHopByHop(std::string_view Name) {
  constexpr std::string_view Names[] = {
      "connection",     "keep-alive",          "proxy-connection",  "te",
      "trailer",        "transfer-encoding",   "upgrade",           "expect",
      "content-length", "proxy-authorization", "proxy-authenticate"};
  return std::any_of(
      std::begin(Names), std::end(Names),
      [&](std::string_view Each) { return isSameName(Each, Name); });
}

bool isToken(std::string_view Name) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return !Name.empty() &&
         std::all_of(Name.begin(), Name.end(), [&](unsigned char C) {
           return std::isalnum(C) != 0 ||
                  Marks.find(static_cast<char>(C)) != Marks.npos;
         });
}

namespace {

bool isLength(std::string_view Value) {
  return !Value.empty() &&
         std::all_of(Value.begin(), Value.end(),
                     [](unsigned char C) { return std::isdigit(C) != 0; });
}

} // namespace

bool isAmbiguous(const std::string &Method, const Fields &Of) {
  std::size_t Codings = 0;
  std::optional<std::string_view> Length;
  for (const auto &[Name, Value] : Of) {
    if (!isToken(Name))
      return true;
    if (isSameName(Name, "transfer-encoding")) {
      ++Codings;
      if (!isSameName(Value, "chunked"))
        return true;
    }
    if (!isSameName(Name, "content-length"))
      continue;
    if (!isLength(Value) || (Length && *Length != Value))
      return true;
    Length = Value;
  }
  if (Codings > 1 || (Codings == 1 && Length))
    return true;
  const bool ReadsBody =
      Method == "POST" || Method == "PUT" || Method == "PATCH";
  return !ReadsBody && (Codings > 0 || (Length && *Length != "0"));
}

std::string takeBody(evbuffer *From) {
  std::string Body(evbuffer_get_length(From), '\0');
  evbuffer_remove(From, Body.data(), Body.size());
  return Body;
}

void ignoreBrokenPipes() {
  static const auto Former = std::signal(SIGPIPE, SIG_IGN);
  static_cast<void>(Former);
}

std::string_view header(const Headers &In, const std::string &Name) {
  const auto Found = In.find(Name);
  return Found == In.end() ? std::string_view() : Found->second;
}

Result<Address> parseAddress(std::string_view Text) {
  const Error Invalid{"http.parse_address", std::string(Text),
                      "expected ip:port"};
  const std::size_t Colon = Text.rfind(':');
  if (Colon == Text.npos)
    return Invalid;
  Address Parsed;
  Parsed.m_Host = Text.substr(0, Colon);
  const std::string_view Port = Text.substr(Colon + 1);
  const auto Read =
      std::from_chars(Port.data(), Port.data() + Port.size(), Parsed.m_Port);
  in_addr Ip{};
  if (Read.ec != std::errc() || Read.ptr != Port.data() + Port.size() ||
      Parsed.m_Port == 0 || inet_pton(AF_INET, Parsed.m_Host.c_str(), &Ip) != 1)
    return Invalid;
  return Parsed;
}

std::string printAddress(const Address &Value) {
  return fmt::format("{}:{}", Value.m_Host, Value.m_Port);
}

} // namespace wasabivale::http
