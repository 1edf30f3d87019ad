#include "World.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace wasabivale::entry::test {

namespace {

std::string tokenText(std::uint64_t Number) {
  return fmt::format("t{:02} ", Number % 100);
}

std::string line(const Json &Value) { return Value.dump() + "\n"; }

Json piece(const std::string &Stream, std::uint64_t Offset, Act Doing) {
  constexpr std::size_t LargeBytes = 16U << 10U;
  return {{"stream", Stream},
          {"offset", Offset},
          {"tokens", 1},
          {"text", Doing == Act::Flood ? std::string(LargeBytes, 'x')
                                       : tokenText(Offset)}};
}

} // namespace

std::string wholeText(int Tokens) {
  std::string All;
  for (int I = 0; I < Tokens; ++I)
    All += tokenText(static_cast<std::uint64_t>(I));
  return All;
}

FakeTarget::FakeTarget(event_base *On, std::uint16_t Port, bool IsService,
                       Script &Acts)
    : m_Loop(On), m_IsService(IsService), m_Script(Acts) {
  auto Opened = http::listen(On, {"127.0.0.1", Port}, http::ServerLimits{},
                             [this](const auto &Arrived) { take(Arrived); });
  REQUIRE(!failed(Opened));
  m_Server = std::move(valueOf(Opened));
}

void FakeTarget::crash() {
  for (const auto &Open : std::exchange(m_Held, {}))
    Open->abort();
  m_Server.reset();
}

void FakeTarget::answerState(http::Exchange &To) {
  if (m_DiesWhenAsked) {
    To.abort();
    m_Timers.push_back(std::make_unique<http::Timer>(m_Loop, 20ms, false,
                                                     [this] { crash(); }));
    return;
  }
  To.reply(200, {},
           Json{{"id", "x"},
                {"incarnation", "1"},
                {"role", "mixed"},
                {"models", Json::array()},
                {"draining", false},
                {"changing", false},
                {"order", ""},
                {"order_state", "none"},
                {"fence", {{"term", 0}, {"sequence", 0}}},
                {"running", 0},
                {"kv_blocks_free", 0}}
               .dump());
}

void FakeTarget::take(const std::shared_ptr<http::Exchange> &Arrived) {
  const http::Request &Asked = Arrived->request();
  if (Asked.m_Path == "/target/v1/state")
    return answerState(*Arrived);
  const Json Body = Json::parse(Asked.m_Body);
  if (Asked.m_Path == "/engine/v1/cancel") {
    m_Cancelled.push_back(Body["request"]);
    return Arrived->reply(200, {}, R"({"cancelled": true})");
  }
  m_Runs.push_back(Body);
  m_Held.push_back(Arrived);
  Arrived->onGone([this] { ++m_Gone; });
  run(Arrived, Body);
}

bool FakeTarget::refuse(http::Exchange &To, Act Doing) const {
  const std::string NotRun = R"({"not_run": true})";
  const std::map<Act, std::pair<int, std::string>> Refusals = {
      {Act::Full, {429, NotRun}},    {Act::Draining, {503, NotRun}},
      {Act::PlainBusy, {503, "{}"}}, {Act::CannotResume, {409, "{}"}},
      {Act::Malformed, {400, "{}"}}, {Act::Error, {500, "{}"}},
  };
  const auto Found = Refusals.find(Doing);
  if (Found == Refusals.end())
    return false;
  To.reply(Found->second.first, {}, Found->second.second);
  return true;
}

void FakeTarget::run(const std::shared_ptr<http::Exchange> &To,
                     const Json &Body) {
  Act Doing = Act::Whole;
  if (!m_Script.empty()) {
    Doing = m_Script.front();
    m_Script.pop_front();
  }
  if (refuse(*To, Doing) || Doing == Act::Silent)
    return;
  if (Doing == Act::Close)
    return To->abort();
  if (!m_IsService)
    return stream(To, Body, Doing);
  To->reply(200, {},
            Json{{"status", 201},
                 {"body", fmt::format("booked {}", m_Runs.size())},
                 {"content_type", "text/plain"}}
                .dump());
}

void FakeTarget::abortLater(const std::shared_ptr<http::Exchange> &Which) {
  // What was written must arrive first.
  m_Timers.push_back(std::make_unique<http::Timer>(
      m_Loop, 20ms, false, [Which] { Which->abort(); }));
}

void FakeTarget::stream(const std::shared_ptr<http::Exchange> &To,
                        const Json &Body, Act Doing) {
  const std::string Stream = Body["stream_id"];
  const std::uint64_t From = Body["offset"];
  const std::uint64_t Length = Body["max_tokens"];
  const std::uint64_t Middle = From + (Length - From) / 2;
  To->startStream(200, {});
  if (From > 0)
    To->write(line({{"stream", Stream}, {"offset", From}, {"resumed", true}}));
  if (Doing == Act::CutAtOnce)
    return abortLater(To);
  if (Doing == Act::Garbage)
    To->write("{\"stream\": nonsense\n");
  for (std::uint64_t Offset = From; Offset < Length; ++Offset) {
    if (Offset == Middle && Doing == Act::SilentMiddle)
      return;
    if (Offset == Middle && Doing == Act::CutMiddle)
      return abortLater(To);
    if (Offset == Middle && Doing == Act::Gap)
      continue;
    if (Offset == Middle && Doing == Act::ForeignStream)
      To->write(line(piece("another", Offset, Doing)));
    To->write(line(piece(Stream, Offset, Doing)));
    if (Doing == Act::Repeats)
      To->write(line(piece(Stream, Offset, Doing)));
  }
  if (Doing != Act::NoEnd)
    To->write(line({{"stream", Stream},
                    {"offset", Length},
                    {"end", true},
                    {"length", Doing == Act::WrongLength ? Length + 1 : Length},
                    {"finish", "length"},
                    {"cached_blocks", 0}}));
  To->finish();
}

} // namespace wasabivale::entry::test
