#include "RegistryApi.h"

#include "events/events.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::control {

namespace {

/// A leaving target waits 1 s for its answer, then asks another member.
constexpr std::chrono::milliseconds LeaveTimeout{800};
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
  return Target;
}

/// Whether the target may get new work, now or after its role change.
bool isOpen(const fleet::Target &Target) {
  return !Target.m_LeaveRequested &&
         Target.m_State != fleet::TargetState::Lost &&
         Target.m_State != fleet::TargetState::Withdrawn;
}

/// Whether everything in the message is already committed.
bool isKnown(const fleet::Target &Known, const wire::Target &Announced) {
  return Known.m_Incarnation == Announced.incarnation() &&
         Known.m_Address == Announced.address() &&
         Known.m_Role == Announced.role() &&
         Known.m_MaxRunning == Announced.max_running() &&
         Known.m_SoftwareVersion == Announced.software_version() &&
         Known.m_State != fleet::TargetState::Lost;
}

} // namespace

void RegistryApi::startTerm() {
  m_LastMessages.clear();
  m_Control.m_Observed.m_ReceivesTargetReports = true;
}

void RegistryApi::endTerm() {
  for (const Leaving &Pending : std::exchange(m_Leaving, {}))
    refuse(
        Pending.m_Call, Unavailable,
        {"registry.leave", Pending.m_Target.m_Value, "no longer the leader"});
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
  const targets::Announcement &Announcement = Message.m_Target;
  LastMessage &Last = m_LastMessages[Announcement.m_Id];
  if (Last.m_Incarnation == Announcement.m_Incarnation &&
      Message.m_Sequence <= Last.m_Sequence)
    return accept(Call); // Delayed in transit; a newer one arrived.
  const fleet::Target *Known = find(Announcement.m_Id);
  const bool Same =
      Known != nullptr && Known->m_Incarnation == Announcement.m_Incarnation;
  if (!Same && Known != nullptr &&
      Known->m_StartedMs > static_cast<std::uint64_t>(
                               Message.m_StartedAt.time_since_epoch().count()))
    return refuse(Call, Conflict,
                  {"registry.beat", Announcement.m_Id.m_Value,
                   "a later process of this target is known"});
  Last = {Announcement.m_Incarnation, Message.m_Sequence};
  fleet::recordTargetSeen(m_Control.m_Observed, Announcement.m_Id,
                          Announcement.m_Incarnation, BootClock::now());
  if (Message.m_Leaving) {
    if (!Same)
      return accept(Call); // No entry knows it.
    return leave(Call, *Known);
  }
  if (Same &&
      (isKnown(*Known, toWire(Message, m_Control.m_Settings.m_Regions)) ||
       Known->m_LeaveRequested))
    return accept(Call);
  announce(Call, Message);
}

void RegistryApi::announce(const Exchange &Call,
                           const platform::Beat &Message) {
  wire::Command Next;
  *Next.mutable_announce_target()->mutable_target() =
      toWire(Message, m_Control.m_Settings.m_Regions);
  Next.set_request_id(randomIdentity());
  events::emit(events::Event::TargetAnnounced,
               {{"target", Message.m_Target.m_Id},
                {"incarnation", Message.m_Target.m_Incarnation},
                {"address", http::printAddress(Message.m_Target.m_Address)},
                {"service", Next.announce_target().target().models(0)},
                {"role", Next.announce_target().target().role()},
                {"sequence", Message.m_Sequence}});
  m_Control.propose(std::move(Next), [this, Call, Id = Message.m_Target.m_Id](
                                         const wire::CallReply &Reply) {
    if (Reply.refusal() == 0)
      return accept(Call);
    events::emit(events::Event::BeatRefused, {{"target", Id},
                                              {"refusal", Reply.refusal()},
                                              {"message", Reply.message()}});
    refuse(Call, Unavailable,
           {"registry.announce", Id.m_Value, Reply.message()});
  });
}

void RegistryApi::handle(const Exchange &Call, const platform::Gone &Message) {
  const fleet::Target *Known = find(Message.m_Target);
  if (Known == nullptr)
    return accept(Call); // No entry sends it work.
  leave(Call, *Known);
}

void RegistryApi::leave(const Exchange &Call, const fleet::Target &Known) {
  // Also of a target that is lost: its next announcement may be under way.
  if (Known.m_LeaveRequested || Known.m_State == fleet::TargetState::Withdrawn)
    return waitUntilLeft(Call, Known.m_Id);
  wire::Command Next;
  Next.mutable_leave_target()->set_target(Known.m_Id.m_Value);
  Next.mutable_leave_target()->set_incarnation(Known.m_Incarnation);
  Next.set_request_id(randomIdentity());
  m_Control.propose(std::move(Next), [this, Call, Id = Known.m_Id](
                                         const wire::CallReply &Reply) {
    if (Reply.refusal() == 0)
      return waitUntilLeft(Call, Id);
    refuse(Call, Unavailable, {"registry.leave", Id.m_Value, Reply.message()});
  });
}

void RegistryApi::waitUntilLeft(const Exchange &Call, const TargetId &Target) {
  const TimePoint Now = BootClock::now();
  m_Leaving.push_back({Call, Target, Now + LeaveTimeout});
  m_Control.sendChanges();
  answerLeaving(Now);
}

void RegistryApi::answerLeaving(TimePoint Now) {
  std::vector<Leaving> Waiting;
  for (Leaving &Pending : std::exchange(m_Leaving, {})) {
    const fleet::Target *Known = find(Pending.m_Target);
    const bool Left =
        Known == nullptr ||
        (!isOpen(*Known) &&
         fleet::isClosedAtAllEntries(m_Control.m_Observed, *Known, Now));
    if (Left) {
      events::emit(events::Event::TargetLeaving,
                   {{"target", Pending.m_Target},
                    {"entries", m_Control.m_Observed.m_Entries.size()}});
      accept(Pending.m_Call);
    } else if (Now >= Pending.m_AnswerBy) {
      events::emit(events::Event::LeaveNotSettled,
                   {{"target", Pending.m_Target},
                    {"entries", m_Control.m_Observed.m_Entries.size()}});
      refuse(Pending.m_Call, Unavailable,
             {"registry.leave", Pending.m_Target.m_Value,
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
