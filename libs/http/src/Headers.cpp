#include "Headers.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <csignal>
#include <fmt/format.h>

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
