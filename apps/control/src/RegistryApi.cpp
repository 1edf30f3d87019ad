#include "RegistryApi.h"

#include "events/events.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::control {

namespace {

/// A target that leaves waits a second for its answer, then asks elsewhere.
constexpr std::chrono::milliseconds LeavePatience{800};
constexpr int TemporaryRedirect = 307;
constexpr int Conflict = 409;
constexpr int Unavailable = 503;

const http::Headers JsonBody = {{"Content-Type", "application/json"}};

wire::Target toWire(const platform::Beat &From,
                    const std::map<ZoneId, RegionId> &Regions) {
  const targets::Announcement &Said = From.m_Target;
  wire::Target Made;
  Made.set_id(Said.m_Id.m_Value);
  Made.set_incarnation(Said.m_Incarnation);
  Made.set_address(http::printAddress(Said.m_Address));
  Made.set_kind(std::string(targets::kindName(Said.m_Kind)));
  Made.set_zone(Said.m_Zone.m_Value);
  if (const auto Region = Regions.find(Said.m_Zone); Region != Regions.end())
    Made.set_region(Region->second.m_Value);
  for (const ModelId &Each : Said.m_Models)
    Made.add_models(Each.m_Value);
  for (const std::string &Each : Said.m_Services)
    Made.add_models(Each);
  if (Said.m_Kind == targets::Kind::Engine)
    Made.set_role(std::string(targets::roleName(Said.m_Role)));
  Made.set_max_running(static_cast<std::uint32_t>(Said.m_MaxRunning));
  Made.set_started_ms(
      static_cast<std::uint64_t>(From.m_StartedAt.time_since_epoch().count()));
  Made.set_self_managed(true);
  return Made;
}

/// Whether it may get new work, now or when its role has changed.
bool isOpen(const fleet::Target &Of) {
  return !Of.m_LeaveRequested && Of.m_State != fleet::TargetState::Lost &&
         Of.m_State != fleet::TargetState::Withdrawn;
}

/// Whether a message tells nothing that is not committed already.
bool isKnown(const fleet::Target &Known, const wire::Target &Said) {
  return Known.m_Incarnation == Said.incarnation() &&
         Known.m_Address == Said.address() && Known.m_Role == Said.role() &&
         Known.m_MaxRunning == Said.max_running() &&
         Known.m_State != fleet::TargetState::Lost;
}

} // namespace

void RegistryApi::startTerm() {
  m_Heard.clear();
  m_Control.m_Heard.m_ReceivesTargetReports = true;
}

void RegistryApi::endTerm() {
  for (const Leaving &Each : std::exchange(m_Leaving, {}))
    refuse(Each.m_Call, Unavailable,
           {"registry.leave", Each.m_Target.m_Value, "no longer the leader"});
}

void RegistryApi::answer(const Exchange &Arrived) {
  const platform::ControlCall Read =
      platform::readControlCall(Arrived->request());
  const auto *Bad = std::get_if<platform::Unreadable>(&Read);
  // What can't be read is refused by every member alike.
  if (Bad == nullptr && !m_Control.leads())
    return redirect(Arrived);
  std::visit([&](const auto &Told) { take(Arrived, Told); }, Read);
}

void RegistryApi::redirect(const Exchange &Arrived) {
  m_Control.m_Registry.refusals(Refusal::NotLeader).add();
  const NodeId Leader = m_Control.m_Replica->leader();
  if (Leader.empty() || Leader == m_Control.m_Settings.m_Id) {
    Arrived->reply(Unavailable, {{"Retry-After", "0.2"}}, "");
    return;
  }
  Arrived->reply(
      TemporaryRedirect,
      {{"Location", fmt::format("http://{}:{}{}", Leader.m_Value,
                                m_Control.m_Settings.m_RegistryListen->m_Port,
                                Arrived->request().m_Target)}},
      "");
}

void RegistryApi::refuse(const Exchange &Arrived, int Status,
                         const Error &Why) {
  m_Control.m_Registry
      .counter("wasabivale_registry_refused_total",
               "Calls of targets and operators that were refused, by step",
               {{"step", Why.m_Step}, {"status", std::to_string(Status)}})
      .add();
  const settings::Json Body = {
      {"error", {{"step", Why.m_Step}, {"message", Why.m_Message}}}};
  Arrived->reply(Status, JsonBody, Body.dump());
}

void RegistryApi::accept(const Exchange &Arrived) const {
  http::Address Here = *m_Control.m_Settings.m_RegistryListen;
  Arrived->reply(200, JsonBody, platform::printBeatAnswer(Here));
}

const fleet::Target *RegistryApi::find(const TargetId &Name) const {
  const auto &Known = m_Control.m_State.m_Fleet.m_Targets.m_ById;
  const auto Found = Known.find(Name);
  return Found == Known.end() ? nullptr : &Found->second;
}

// --- Targets ----------------------------------------------------------------

void RegistryApi::take(const Exchange &Arrived,
                       const platform::Unreadable &Told) {
  events::emit(events::Event::BeatRefused, {{"path", Arrived->request().m_Path},
                                            {"step", Told.m_Why.m_Step},
                                            {"message", Told.m_Why.m_Message}});
  refuse(Arrived, Told.m_Status, Told.m_Why);
}

void RegistryApi::take(const Exchange &Arrived, const platform::Beat &Told) {
  const targets::Announcement &Said = Told.m_Target;
  Heard &Last = m_Heard[Said.m_Id];
  if (Last.m_Incarnation == Said.m_Incarnation &&
      Told.m_Sequence <= Last.m_Sequence)
    return accept(Arrived); // Held up on its way; a newer one has come.
  const fleet::Target *Known = find(Said.m_Id);
  const bool Same =
      Known != nullptr && Known->m_Incarnation == Said.m_Incarnation;
  if (!Same && Known != nullptr &&
      Known->m_StartedMs > static_cast<std::uint64_t>(
                               Told.m_StartedAt.time_since_epoch().count()))
    return refuse(Arrived, Conflict,
                  {"registry.beat", Said.m_Id.m_Value,
                   "a later process of this target is known"});
  Last = {Said.m_Incarnation, Told.m_Sequence};
  fleet::recordTargetSeen(m_Control.m_Heard, Said.m_Id, Said.m_Incarnation,
                          BootClock::now());
  if (Told.m_Leaving) {
    if (!Same)
      return accept(Arrived); // No entry knows it.
    return leave(Arrived, *Known);
  }
  if (Same && (isKnown(*Known, toWire(Told, m_Control.m_Settings.m_Regions)) ||
               Known->m_LeaveRequested))
    return accept(Arrived);
  announce(Arrived, Told);
}

void RegistryApi::announce(const Exchange &Arrived,
                           const platform::Beat &Told) {
  wire::Command Next;
  *Next.mutable_announce_target()->mutable_target() =
      toWire(Told, m_Control.m_Settings.m_Regions);
  Next.set_request_id(randomIdentity());
  events::emit(events::Event::TargetAnnounced,
               {{"target", Told.m_Target.m_Id},
                {"incarnation", Told.m_Target.m_Incarnation},
                {"address", http::printAddress(Told.m_Target.m_Address)},
                {"service", Next.announce_target().target().models(0)},
                {"role", Next.announce_target().target().role()},
                {"sequence", Told.m_Sequence}});
  m_Control.propose(std::move(Next), [this, Arrived, Id = Told.m_Target.m_Id](
                                         const wire::CallReply &Reply) {
    if (Reply.refusal() == 0)
      return accept(Arrived);
    events::emit(events::Event::BeatRefused, {{"target", Id},
                                              {"refusal", Reply.refusal()},
                                              {"message", Reply.message()}});
    refuse(Arrived, Unavailable,
           {"registry.announce", Id.m_Value, Reply.message()});
  });
}

void RegistryApi::take(const Exchange &Arrived, const platform::Gone &Told) {
  const fleet::Target *Known = find(Told.m_Target);
  if (Known == nullptr)
    return accept(Arrived); // Nobody sends it anything.
  leave(Arrived, *Known);
}

void RegistryApi::leave(const Exchange &Arrived, const fleet::Target &Known) {
  if (!isOpen(Known))
    return waitUntilLeft(Arrived, Known.m_Id);
  wire::Command Next;
  Next.mutable_leave_target()->set_target(Known.m_Id.m_Value);
  Next.mutable_leave_target()->set_incarnation(Known.m_Incarnation);
  Next.set_request_id(randomIdentity());
  m_Control.propose(std::move(Next), [this, Arrived, Id = Known.m_Id](
                                         const wire::CallReply &Reply) {
    if (Reply.refusal() == 0)
      return waitUntilLeft(Arrived, Id);
    refuse(Arrived, Unavailable,
           {"registry.leave", Id.m_Value, Reply.message()});
  });
}

void RegistryApi::waitUntilLeft(const Exchange &Arrived,
                                const TargetId &Which) {
  const TimePoint Now = BootClock::now();
  m_Leaving.push_back({Arrived, Which, Now + LeavePatience});
  m_Control.sendChanges();
  settleLeaving(Now);
}

void RegistryApi::settleLeaving(TimePoint Now) {
  std::vector<Leaving> Waiting;
  for (Leaving &Each : std::exchange(m_Leaving, {})) {
    const fleet::Target *Known = find(Each.m_Target);
    const bool Left = Known == nullptr ||
                      (!isOpen(*Known) && fleet::isClosedAtAllEntries(
                                              m_Control.m_Heard, *Known, Now));
    if (Left) {
      events::emit(events::Event::TargetLeaving,
                   {{"target", Each.m_Target},
                    {"entries", m_Control.m_Heard.m_Entries.size()}});
      accept(Each.m_Call);
    } else if (Now >= Each.m_AnswerBy) {
      events::emit(events::Event::LeaveNotSettled,
                   {{"target", Each.m_Target},
                    {"entries", m_Control.m_Heard.m_Entries.size()}});
      refuse(Each.m_Call, Unavailable,
             {"registry.leave", Each.m_Target.m_Value,
              "entries have not all acknowledged it"});
    } else {
      Waiting.push_back(std::move(Each));
    }
  }
  m_Leaving.insert(m_Leaving.end(), Waiting.begin(), Waiting.end());
}

// --- Routes -----------------------------------------------------------------

void RegistryApi::take(const Exchange &Arrived,
                       const platform::PutRoutes &Told) {
  const std::uint64_t Held =
      m_Control.m_State.m_Fleet.m_Routes.m_Table.version();
  const std::uint64_t Version = Told.m_Table.m_Version;
  if (Version <= Held) {
    Arrived->reply(200, JsonBody, "{}");
    return;
  }
  wire::Command Next;
  *Next.mutable_put_routes()->mutable_table() = routes::toWire(Told.m_Table);
  Next.mutable_put_routes()->set_source(Told.m_Source);
  Next.set_request_id(randomIdentity());
  m_Control.propose(std::move(Next), [this, Arrived, Version,
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
      Arrived->reply(200, JsonBody, "{}");
      return;
    }
    refuse(Arrived, Unavailable, {"registry.routes", "", Reply.message()});
  });
}

void RegistryApi::take(const Exchange &Arrived, const platform::ReadRoutes &) {
  const fleet::Routes &Held = m_Control.m_State.m_Fleet.m_Routes;
  if (Held.m_Table.version() == 0)
    return refuse(Arrived, Unavailable,
                  {"registry.routes", "", "no routes have been put yet"});
  Arrived->reply(200, JsonBody, Held.m_Source);
}

} // namespace wasabivale::control
