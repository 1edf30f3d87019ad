#include "Shop.h"

#include <fmt/format.h>
#include <sstream>

namespace wasabivale::entry::test {

namespace {

std::variant<relay::CallerRequest, Error> readAsk(const http::Request &From) {
  relay::CallerRequest Made;
  Made.m_Id = http::field(From.m_Fields, "Attempt");
  Made.m_Method = From.m_Method;
  Made.m_Target = From.m_Target;
  Made.m_Path = From.m_Path;
  Made.m_Host = http::field(From.m_Fields, "Host");
  Made.m_Body = From.m_Body;
  const std::string Waits(http::field(From.m_Fields, "Waits-S"));
  Made.m_CallerTimeout = Waits.empty() ? std::chrono::milliseconds(1500)
                                       : std::chrono::seconds(std::stoi(Waits));
  const std::string Seen(http::field(From.m_Fields, "Seen"));
  Made.m_LastEventId = Seen.empty() ? 0 : std::stoull(Seen);
  Made.m_FirstAttempt = http::field(From.m_Fields, "Resumes");
  const std::string Prompt(http::field(From.m_Fields, "Prompt"));
  if (!Prompt.empty()) {
    Made.m_Model = "m";
    Made.m_PromptTokens = static_cast<std::uint32_t>(std::stoul(Prompt));
    Made.m_MaxTokens = 10;
  }
  std::stringstream Parts(std::string(http::field(From.m_Fields, "Parts")));
  for (std::string Part; std::getline(Parts, Part, '+');)
    Made.m_PromptParts.push_back({hashBytes(Part), 100});
  Made.m_Fields = {{"Attempt", Made.m_Id},
                   {"Parts", std::string(http::field(From.m_Fields, "Parts"))}};
  return Made;
}

http::Fields requestFields(const relay::CallerRequest &Of,
                           const relay::TryOptions &With, TimePoint) {
  http::Fields Made = Of.m_Fields;
  Made.emplace_back("Only", With.m_Target.m_Value);
  if (With.m_LastEventId > 0)
    Made.emplace_back("Seen", std::to_string(With.m_LastEventId));
  if (With.m_PrefillOnly)
    Made.emplace_back("Prefill-Only", "1");
  if (!With.m_KvSource.empty())
    Made.emplace_back("Kv", With.m_KvSource);
  return Made;
}

Result<relay::PrefillResult> readPrefilled(std::string_view Body) {
  return relay::PrefillResult{std::string(Body), 1};
}

std::pair<std::string, std::string> freeKv(const std::string &Handle) {
  return {"DELETE", "/kept/" + Handle};
}

relay::ResponseInfo readAnswer(int Status, const http::Fields &Of) {
  relay::ResponseInfo Made;
  Made.m_NotRun = !http::field(Of, "Not-Run").empty();
  Made.m_WrongTarget = Status == 421;
  Made.m_Signed = !http::field(Of, "Signed").empty();
  Made.m_Id = http::field(Of, "Attempt");
  const std::string Limit(http::field(Of, "Limit"));
  if (!Limit.empty())
    Made.m_RequestsPerSecond = std::stod(Limit);
  Made.m_Leaving = !http::field(Of, "Leaving").empty();
  const std::string Rest(http::field(Of, "Rest-Ms"));
  if (!Rest.empty())
    Made.m_RestFor = std::chrono::milliseconds(std::stoi(Rest));
  const std::string Load(http::field(Of, "Load"));
  if (!Load.empty())
    Made.m_Load = {static_cast<std::uint32_t>(std::stoul(Load)), 0, 6};
  return Made;
}

} // namespace

const relay::Dialect Plain{requestFields, readAnswer, readPrefilled, freeKv,
                           readAsk};

http::Fields stamped(const Exchange &Request) {
  return {{"Signed", "s-1"},
          {"Attempt",
           std::string(http::field(Request->request().m_Fields, "attempt"))}};
}

Play answers(int Status, const std::string &Body) {
  return [=](const Exchange &Arrived) {
    Arrived->relay(Status, stamped(Arrived), Body);
  };
}

Play refuses() {
  return [](const Exchange &Arrived) {
    Arrived->relay(503, {{"Not-Run", "1"}}, "");
  };
}

Play breaks() {
  return [](const Exchange &Arrived) { Arrived->abort(); };
}

std::string eventText(int Id) { return fmt::format("id: {}\ndata: x\n\n", Id); }

Play streams(int Last, bool Whole) {
  return [=](const Exchange &Arrived) {
    http::Fields Head = stamped(Arrived);
    Head.emplace_back("Content-Type", "text/event-stream");
    const std::string Seen(http::field(Arrived->request().m_Fields, "seen"));
    Arrived->startRelay(200, Head);
    for (int Id = Seen.empty() ? 1 : std::stoi(Seen) + 1; Id <= Last; ++Id)
      Arrived->write(eventText(Id));
    if (Whole)
      Arrived->finish();
  };
}

wire::Route route(const std::string &Name, const std::string &Kind,
                  const std::string &Service, bool Resumable) {
  wire::Route Made;
  Made.set_name(Name);
  Made.set_host("shop.example");
  Made.set_path_prefix("/" + Name + "/");
  Made.set_kind(Kind);
  Made.set_timeout_ns(2'000'000'000);
  Made.set_objective_ns(100'000'000);
  Made.set_gap_ns(50'000'000);
  Made.set_max_attempts(2);
  Made.set_resumable(Resumable);
  Made.add_services()->set_service(Service);
  Made.mutable_services(0)->set_weight(1);
  return Made;
}

Shop::Shop() {
  events::setMinimumLevel(events::Level::Error);
  m_Settings.m_Id = {"entry-1"};
  m_Settings.m_Routes = RouteSettings{};
  m_Settings.m_Routes->m_Listen = {"127.0.0.1", EntryPort};
  // Nobody listens there: the tests speak for control.
  m_Settings.m_Control = {{{"control-1"}, "", "127.0.0.1:21879"}};
  openEntry();
  m_Fleet.set_revision(1);
  wire::RouteTable &Table = *m_Fleet.mutable_routes();
  Table.set_version(1);
  *Table.add_routes() = route("stock", "safe", "desk");
  *Table.add_routes() = route("book", "unsafe", "desk");
  *Table.add_routes() = route("note", "streaming", "desk", true);
  *Table.add_routes() = route("advice", "streaming", "desk", false);
  Table.add_services()->set_name("desk");
  m_Fleet.set_routes_version(1);
}

Shop::~Shop() {
  m_Held.clear();
  if (m_Path != nullptr)
    m_Path->endAll();
  m_Loop.turnFor(std::chrono::milliseconds(5));
  end();
  m_Targets.clear();
}

void Shop::openEntry() {
  auto Opened = Entry::open(m_Loop.m_Base, m_Settings, m_Registry, &Plain);
  REQUIRE_FALSE(failed(Opened));
  m_Entry = std::move(valueOf(Opened));
  m_Path = &m_Entry->requests();
}

void Shop::restart() {
  m_Path->endAll();
  m_Loop.turnFor(std::chrono::milliseconds(5));
  end();
  openEntry();
  REQUIRE(m_Path->takeFleet(m_Fleet));
}

void Shop::end() {
  m_Path = nullptr;
  m_Entry.reset();
}

} // namespace wasabivale::entry::test
