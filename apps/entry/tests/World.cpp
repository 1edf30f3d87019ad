#include "World.h"

#include "events/events.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>

namespace wasabivale::entry::test {

namespace {

Json configuration() {
  return {{"callers",
           {{{"id", "shop-1"},
             {"key_hashes", {digestHex(Key)}},
             {"default_deadline_ms", 20000},
             {"maximum_deadline_ms", 60000}}}},
          {"models", {{{"id", Model}}}},
          {"services",
           {{{"name", "book"}, {"not_repeatable_by_default", true}},
            {{"name", "stock"}, {"not_repeatable_by_default", false}}}},
          {"ledger", {{"retention_s", 3600}, {"max_answer_bytes", 2000}}}};
}

} // namespace

bool Loop::until(const std::function<bool()> &Done) const {
  const TimePoint End = BootClock::now() + 20s;
  while (!Done() && BootClock::now() < End)
    turnFor(1ms);
  return Done();
}

void Loop::turnFor(std::chrono::milliseconds Length) const {
  const timeval Tick{Length.count() / 1000,
                     static_cast<suseconds_t>(Length.count() % 1000 * 1000)};
  event_base_loopexit(m_Base, &Tick);
  event_base_dispatch(m_Base);
}

std::string Call::text() const {
  const std::string Mark = "\"text\":\"";
  std::string All;
  std::size_t At = m_Body.find(Mark);
  for (; At != std::string::npos; At = m_Body.find(Mark, At)) {
    At += Mark.size();
    All += m_Body.substr(At, m_Body.find('"', At) - At);
  }
  return All;
}

std::string Call::outcome() const {
  if (const auto Given = http::header(m_Headers, "wasabivale-outcome");
      !Given.empty())
    return std::string(Given);
  for (const char *Name : {"completed", "not_run", "unknown"})
    if (has(fmt::format("\"outcome\":\"{}\"", Name)))
      return Name;
  return "none";
}

std::string Call::reason() const {
  const std::string Mark = "\"reason\":\"";
  const std::size_t At = m_Body.find(Mark);
  if (At == std::string::npos)
    return "";
  const std::size_t Start = At + Mark.size();
  return m_Body.substr(Start, m_Body.find('"', Start) - Start);
}

Ask streamed(int Tokens) {
  Ask Made;
  Made.m_Body["stream"] = true;
  Made.m_Body["max_tokens"] = Tokens;
  return Made;
}

Ask booking(const std::string &IdempotencyKey) {
  Ask Made;
  Made.m_Path = "/v1/services/book/slot";
  Made.m_Body = {{"slot", 1}};
  if (!IdempotencyKey.empty())
    Made.m_Headers["Idempotency-Key"] = IdempotencyKey;
  return Made;
}

World::World(int Engines, int Services) {
  events::setMinimumLevel(events::Level::Error);
  std::signal(SIGPIPE, SIG_IGN); // as every program of this project does
  m_Settings.m_Id = {"entry-1"};
  m_Settings.m_Patience.m_Token = 300ms;
  m_Settings.m_Patience.m_Call = 300ms;
  m_Settings.m_ReaderPatience = 400ms;
  m_Settings.m_CallerLimits.m_BodyBytes = 200'000;
  m_Settings.m_CallerLimits.m_HeaderBytes = 8'000;
  m_LedgerClient = std::make_unique<LedgerClient>(
      m_Settings.m_Id,
      [this](const wire::Command &Command, TimePoint Deadline,
             const LedgerClient::OnReply &Done) {
        commit(Command, Deadline, Done);
      },
      [this] { return m_Session; }, [this] { ++m_Session; });
  m_Path = std::make_unique<DataPath>(
      m_Loop.m_Base, m_Settings, m_Metrics,
      DataPath::Ties{*m_LedgerClient,
                     [this](TimePoint) { return m_HoldsLease; },
                     [this] { ++m_Reports; }});
  std::uint16_t Port = FirstTargetPort;
  for (int I = 1; I <= Engines; ++I)
    addTarget(fmt::format("engine-{}", I), Port++, false);
  for (int I = 1; I <= Services; ++I)
    addTarget(fmt::format("service-{}", I), Port++, true);
  configure(configuration());
  auto Server = http::listen(
      m_Loop.m_Base, {"127.0.0.1", CallersPort}, m_Settings.m_CallerLimits,
      [this](const auto &Arrived) { m_Path->take(Arrived); },
      [this](int Status) { return m_Path->refuseMalformed(Status); });
  REQUIRE(!failed(Server));
  m_Server = std::move(valueOf(Server));
}

World::~World() {
  m_Path->endAll();
  m_Loop.turnFor(5ms);
}

void World::addTarget(const std::string &Id, std::uint16_t Port,
                      bool IsService) {
  constexpr std::uint32_t MaxRunning = 8;
  wire::Target &Target = m_Fleet[Id];
  Target.set_id(Id);
  Target.set_incarnation("1");
  Target.set_address(fmt::format("127.0.0.1:{}", Port));
  Target.set_kind(IsService ? "service" : "engine");
  Target.set_role(IsService ? "" : "mixed");
  Target.set_state("serving");
  Target.set_generation(1);
  Target.set_max_running(MaxRunning);
  for (const char *Name : {"book", "stock"})
    if (IsService)
      Target.add_models(Name);
  if (!IsService)
    Target.add_models(Model);
  m_Targets.push_back(
      std::make_unique<FakeTarget>(m_Loop.m_Base, Port, IsService, m_Script));
}

void World::configure(const Json &Document) {
  wire::FleetUpdate Update;
  Update.set_revision(++m_Revision);
  Update.set_configuration_revision(m_Revision);
  Update.set_configuration(Document.dump());
  for (const auto &[Id, Target] : m_Fleet)
    *Update.add_targets() = Target;
  REQUIRE(m_Path->takeFleet(Update));
}

void World::setState(const std::string &Target, const std::string &State) {
  wire::Target &Changed = m_Fleet.at(Target);
  Changed.set_state(State);
  Changed.set_generation(Changed.generation() + 1);
  wire::FleetUpdate Update;
  Update.set_from_revision(m_Revision);
  Update.set_revision(++m_Revision);
  *Update.add_targets() = Changed;
  REQUIRE(m_Path->takeFleet(Update));
}

void World::commit(const wire::Command &Command, TimePoint Deadline,
                   const LedgerClient::OnReply &Done) {
  const bool Answers = m_HasQuorum && !m_LosesReplies;
  wire::CallReply Reply;
  if (m_HasQuorum) {
    wire::Command Committed = Command;
    Committed.set_log_time_ns(++m_LogTime);
    const ledger::Reply Told = ledger::apply(m_Ledger, Committed);
    *Reply.mutable_ledger() = Told.m_Answer;
    if (Told.m_Refusal)
      Reply.set_refusal(static_cast<std::uint32_t>(*Told.m_Refusal));
  }
  const Duration Lost = std::min<Duration>(Deadline - BootClock::now(), 200ms);
  const auto Wait = std::chrono::ceil<std::chrono::milliseconds>(
      Answers ? Duration(2ms) : Lost);
  m_Timers.push_back(std::make_unique<http::Timer>(
      m_Loop.m_Base, Wait, false, [Answers, Reply, Done] {
        if (Answers)
          Done(Reply);
        else
          Done(Error{"control.call", "", "no reply in time"});
      }));
}

std::shared_ptr<Call> World::send(const Ask &What, bool Paused) {
  auto Made = std::make_shared<Call>();
  http::ClientRequest Request;
  Request.m_To = {"127.0.0.1", CallersPort};
  Request.m_Path = What.m_Path;
  Request.m_Method = What.m_Method;
  Request.m_Headers = What.m_Headers;
  Request.m_Headers.emplace("Authorization", std::string("Bearer ") + Key);
  if (What.m_Method != "GET")
    Request.m_Body = What.m_Body.dump();
  Request.m_Deadline = BootClock::now() + 30s;
  http::ClientHandlers Handlers;
  Handlers.m_OnHead = [Made, Paused](int Status, const http::Headers &With) {
    Made->m_Status = Status;
    Made->m_Headers = With;
    if (Paused)
      Made->m_Call->pause();
  };
  Handlers.m_OnChunk = [Made](std::string_view Piece) {
    Made->m_Body += Piece;
  };
  Handlers.m_OnDone = [Made](const Result<http::Response> &Ending) {
    Made->m_Ended = true;
    Made->m_Broken = failed(Ending);
    if (Made->m_Broken)
      return;
    Made->m_Status = valueOf(Ending).m_Status;
    Made->m_Headers = valueOf(Ending).m_Headers;
    Made->m_Body += valueOf(Ending).m_Body;
  };
  Made->m_Call = http::call(m_Loop.m_Base, Request, Handlers);
  return Made;
}

std::shared_ptr<Call> World::ask(const Ask &What) {
  auto Made = send(What);
  REQUIRE(m_Loop.until([&] { return Made->m_Ended; }));
  return Made;
}

void World::checkAtRest() {
  REQUIRE(m_Loop.until([&] { return m_Path->open() == 0; }));
  for (const auto &[Id, Target] : m_Fleet)
    CHECK(routing::inFlight(m_Path->routing(), {Id}) == 0);
  routing::verify(m_Path->routing());
  limits::verify(m_Path->context().m_Limits);
  CHECK(m_Path->context().m_Limits.m_RunningCount == 0);
  CHECK(m_Path->context().m_Limits.m_QueuedCount == 0);
  for (const auto &[Name, Use] : m_Path->context().m_Models)
    CHECK(Use.m_Unplaced == 0);
}

wire::EntryReport World::report() {
  wire::EntryReport Report;
  m_Path->fillReport(Report);
  return Report;
}

std::size_t World::runs() const {
  std::size_t All = 0;
  for (const auto &Target : m_Targets)
    All += Target->m_Runs.size();
  return All;
}

} // namespace wasabivale::entry::test
