#include "Entry.h"

#include "events/events.h"

#include <fmt/format.h>

namespace wasabivale::entry {

using settings::Json;

namespace {

constexpr std::chrono::seconds AnnounceTimeout{5};
constexpr std::chrono::seconds DefaultDeadline{30};
constexpr std::chrono::milliseconds HeartbeatInterval{1000};
const http::Headers JsonBody = {{"Content-Type", "application/json"}};

/// One streamed answer on its way from an engine to a caller.
struct Stream {
  std::shared_ptr<http::Exchange> m_Caller;
  std::string m_Unread; ///< The start of a line whose end has not come.
  bool m_Started = false;
  bool m_Whole = false;
};

void passLine(Stream &To, const std::string &Line) {
  const Json Item = Json::parse(Line, nullptr, false);
  if (Item.is_discarded())
    return;
  if (!To.m_Started) {
    To.m_Caller->startStream(200, {{"Content-Type", "text/event-stream"}});
    To.m_Started = true;
  }
  if (Item.value("end", false)) {
    To.m_Whole = true;
    return;
  }
  const Json Piece = {
      {"object", "text_completion"},
      {"choices",
       Json::array({{{"index", 0}, {"text", Item.value("text", "")}}})}};
  To.m_Caller->write(fmt::format("data: {}\n\n", Piece.dump()));
}

void passPiece(Stream &To, std::string_view Piece) {
  To.m_Unread += Piece;
  std::size_t End = To.m_Unread.find('\n');
  while (End != std::string::npos) {
    passLine(To, To.m_Unread.substr(0, End));
    To.m_Unread.erase(0, End + 1);
    End = To.m_Unread.find('\n');
  }
}

} // namespace

Entry::Entry(event_base *Loop, metrics::Registry &Registry)
    : m_Loop(Loop), m_Registry(Registry) {}

Result<std::unique_ptr<Entry>> Entry::open(event_base *Loop,
                                           const EntrySettings &Settings,
                                           metrics::Registry &Registry) {
  std::unique_ptr<Entry> Made(new Entry(Loop, Registry));
  Entry *Self = Made.get();
  ControlLink::Handlers Handlers;
  Handlers.m_OnFleet = [Self](const wire::FleetUpdate &Update) {
    Self->takeFleet(Update);
  };
  Handlers.m_OnGrant = [](const wire::ControlGrant &) {};
  Handlers.m_FillReport = [](wire::EntryReport &) {};
  auto Control =
      ControlLink::open(Loop, Settings, Registry, std::move(Handlers));
  if (failed(Control))
    return errorOf(Control);
  Made->m_Control = std::move(valueOf(Control));
  auto Targets =
      http::listen(Loop, Settings.m_TargetsListen, http::ServerLimits{},
                   [Self](const std::shared_ptr<http::Exchange> &Arrived) {
                     Self->takeFromTarget(Arrived);
                   });
  if (failed(Targets))
    return errorOf(Targets);
  Made->m_Targets = std::move(valueOf(Targets));
  auto Callers =
      http::listen(Loop, Settings.m_CallersListen, Settings.m_CallerLimits,
                   [Self](const std::shared_ptr<http::Exchange> &Arrived) {
                     Self->takeFromCaller(Arrived);
                   });
  if (failed(Callers))
    return errorOf(Callers);
  Made->m_Callers = std::move(valueOf(Callers));
  return Made;
}

std::string Entry::notReady() const {
  if (!m_Control->holdsLease(BootClock::now()))
    return "no lease from control";
  return "";
}

void Entry::takeFleet(const wire::FleetUpdate &Update) {
  if (Update.from_revision() == 0)
    m_Fleet.clear();
  for (const std::string &Removed : Update.removed_targets())
    m_Fleet.erase(Removed);
  for (const wire::Target &Target : Update.targets())
    m_Fleet[Target.id()] = Target;
  events::emit(events::Event::FleetApplied,
               {{"revision", Update.revision()}, {"targets", m_Fleet.size()}});
}

void Entry::refuse(http::Exchange &Arrived, Refusal Reason, Outcome Told) {
  const RefusalInfo &Info = refusalInfo(Reason);
  m_Registry.refusals(Reason).add();
  const Json Body = {{"error",
                      {{"number", Info.m_Number},
                       {"reason", Info.m_Name},
                       {"message", Info.m_Text},
                       {"outcome", outcomeName(Told)}}}};
  http::Headers With = JsonBody;
  With["Wasabivale-Outcome"] = outcomeName(Told);
  if (Info.m_RetryHelps)
    With["Retry-After"] = "1";
  Arrived.reply(Info.m_HttpStatus, With, Body.dump());
}

void Entry::takeFromTarget(const std::shared_ptr<http::Exchange> &Arrived) {
  const Json Body = Json::parse(Arrived->request().m_Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("id") || !Body["id"].is_string()) {
    refuse(*Arrived, Refusal::InvalidJson, Outcome::NotRun);
    return;
  }
  const std::string &Path = Arrived->request().m_Path;
  if (Path == "/targets/v1/announce") {
    announce(Arrived, Body);
  } else if (Path == "/targets/v1/heartbeat") {
    const bool Known = m_Fleet.count(Body["id"].get<std::string>()) != 0;
    Arrived->reply(200, JsonBody,
                   Known ? R"({"accepted": true})"
                         : R"({"accepted": false, "announce": true})");
  } else {
    refuse(*Arrived, Refusal::UnknownPath, Outcome::NotRun);
  }
}

void Entry::announce(const std::shared_ptr<http::Exchange> &Arrived,
                     const Json &Body) {
  wire::Command Command;
  wire::Target &Target = *Command.mutable_announce_target()->mutable_target();
  Target.set_id(Body["id"]);
  Target.set_incarnation(Body.value("incarnation", ""));
  Target.set_address(Body.value("address", ""));
  Target.set_kind(Body.value("kind", "engine"));
  Target.set_region(Body.value("region", ""));
  Target.set_zone(Body.value("zone", ""));
  Target.set_role(Body.value("role", "mixed"));
  for (const char *List : {"models", "services"})
    for (const Json &Name : Body.value(List, Json::array()))
      Target.add_models(Name);
  events::emit(events::Event::TargetAnnounced,
               {{"target", Target.id()}, {"address", Target.address()}});
  m_Control->call(std::move(Command), BootClock::now() + AnnounceTimeout,
                  [this, Arrived](const Result<wire::CallReply> &Reply) {
                    if (failed(Reply) || valueOf(Reply).refusal() != 0) {
                      refuse(*Arrived, Refusal::NoQuorum, Outcome::NotRun);
                      return;
                    }
                    const Json Answer = {
                        {"accepted", true},
                        {"heartbeat_ms", HeartbeatInterval.count()}};
                    Arrived->reply(200, JsonBody, Answer.dump());
                  });
}

void Entry::takeFromCaller(const std::shared_ptr<http::Exchange> &Arrived) {
  if (Arrived->request().m_Path != "/v1/completions") {
    refuse(*Arrived, Refusal::UnknownPath, Outcome::NotRun);
    return;
  }
  const Json Body = Json::parse(Arrived->request().m_Body, nullptr, false);
  if (!Body.is_object()) {
    refuse(*Arrived, Refusal::InvalidJson, Outcome::NotRun);
    return;
  }
  complete(Arrived, Body);
}

void Entry::complete(const std::shared_ptr<http::Exchange> &Arrived,
                     const Json &Body) {
  const std::string Model = Body.value("model", "");
  std::vector<const wire::Target *> Able;
  for (const auto &[Name, Target] : m_Fleet)
    for (const std::string &Served : Target.models())
      if (Served == Model && Target.state() == "serving")
        Able.push_back(&Target);
  if (Able.empty()) {
    refuse(*Arrived, Refusal::NoTarget, Outcome::NotRun);
    return;
  }
  const wire::Target &Target = *Able[m_NextTarget++ % Able.size()];
  http::ClientRequest What;
  What.m_To = valueOf(http::parseAddress(Target.address()));
  What.m_Path = "/engine/v1/run";
  What.m_Body =
      Json{{"request", randomIdentity()},
           {"stream_id", randomIdentity()},
           {"model", Model},
           {"prompt", Body.value("prompt", "")},
           {"max_tokens", Body.value("max_tokens", 16)},
           {"priority", 5},
           {"offset", 0},
           {"deadline_ms", std::chrono::milliseconds(DefaultDeadline).count()}}
          .dump();
  What.m_Deadline = BootClock::now() + DefaultDeadline;
  auto Passing = std::make_shared<Stream>();
  Passing->m_Caller = Arrived;
  http::ClientHandlers Handlers;
  Handlers.m_OnChunk = [Passing](std::string_view Piece) {
    passPiece(*Passing, Piece);
  };
  Handlers.m_OnDone = [this, Passing](const Result<http::Response> &Ending) {
    if (!Passing->m_Started) {
      refuse(*Passing->m_Caller, Refusal::TargetFailed, Outcome::Unknown);
      return;
    }
    if (failed(Ending) || !Passing->m_Whole) {
      Passing->m_Caller->abort();
      return;
    }
    Passing->m_Caller->write("data: [DONE]\n\nevent: outcome\ndata: "
                             "{\"outcome\":\"completed\"}\n\n");
    Passing->m_Caller->finish();
  };
  http::call(m_Loop, std::move(What), std::move(Handlers));
}

} // namespace wasabivale::entry
