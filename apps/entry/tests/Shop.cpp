#include "Shop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sstream>

namespace wasabivale::entry::test {

namespace {

std::variant<relay::CallerRequest, Error>
readAsk(const http::Request &Request) {
  relay::CallerRequest Result;
  Result.m_Id = http::field(Request.m_Fields, "Attempt");
  Result.m_Method = Request.m_Method;
  Result.m_Target = Request.m_Target;
  Result.m_Path = Request.m_Path;
  Result.m_Host = http::field(Request.m_Fields, "Host");
  Result.m_Body = Request.m_Body;
  const std::string Waits(http::field(Request.m_Fields, "Waits-S"));
  Result.m_CallerTimeout = Waits.empty()
                               ? std::chrono::milliseconds(1500)
                               : std::chrono::seconds(std::stoi(Waits));
  const std::string Seen(http::field(Request.m_Fields, "Seen"));
  Result.m_LastEventId = Seen.empty() ? 0 : std::stoull(Seen);
  Result.m_FirstAttempt = http::field(Request.m_Fields, "First-Attempt");
  if (const std::string Key(http::field(Request.m_Fields, "Key")); !Key.empty())
    Result.m_Key = Key;
  const std::string Prompt(http::field(Request.m_Fields, "Prompt"));
  if (!Prompt.empty()) {
    Result.m_Model = "m";
    Result.m_PromptTokens = static_cast<std::uint32_t>(std::stoul(Prompt));
    Result.m_MaxTokens = 10;
  }
  std::stringstream Parts(std::string(http::field(Request.m_Fields, "Parts")));
  for (std::string Part; std::getline(Parts, Part, '+');)
    Result.m_PromptParts.push_back({hashBytes(Part), 100});
  Result.m_Fields = {
      {"Attempt", Result.m_Id},
      {"Parts", std::string(http::field(Request.m_Fields, "Parts"))}};
  return Result;
}

http::Fields requestFields(const relay::CallerRequest &Request,
                           const relay::TryOptions &Options, TimePoint) {
  http::Fields Fields = Request.m_Fields;
  Fields.emplace_back("Only", Options.m_Target.m_Value);
  if (Options.m_LastEventId > 0)
    Fields.emplace_back("Seen", std::to_string(Options.m_LastEventId));
  if (Options.m_ChecksKeys)
    Fields.emplace_back("Customer", Options.m_Customer);
  if (Options.m_PrefillOnly)
    Fields.emplace_back("Prefill-Only", "1");
  if (!Options.m_KvSource.empty())
    Fields.emplace_back("Kv", Options.m_KvSource);
  return Fields;
}

Result<relay::PrefillResult> readPrefilled(std::string_view Body) {
  return relay::PrefillResult{std::string(Body), 1};
}

std::pair<std::string, std::string> freeKv(const std::string &Handle) {
  return {"DELETE", "/kept/" + Handle};
}

relay::ResponseInfo readAnswer(int Status, const http::Fields &Fields) {
  relay::ResponseInfo Result;
  Result.m_NotRun = !http::field(Fields, "Not-Run").empty();
  Result.m_WrongTarget = Status == 421;
  Result.m_Signed = !http::field(Fields, "Signed").empty();
  Result.m_Id = http::field(Fields, "Attempt");
  const std::string Limit(http::field(Fields, "Limit"));
  if (!Limit.empty())
    Result.m_RequestsPerSecond = std::stod(Limit);
  Result.m_Leaving = !http::field(Fields, "Leaving").empty();
  const std::string Rest(http::field(Fields, "Rest-Ms"));
  if (!Rest.empty())
    Result.m_RestFor = std::chrono::milliseconds(std::stoi(Rest));
  const std::string Load(http::field(Fields, "Load"));
  if (!Load.empty())
    Result.m_Load = {static_cast<std::uint32_t>(std::stoul(Load)), 0, 6};
  return Result;
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
  wire::Route Result;
  Result.set_name(Name);
  Result.set_host("shop.example");
  Result.set_path_prefix("/" + Name + "/");
  Result.set_kind(Kind);
  Result.set_timeout_ns(2'000'000'000);
  Result.set_objective_ns(100'000'000);
  Result.set_gap_ns(50'000'000);
  Result.set_max_attempts(2);
  Result.set_resumable(Resumable);
  Result.add_services()->set_service(Service);
  Result.mutable_services(0)->set_weight(1);
  return Result;
}

void answerVersion(DataPath &Entry, const std::string &Version) {
  Entry.streamVersions().setControl(
      [Version](const wire::Command &Command, TimePoint,
                const LedgerClient::OnReply &Done) {
        wire::CallReply Reply;
        if (Command.stream_versions().has_look_up())
          Reply.set_result(std::to_string(hashBytes(Version)));
        Done(Reply);
      });
}

std::string Shop::askRaw(const std::string &Method, const std::string &Path,
                         const std::string &Body) {
  bufferevent *Caller =
      bufferevent_socket_new(m_Loop.m_Base, -1, BEV_OPT_CLOSE_ON_FREE);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(EntryPort);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bool IsClosed = false;
  bufferevent_setcb(
      Caller, nullptr, nullptr,
      [](bufferevent *, short Events, void *Closed) {
        if ((Events & BEV_EVENT_CONNECTED) == 0)
          *static_cast<bool *>(Closed) = true;
      },
      &IsClosed);
  bufferevent_socket_connect(Caller, reinterpret_cast<sockaddr *>(&Address),
                             sizeof(Address));
  bufferevent_enable(Caller, EV_READ | EV_WRITE);
  const std::string Request =
      fmt::format("{} {} HTTP/1.1\r\nHost: shop.example\r\nAttempt: r-1\r\n"
                  "Connection: close\r\nContent-Length: {}\r\n\r\n{}",
                  Method, Path, Body.size(), Body);
  bufferevent_write(Caller, Request.data(), Request.size());
  CHECK(m_Loop.until([&] { return IsClosed; }));
  evbuffer *Input = bufferevent_get_input(Caller);
  std::string Bytes(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Bytes.data(), Bytes.size());
  bufferevent_free(Caller);
  return Bytes;
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
