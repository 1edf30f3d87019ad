#include "ControlLink.h"

#include "events/events.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::entry {

namespace {

constexpr std::chrono::milliseconds TurnInterval{50};
constexpr std::chrono::milliseconds ReportInterval{500};
constexpr std::chrono::milliseconds HelloInterval{250};
/// Shortest time between two notices of work: prompts wait at engines for some
/// hundred ms.
constexpr std::chrono::milliseconds WorkInterval{150};
/// Most bytes a second for notices and their answers: nearly all of what
/// control may cost a node (docs/CAPACITY.md).
constexpr double WorkBytesPerSecond = 5'500;
constexpr std::chrono::milliseconds ResendInterval{300};
/// Silence of the leader after which another member is asked.
constexpr std::chrono::milliseconds LeaderSilence{1500};
/// Shortest time between two new sessions.
constexpr std::chrono::milliseconds RenewInterval{1000};
constexpr std::size_t OpenRenewalsKept = 16;
/// The leader sends updates to some of its entries at a time; one that has not
/// come after this time is asked for.
constexpr std::chrono::milliseconds UpdatePatience{600};
/// Control members that an entry asks: those of the settings, of the group, and
/// of a former membership.
constexpr std::size_t MaxMembers = 24;

} // namespace

ControlLink::ControlLink(event_base *Loop, const EntrySettings &Settings,
                         metrics::Registry &Registry, Handlers Callbacks)
    : m_Loop(Loop), m_Settings(Settings), m_Registry(Registry),
      m_Handlers(std::move(Callbacks)), m_Members(Settings.m_Control),
      m_Named(Settings.m_Control) {}

Result<std::unique_ptr<ControlLink>>
ControlLink::open(event_base *Loop, const EntrySettings &Settings,
                  metrics::Registry &Registry, Handlers Callbacks) {
  std::unique_ptr<ControlLink> Made(
      new ControlLink(Loop, Settings, Registry, std::move(Callbacks)));
  if (Status Opened = Made->openHub(); failed(Opened))
    return errorOf(Opened);
  Made->m_Timer = std::make_unique<http::Timer>(
      Loop, TurnInterval, true, [Link = Made.get()] { Link->turn(); });
  return Made;
}

Status ControlLink::openHub() {
  wire::HubOptions Options;
  Options.m_Self = m_Settings.m_Id;
  Options.m_Region = m_Settings.m_Region;
  Options.m_Zone = m_Settings.m_Zone;
  Options.m_Keys = m_Settings.m_Keys;
  Options.m_Peers = m_Members;
  auto Hub = wire::Hub::open(
      m_Loop, Options, m_Registry,
      [this](const NodeId &From, const wire::Envelope &Message) {
        take(From, Message);
      });
  if (failed(Hub))
    return errorOf(Hub);
  m_Hub = std::move(valueOf(Hub));
  return std::monostate{};
}

void ControlLink::renewSession() {
  const TimePoint Now = BootClock::now();
  if (Now < m_NextRenewal)
    return;
  m_NextRenewal = Now + RenewInterval;
  // Not from here: this may be a call of the hub that is to be closed.
  m_Renew = std::make_unique<http::Timer>(
      m_Loop, std::chrono::milliseconds(0), false, [this] {
        m_Renew.reset();
        m_Hub.reset();
        m_RenewalSent.clear();
        loseLeader();
        if (Status Opened = openHub(); failed(Opened))
          events::emitError(events::Event::ListenFailed, errorOf(Opened));
        events::emit(events::Event::SessionRenewed, {{"session", session()}});
      });
}

void ControlLink::take(const NodeId &From, const wire::Envelope &Message) {
  // A member that has fallen behind, or a process outside the group, may still
  // know members that this entry does not.
  if (Message.term() < m_HighestTerm && !m_Leader &&
      Message.body_case() == wire::Envelope::kRedirect)
    return addMembers(Message.redirect());
  // What a former leader sent before a partition may arrive after it.
  if (Message.term() < m_HighestTerm) {
    m_Registry
        .counter("wasabivale_entry_stale_total",
                 "Messages of an older term that were dropped")
        .add();
    return;
  }
  switch (Message.body_case()) {
  case wire::Envelope::kFleetUpdate:
    m_HighestTerm = Message.term();
    follow(From);
    takeFleet(Message.fleet_update());
    break;
  case wire::Envelope::kControlGrant:
    m_HighestTerm = Message.term();
    follow(From);
    takeGrant(Message.control_grant());
    break;
  case wire::Envelope::kOthersWork:
    m_HighestTerm = Message.term();
    follow(From);
    delayWork(Message.others_work().ByteSizeLong());
    m_Handlers.m_OnOthersWork(Message.others_work());
    break;
  case wire::Envelope::kWorkDigest:
    m_HighestTerm = Message.term();
    follow(From);
    delayWork(Message.work_digest().ByteSizeLong());
    if (!m_Handlers.m_OnWorkDigest(Message.work_digest()))
      m_Registry
          .counter("wasabivale_entry_work_digests_refused_total",
                   "Digests of the entries' work that were malformed, or that "
                   "contain a notice which is unknown here")
          .add();
    break;
  case wire::Envelope::kTraitsUpdate:
    m_HighestTerm = Message.term();
    follow(From);
    m_Handlers.m_OnTraits(Message.traits_update());
    break;
  case wire::Envelope::kCallReply:
    takeReply(Message.call_reply());
    break;
  case wire::Envelope::kRedirect:
    learnMembers(Message.redirect());
    if (m_Leader && m_Leader->m_Value == Message.redirect().leader()) {
      break;
    } else if (!Message.redirect().leader().empty()) {
      m_Leader = NodeId{Message.redirect().leader()};
      m_LastHeard = BootClock::now();
      sendHello(*m_Leader);
    } else if (m_Leader == From) {
      loseLeader();
    }
    break;
  default:
    break;
  }
}

/// Adds the members of \p Redirect that are not in \p Known, up to
/// `MaxMembers`.
void ControlLink::appendMembers(const wire::Redirect &Redirect,
                                std::vector<wire::Peer> &Known) const {
  for (const wire::Member &Each : Redirect.members()) {
    const wire::Peer Member{
        {Each.id()}, "", fmt::format("{}:{}", Each.id(), m_Settings.m_HubPort)};
    const auto IsSame = [&](const wire::Peer &One) {
      return One.m_Id == Member.m_Id;
    };
    if (Known.size() < MaxMembers &&
        std::none_of(Known.begin(), Known.end(), IsSame))
      Known.push_back(Member);
  }
}

void ControlLink::addMembers(const wire::Redirect &Redirect) {
  if (m_Settings.m_HubPort == 0)
    return;
  const std::size_t Before = m_Members.size();
  appendMembers(Redirect, m_Members);
  for (std::size_t Added = Before; Added < m_Members.size(); ++Added)
    if (Status Connected = m_Hub->connect(m_Members[Added]); failed(Connected))
      events::emitError(events::Event::ListenFailed, errorOf(Connected));
}

/// Adds members that the settings do not name. Those that they name are still
/// asked: they are all that is known after a longer time alone.
void ControlLink::learnMembers(const wire::Redirect &Told) {
  if (m_Settings.m_HubPort == 0 || Told.members_size() == 0)
    return;
  std::vector<wire::Peer> Known = m_Named;
  appendMembers(Told, Known);
  for (const wire::Peer &Former : m_Members)
    if (std::none_of(Known.begin(), Known.end(), [&](const wire::Peer &One) {
          return One.m_Id == Former.m_Id;
        }))
      m_Hub->disconnect(Former.m_Id);
  for (const wire::Peer &Each : Known)
    if (Status Connected = m_Hub->connect(Each); failed(Connected))
      events::emitError(events::Event::ListenFailed, errorOf(Connected));
  m_Members = std::move(Known);
}

void ControlLink::reload(const EntrySettings &Next) {
  m_Named = Next.m_Control;
  for (const wire::Peer &Each : m_Named) {
    const bool Known = std::any_of(
        m_Members.begin(), m_Members.end(),
        [&](const wire::Peer &One) { return One.m_Id == Each.m_Id; });
    if (!Known)
      m_Members.push_back(Each);
    if (Status Connected = m_Hub->connect(Each); failed(Connected))
      events::emitError(events::Event::ListenFailed, errorOf(Connected));
  }
}

void ControlLink::follow(const NodeId &Leader) {
  m_LastHeard = BootClock::now();
  if (m_Leader == Leader)
    return;
  m_Leader = Leader;
  events::emit(events::Event::ControlReached,
               {{"leader", Leader}, {"term", m_HighestTerm}});
}

void ControlLink::loseLeader() {
  if (!m_Leader)
    return;
  events::emit(events::Event::ControlLost, {{"leader", *m_Leader}});
  m_Leader.reset();
}

void ControlLink::takeFleet(const wire::FleetUpdate &Update) {
  const bool Whole = Update.from_revision() == 0;
  const bool Newer =
      Update.revision() > m_FleetRevision ||
      Update.configuration_revision() > m_ConfigurationRevision ||
      Update.routes_version() > m_RoutesVersion;
  if (!Newer)
    return;
  if (!Whole && Update.from_revision() != m_FleetRevision) {
    sendHello(*m_Leader);
    return;
  }
  if (Update.revision() < m_FleetRevision ||
      Update.configuration_revision() < m_ConfigurationRevision ||
      Update.routes_version() < m_RoutesVersion)
    return;
  if (!m_Handlers.m_OnFleet(Update))
    return;
  m_FleetRevision = Update.revision();
  m_ConfigurationRevision = Update.configuration_revision();
  m_RoutesVersion = Update.routes_version();
  m_UpdateRequestTime.reset();
  reportNow();
}

void ControlLink::takeGrant(const wire::ControlGrant &Grant) {
  const auto Sent = m_RenewalSent.find(Grant.renewal());
  if (Sent == m_RenewalSent.end())
    return;
  const TimePoint End =
      Sent->second + std::chrono::nanoseconds(Grant.lease_ns());
  m_LeaseEnd = std::max(m_LeaseEnd, End);
  m_RenewalSent.erase(m_RenewalSent.begin(), std::next(Sent));
  const TimePoint Now = BootClock::now();
  const bool Lags = Grant.fleet_revision() > m_FleetRevision ||
                    Grant.configuration_revision() > m_ConfigurationRevision ||
                    Grant.routes_version() > m_RoutesVersion;
  if (!Lags) {
    m_UpdateRequestTime.reset();
  } else if (!m_UpdateRequestTime) {
    m_UpdateRequestTime = Now + UpdatePatience;
  } else if (Now >= *m_UpdateRequestTime) {
    m_UpdateRequestTime = Now + UpdatePatience;
    sendHello(*m_Leader);
  }
  m_Handlers.m_OnGrant(Grant, m_LeaseEnd);
}

void ControlLink::takeReply(const wire::CallReply &Reply) {
  const auto Found = m_Calls.find(Reply.request_id());
  if (Found == m_Calls.end())
    return;
  const OnReply Done = std::move(Found->second.m_Done);
  m_Calls.erase(Found);
  Done(Reply);
}

void ControlLink::call(wire::Command Command, TimePoint Deadline,
                       OnReply Done) {
  if (Command.request_id().empty())
    Command.set_request_id(randomIdentity());
  Command.set_actor(m_Settings.m_Id.m_Value);
  const std::string Key = Command.request_id();
  m_Calls[Key] =
      Call{std::move(Command), Deadline, TimePoint::min(), std::move(Done)};
  sendCalls(BootClock::now());
}

void ControlLink::sendCalls(TimePoint Now) {
  if (!m_Leader)
    return;
  for (auto &[Key, Open] : m_Calls) {
    if (Now < Open.m_NextSend)
      continue;
    wire::Envelope Message;
    Message.mutable_call_request()->set_request_id(Key);
    *Message.mutable_call_request()->mutable_command() = Open.m_Command;
    // A message that could not go out now is sent again at the next turn.
    if (!failed(m_Hub->send(*m_Leader, std::move(Message))))
      Open.m_NextSend = Now + ResendInterval;
  }
}

void ControlLink::sendHello(const NodeId &To) {
  if (m_HasEnded)
    return;
  wire::Envelope Message;
  Message.mutable_entry_hello()->set_fleet_revision(m_FleetRevision);
  Message.mutable_entry_hello()->set_configuration_revision(
      m_ConfigurationRevision);
  Message.mutable_entry_hello()->set_routes_version(m_RoutesVersion);
  // Lost hellos are repeated by the timer.
  (void)m_Hub->send(To, std::move(Message));
}

void ControlLink::sendReport(TimePoint Now) {
  wire::Envelope Message;
  wire::EntryReport &Report = *Message.mutable_entry_report();
  Report.set_fleet_revision(m_FleetRevision);
  Report.set_configuration_revision(m_ConfigurationRevision);
  Report.set_routes_version(m_RoutesVersion);
  Report.set_renewal(++m_Renewal);
  m_Handlers.m_FillReport(Report);
  if (failed(m_Hub->send(*m_Leader, std::move(Message))))
    return;
  m_RenewalSent[m_Renewal] = Now;
  while (m_RenewalSent.size() > OpenRenewalsKept)
    m_RenewalSent.erase(m_RenewalSent.begin());
}

void ControlLink::sendWork(TimePoint Now) {
  m_NextWork = Now + WorkInterval;
  wire::Envelope Message;
  if (!m_Handlers.m_FillWork(*Message.mutable_work_notice()))
    return;
  m_NextWork = std::max<TimePoint>(
      m_NextWork,
      Now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                static_cast<double>(Message.work_notice().ByteSizeLong()) /
                WorkBytesPerSecond)));
  (void)m_Hub->send(*m_Leader, std::move(Message)); // The next one replaces it.
}

void ControlLink::delayWork(std::size_t Bytes) {
  m_NextWork +=
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(Bytes) / WorkBytesPerSecond));
}

void ControlLink::reportNow() {
  if (m_Leader && !m_HasEnded)
    sendReport(BootClock::now());
}

void ControlLink::sendLastReport() {
  if (!m_Leader || m_HasEnded)
    return;
  m_HasEnded = true;
  wire::Envelope Message;
  Message.mutable_entry_report()->set_last(true);
  (void)m_Hub->send(*m_Leader, std::move(Message)); // Else the lease runs out.
}

void ControlLink::turn() {
  if (m_HasEnded)
    return;
  const TimePoint Now = BootClock::now();
  std::vector<OnReply> Late;
  for (auto Open = m_Calls.begin(); Open != m_Calls.end();) {
    if (Open->second.m_Deadline > Now) {
      ++Open;
      continue;
    }
    Late.push_back(std::move(Open->second.m_Done));
    Open = m_Calls.erase(Open);
  }
  for (const OnReply &Done : Late)
    Done(Error{"control.call", m_Leader ? m_Leader->m_Value : "",
               "no reply in time"});
  if (m_Leader && Now - m_LastHeard > LeaderSilence)
    loseLeader();
  if (!m_Leader) {
    if (Now < m_NextHello)
      return;
    m_NextHello = Now + HelloInterval;
    sendHello(m_Members[m_NextMember++ % m_Members.size()].m_Id);
    return;
  }
  sendCalls(Now);
  if (Now >= m_NextWork)
    sendWork(Now);
  if (Now < m_NextReport)
    return;
  m_NextReport = Now + ReportInterval;
  sendReport(Now);
}

} // namespace wasabivale::entry
