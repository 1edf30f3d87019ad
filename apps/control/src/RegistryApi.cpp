#include "RegistryApi.h"

#include "events/events.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::control {

namespace {

/// A leaving target waits 1 s for its answer, then asks another member.
constexpr std::chrono::milliseconds LeaveTimeout{800};
/// Services whose health paths are kept.
constexpr std::size_t MaxHealthPaths = 1'024;
constexpr int TemporaryRedirect = 307;
constexpr int Conflict = 409;
constexpr int Unavailable = 503;

const http::Headers JsonBody = {{"Content-Type", "application/json"}};

wire::Target toWire(const platform::Beat &Beat,
                    const std::map<ZoneId, RegionId> &Regions) {
  const targets::Announcement &Announcement = Beat.m_Target;
  wire::Target Target;
  Target.set_id(Announcement.m_Id.m_Value);
  Target.set_incarnation(Announcement.m_Incarnation);
  Target.set_address(http::printAddress(Announcement.m_Address));
  Target.set_kind(std::string(targets::kindName(Announcement.m_Kind)));
  Target.set_zone(Announcement.m_Zone.m_Value);
  if (const auto Region = Regions.find(Announcement.m_Zone);
      Region != Regions.end())
    Target.set_region(Region->second.m_Value);
  for (const ModelId &Model : Announcement.m_Models)
    Target.add_models(Model.m_Value);
  for (const std::string &Service : Announcement.m_Services)
    Target.add_models(Service);
  if (Announcement.m_Kind == targets::Kind::Engine)
    Target.set_role(std::string(targets::roleName(Announcement.m_Role)));
  Target.set_max_running(static_cast<std::uint32_t>(Announcement.m_MaxRunning));
  Target.set_started_ms(
      static_cast<std::uint64_t>(Beat.m_StartedAt.time_since_epoch().count()));
  Target.set_self_managed(true);
  Target.set_software_version(Announcement.m_SoftwareVersion);
  Target.set_reclaimable(Beat.m_Reclaimable);
  return Target;
}

/// Whether the target may get new work, now or after its role change.
bool isOpen(const fleet::Target &Target) {
  return !Target.m_LeaveRequested &&
         Target.m_State != fleet::TargetState::Lost &&
         Target.m_State != fleet::TargetState::Withdrawn;
}

int statusOf(fleet::ClaimRefusal Reason) {
  return Reason == fleet::ClaimRefusal::Undecided ? Unavailable : Conflict;
}

} // namespace

void RegistryApi::startTerm() {
  m_Claims = {};
  m_Control.m_Observed.m_ReceivesTargetReports = true;
}

void RegistryApi::endTerm() {
  m_Questions.cancel();
  for (const Leaving &Pending : std::exchange(m_Leaving, {}))
    refuse(Pending.m_Call, Unavailable,
           {"registry.leave", Pending.m_Targets.front().m_Value,
            "no longer the leader"});
}

void RegistryApi::expire(TimePoint Now) {
  fleet::expireClaims(m_Claims, m_Control.m_Observed, m_Control.m_State.m_Fleet,
                      Now);
}

void RegistryApi::answer(const Exchange &Call) {
  const platform::ControlCall Read = platform::readControlCall(Call->request());
  const auto *Bad = std::get_if<platform::Unreadable>(&Read);
  // Every member refuses unreadable requests, leader or not.
  if (Bad == nullptr && !m_Control.holdsLeaderLease())
    return redirect(Call);
  std::visit([&](const auto &Message) { handle(Call, Message); }, Read);
}

void RegistryApi::redirect(const Exchange &Call) {
  m_Control.m_Registry.refusals(Refusal::NotLeader).add();
  const NodeId Leader = m_Control.m_Replica->leader();
  if (Leader.empty() || Leader == m_Control.m_Settings.m_Id) {
    Call->reply(Unavailable, {{"Retry-After", "0.2"}}, "");
    return;
  }
  Call->reply(
      TemporaryRedirect,
      {{"Location", fmt::format("http://{}:{}{}", Leader.m_Value,
                                m_Control.m_Settings.m_RegistryListen->m_Port,
                                Call->request().m_Target)}},
      "");
}

void RegistryApi::refuse(const Exchange &Call, int Status,
                         const Error &Reason) {
  m_Control.m_Registry
      .counter("wasabivale_registry_refused_total",
               "Calls of targets and operators that were refused, by step",
               {{"step", Reason.m_Step}, {"status", std::to_string(Status)}})
      .add();
  const settings::Json Body = {
      {"error", {{"step", Reason.m_Step}, {"message", Reason.m_Message}}}};
  Call->reply(Status, JsonBody, Body.dump());
}

void RegistryApi::accept(const Exchange &Call) const {
  http::Address Address = *m_Control.m_Settings.m_RegistryListen;
  Call->reply(200, JsonBody, platform::printBeatAnswer(Address));
}

const fleet::Target *RegistryApi::find(const TargetId &Name) const {
  const auto &Known = m_Control.m_State.m_Fleet.m_Targets.m_ById;
  const auto Found = Known.find(Name);
  return Found == Known.end() ? nullptr : &Found->second;
}

// --- Targets ----------------------------------------------------------------

void RegistryApi::handle(const Exchange &Call,
                         const platform::Unreadable &Message) {
  events::emit(events::Event::BeatRefused,
               {{"path", Call->request().m_Path},
                {"step", Message.m_Why.m_Step},
                {"message", Message.m_Why.m_Message}});
  refuse(Call, Message.m_Status, Message.m_Why);
}

void RegistryApi::handle(const Exchange &Call, const platform::Beat &Message) {
  const fleet::Claim Claim{toWire(Message, m_Control.m_Settings.m_Regions),
                           Message.m_Sequence, Message.m_Leaving};
  decide(Call, fleet::hearClaim(m_Claims, Claim, BootClock::now()));
}

void RegistryApi::decide(const Exchange &Call, const fleet::HeardClaim &Heard) {
  if (!m_Control.holdsLeaderLease())
    return redirect(Call);
  const TargetId Target{Heard.m_Message.m_Target.id()};
  if (Heard.m_Message.m_Leaving && isAnnouncing(Target))
    return refuseUnsettled(Call, Target);
  const auto TimeOfDay = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  const fleet::ClaimVerdict Verdict = fleet::decideClaim(
      m_Claims, m_Control.m_State.m_Fleet, m_Control.m_Observed, Heard,
      BootClock::now(), TimeOfDay);
  if (const auto *Announced = std::get_if<fleet::AnnounceClaim>(&Verdict))
    return announce(Call, Heard, Announced->m_Target);
  if (const auto *Leavers = std::get_if<fleet::LeaveTargets>(&Verdict))
    return leave(Call, Leavers->m_Targets);
  if (const auto *Question = std::get_if<fleet::AskAddress>(&Verdict))
    return ask(Call, Heard, Question->m_Address);
  if (const auto *Refused = std::get_if<fleet::RefuseClaim>(&Verdict))
    return refuseClaim(Call, Heard, *Refused);
  accept(Call);
}

void RegistryApi::ask(const Exchange &Call, const fleet::HeardClaim &Heard,
                      const std::string &Address) {
  const wire::Target &Target = Heard.m_Message.m_Target;
  const std::string Service = Target.models_size() > 0 ? Target.models(0) : "";
  const bool IsAsked = m_Questions.ask(
      Address, healthPath(Service),
      [this, Call, Heard, Address](const platform::Identity &Answer) {
        m_Control.m_Registry
            .counter("wasabivale_target_questions_total",
                     "Calls that ask a process at a disputed address for its "
                     "id, by whether it told",
                     {{"answered", Answer.m_Target.empty() ? "no" : "yes"}})
            .add();
        fleet::recordAnswer(
            m_Claims, Address,
            {Answer.m_Target, Answer.m_IsServing, BootClock::now()});
        decide(Call, Heard);
      });
  if (!IsAsked)
    refuseClaim(Call, Heard,
                {fleet::ClaimRefusal::Undecided,
                 "too many addresses are being asked for their targets"});
}

void RegistryApi::refuseClaim(const Exchange &Call,
                              const fleet::HeardClaim &Heard,
                              const fleet::RefuseClaim &Refused) {
  const wire::Target &Target = Heard.m_Message.m_Target;
  events::emit(events::Event::BeatRefused,
               {{"target", Target.id()},
                {"incarnation", Target.incarnation()},
                {"address", Target.address()},
                {"sequence", Heard.m_Message.m_Sequence},
                {"message", Refused.m_Message}});
  refuse(Call, statusOf(Refused.m_Reason),
         {"registry.beat", Target.id(), Refused.m_Message});
}

const std::string &RegistryApi::healthPath(const std::string &Service) {
  const fleet::Routes &Held = m_Control.m_State.m_Fleet.m_Routes;
  if (m_HealthPaths.size() >= MaxHealthPaths)
    m_HealthPaths.clear();
  const auto [Found, IsNew] = m_HealthPaths.try_emplace(Service);
  HealthPath &Known = Found->second;
  if (IsNew || Known.m_RoutesVersion != Held.m_Table.version())
    Known = {Held.m_Table.version(),
             platform::readHealthPath(Held.m_Source, Service)};
  return Known.m_Path;
}

void RegistryApi::announce(const Exchange &Call, const fleet::HeardClaim &Heard,
                           wire::Target Announcement) {
  const TargetId Id{Announcement.id()};
  events::emit(events::Event::TargetAnnounced,
               {{"target", Id},
                {"incarnation", Announcement.incarnation()},
                {"address", Announcement.address()},
                {"service", Announcement.models(0)},
                {"role", Announcement.role()},
                {"sequence", Heard.m_Message.m_Sequence}});
  wire::Command Next;
  *Next.mutable_announce_target()->mutable_target() = std::move(Announcement);
  Next.set_request_id(randomIdentity());
  ++m_Announcing[Id];
  m_Control.propose(std::move(Next), [this, Call,
                                      Id](const wire::CallReply &Reply) {
    if (--m_Announcing[Id] == 0)
      m_Announcing.erase(Id);
    if (Reply.refusal() == 0)
      return accept(Call);
    events::emit(events::Event::BeatRefused, {{"target", Id},
                                              {"refusal", Reply.refusal()},
                                              {"message", Reply.message()}});
    refuse(Call, Unavailable,
           {"registry.announce", Id.m_Value, Reply.message()});
  });
}

bool RegistryApi::isAnnouncing(const TargetId &Target) const {
  return m_Announcing.count(Target) > 0;
}

void RegistryApi::refuseUnsettled(const Exchange &Call,
                                  const TargetId &Target) {
  refuse(Call, Unavailable,
         {"registry.leave", Target.m_Value,
          "an announcement of it is not committed yet"});
}

void RegistryApi::handle(const Exchange &Call, const platform::Gone &Message) {
  if (isAnnouncing(Message.m_Target))
    return refuseUnsettled(Call, Message.m_Target);
  fleet::forgetLeave(m_Claims, Message.m_Target);
  if (find(Message.m_Target) == nullptr)
    return accept(Call); // No entry sends it work.
  leave(Call, {Message.m_Target});
}

void RegistryApi::leave(const Exchange &Call,
                        const std::vector<TargetId> &Targets) {
  std::vector<wire::Command> Commands;
  for (const TargetId &Id : Targets)
    if (const fleet::Target *Known = find(Id))
      for (wire::Command &Next :
           fleet::leaveCommands(m_Control.m_State.m_Fleet, *Known))
        Commands.push_back(std::move(Next));
  if (Commands.empty())
    return waitUntilLeft(Call, Targets);
  struct Progress {
    std::size_t m_Pending = 0;
    std::string m_Failure;
  };
  const auto Committing = std::make_shared<Progress>();
  Committing->m_Pending = Commands.size();
  for (wire::Command &Next : Commands) {
    Next.set_request_id(randomIdentity());
    m_Control.propose(std::move(Next), [this, Call, Targets, Committing](
                                           const wire::CallReply &Reply) {
      if (Reply.refusal() != 0)
        Committing->m_Failure = Reply.message();
      if (--Committing->m_Pending > 0)
        return;
      if (Committing->m_Failure.empty())
        return waitUntilLeft(Call, Targets);
      refuse(
          Call, Unavailable,
          {"registry.leave", Targets.front().m_Value, Committing->m_Failure});
    });
  }
}

void RegistryApi::waitUntilLeft(const Exchange &Call,
                                const std::vector<TargetId> &Targets) {
  // The next tick notifies all entries of all leaves together, and each tick
  // looks for the entries that have acknowledged: the work of a leave grows
  // with the entries, and so does the number of their reports.
  m_Leaving.push_back({Call, Targets, BootClock::now() + LeaveTimeout});
}

bool RegistryApi::hasLeft(const TargetId &Target, TimePoint Now) const {
  const fleet::Target *Known = find(Target);
  return Known == nullptr ||
         (!isOpen(*Known) &&
          fleet::isClosedAtAllEntries(m_Control.m_Observed, *Known, Now));
}

void RegistryApi::answerLeaving(TimePoint Now) {
  std::vector<Leaving> Waiting;
  for (Leaving &Pending : std::exchange(m_Leaving, {})) {
    const TargetId &First = Pending.m_Targets.front();
    if (std::all_of(
            Pending.m_Targets.begin(), Pending.m_Targets.end(),
            [&](const TargetId &Target) { return hasLeft(Target, Now); })) {
      events::emit(events::Event::TargetLeaving,
                   {{"target", First},
                    {"entries", m_Control.m_Observed.m_Entries.size()}});
      accept(Pending.m_Call);
    } else if (Now >= Pending.m_AnswerBy) {
      events::emit(events::Event::LeaveNotSettled,
                   {{"target", First},
                    {"entries", m_Control.m_Observed.m_Entries.size()}});
      refuse(Pending.m_Call, Unavailable,
             {"registry.leave", First.m_Value,
              "entries have not all acknowledged it"});
    } else {
      Waiting.push_back(std::move(Pending));
    }
  }
  m_Leaving.insert(m_Leaving.end(), Waiting.begin(), Waiting.end());
}

// --- Routes -----------------------------------------------------------------

void RegistryApi::handle(const Exchange &Call,
                         const platform::PutRoutes &Message) {
  const std::uint64_t Held =
      m_Control.m_State.m_Fleet.m_Routes.m_Table.version();
  const std::uint64_t Version = Message.m_Table.m_Version;
  if (Version <= Held) {
    Call->reply(200, JsonBody, "{}");
    return;
  }
  wire::Command Next;
  *Next.mutable_put_routes()->mutable_table() = routes::toWire(Message.m_Table);
  Next.mutable_put_routes()->set_source(Message.m_Source);
  Next.set_request_id(randomIdentity());
  m_Control.propose(std::move(Next), [this, Call, Version,
                                      Held](const wire::CallReply &Reply) {
    const bool Accepted = Reply.refusal() == 0;
    events::emit(Accepted ? events::Event::RoutesAccepted
                          : events::Event::RoutesRefused,
                 {{"version", Version},
                  {"former", Held},
                  {"term", m_Control.m_Replica->term()},
                  {"message", Reply.message()}});
    if (Accepted) {
      m_Control.sendChanges();
      Call->reply(200, JsonBody, "{}");
      return;
    }
    refuse(Call, Unavailable, {"registry.routes", "", Reply.message()});
  });
}

void RegistryApi::handle(const Exchange &Call, const platform::ReadRoutes &) {
  const fleet::Routes &Held = m_Control.m_State.m_Fleet.m_Routes;
  if (Held.m_Table.version() == 0)
    return refuse(Call, Unavailable,
                  {"registry.routes", "", "no routes have been put yet"});
  Call->reply(200, JsonBody, Held.m_Source);
}

} // namespace wasabivale::control
