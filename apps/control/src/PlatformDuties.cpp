#include "PlatformDuties.h"

#include "events/events.h"

namespace wasabivale::control {

namespace {

/// Longest life of a call. One that was not answered may act later, but its
/// bytes have left this VM by then or never will.
constexpr std::chrono::milliseconds CallTimeout{1'000};
/// Lets the lease of a former leader and the calls that it sent last run out,
/// with clocks that differ by some percent.
constexpr std::chrono::milliseconds HandoverMargin{300};
/// Pause before a report that was not taken is sent again.
constexpr std::chrono::milliseconds RepeatPause{1'000};

std::string_view answerName(platform::DutyAnswer Value) {
  switch (Value) {
  case platform::DutyAnswer::Accepted:
    return "accepted";
  case platform::DutyAnswer::Conflict:
    return "conflict";
  case platform::DutyAnswer::TooMany:
    return "too_many";
  case platform::DutyAnswer::Unclear:
    return "unclear";
  }
  return "unclear";
}

duties::ScaleAnswer toScaleAnswer(platform::DutyAnswer Value) {
  switch (Value) {
  case platform::DutyAnswer::Accepted:
    return duties::ScaleAnswer::Accepted;
  case platform::DutyAnswer::Conflict:
    return duties::ScaleAnswer::Unavailable;
  case platform::DutyAnswer::TooMany:
  case platform::DutyAnswer::Unclear:
    break;
  }
  return duties::ScaleAnswer::Unclear;
}

Duration timeOfDayNow() {
  return std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch());
}

std::map<ZoneId, duties::ZoneTargets> countTargets(const fleet::State &Known,
                                                   const std::string &Service) {
  std::map<ZoneId, duties::ZoneTargets> Zones;
  for (const auto &[Name, Target] : Known.m_Targets.m_ById) {
    if (Target.m_Models.count(Service) == 0)
      continue;
    // A zone whose targets have all gone keeps its row.
    duties::ZoneTargets &Zone = Zones[Target.m_Zone];
    // One whose role changes returns by itself.
    const bool IsHeld =
        Target.m_State == fleet::TargetState::Draining && Target.m_Held;
    if ((Target.m_State == fleet::TargetState::Serving || IsHeld) &&
        !Target.m_LeaveRequested)
      ++(Target.m_IsReclaimable ? Zone.m_Reclaimable : Zone.m_Usual);
  }
  return Zones;
}

} // namespace

PlatformDuties::PlatformDuties(event_base *Loop, metrics::Registry &Registry,
                               const DutySettings &Settings, LeaderHooks Hooks)
    : m_Registry(Registry), m_Settings(Settings), m_Hooks(std::move(Hooks)),
      m_Connections(Loop, http::PoolSettings{}) {}

PlatformDuties::~PlatformDuties() { endTerm(); }

void PlatformDuties::startTerm(std::uint64_t Term, const fleet::Duties &Decided,
                               TimePoint Now) {
  endTerm();
  m_Term = Term;
  m_IsFenced = false;
  m_SendFrom = Decided.isUntouched()
                   ? Now
                   : Now + m_Settings.m_Lease + CallTimeout + HandoverMargin;
  m_UsageSince.reset();
  m_TakenWindow.reset();
  m_NextUsageCall = {};
  m_Usage = {};
  m_Scaling = {};
  for (const auto &[Kind, Count] : Decided.m_Ordered)
    duties::adoptOrder(
        m_Scaling, {Kind.m_Service, Kind.m_Zone, Kind.m_Reclaimable, Count});
}

void PlatformDuties::endTerm() {
  m_Term = 0;
  if (const OpenCall Former = std::exchange(m_UsageCall, {}); Former.m_Call)
    Former.m_Call->cancel();
  for (const auto &[Where, Calls] : std::exchange(m_ScaleCalls, {}))
    for (const OpenCall &Former : Calls)
      if (Former.m_Call)
        Former.m_Call->cancel();
}

void PlatformDuties::handleReport(const NodeId &Entry, std::uint64_t Session,
                                  const wire::EntryReport &Report,
                                  const fleet::Duties &Decided) {
  if (!m_Settings.m_ReportsUsage)
    return;
  duties::dropClosed(m_Usage, Decided.m_NewestClosed);
  duties::WindowCounts Reported;
  for (const wire::UsageWindow &Row : Report.usage()) {
    duties::CustomerCounts &Counts = Reported[Row.window()];
    for (const wire::CustomerUsage &Each : Row.customers())
      Counts[Each.customer()] = Each.requests();
  }
  duties::recordReport(m_Usage, Entry, Session, Reported,
                       Decided.m_NewestClosed);
}

void PlatformDuties::sampleClock(TimePoint Now) {
  duties::addSample(m_Clock, timeOfDayNow(), Now);
}

void PlatformDuties::tick(const fleet::State &Known, TimePoint Now) {
  if (m_Term == 0 || m_IsFenced || Now < m_SendFrom)
    return;
  if (m_Settings.m_ReportsUsage) {
    closeWindow(Known, Now);
    reportUsage(Known.m_Duties, Now);
  }
  if (m_Settings.m_OrdersTargets)
    orderTargets(Known, Now);
}

platform::DutyHolder PlatformDuties::holder() const {
  return {m_Settings.m_Holder, m_Term};
}

std::shared_ptr<http::ClientCall>
PlatformDuties::call(const char *Duty, http::ClientRequest What, TimePoint Now,
                     std::function<void(platform::DutyAnswer)> Done) {
  What.m_To = m_Settings.m_Address;
  What.m_Deadline = Now + CallTimeout;
  What.m_FreshConnection = true;
  http::ClientHandlers Handlers;
  Handlers.m_OnDone = [this, Duty, Done = std::move(Done)](
                          const Result<http::Response> &Answer) {
    const platform::DutyAnswer Read = platform::readDutyAnswer(Answer);
    m_Registry
        .counter("wasabivale_duty_calls_total",
                 "Calls of duties to the platform, by their answers",
                 {{"duty", Duty}, {"answer", std::string(answerName(Read))}})
        .add();
    Done(Read);
  };
  return m_Connections.call(std::move(What), std::move(Handlers), false);
}

// --- Usage
// --------------------------------------------------------------------

void PlatformDuties::closeWindow(const fleet::State &Known, TimePoint Now) {
  const auto TimeOfDay = duties::timeOfDay(m_Clock, Now);
  if (!Known.m_Routes.m_Table.checks_keys() || !TimeOfDay)
    return;
  if (!m_UsageSince)
    m_UsageSince = TimeOfDay;
  duties::dropClosed(m_Usage, Known.m_Duties.m_NewestClosed);
  duties::UsageSchedule Schedule;
  Schedule.m_Length = m_Settings.m_UsageWindow;
  const auto Due =
      duties::nextToClose(m_Usage, Schedule, Known.m_Duties.m_NewestClosed,
                          *m_UsageSince, *TimeOfDay);
  if (!Due)
    return;
  wire::Command Next;
  wire::UsageWindow &Usage = *Next.mutable_close_usage()->mutable_usage();
  Usage.set_window(Due->m_Window);
  for (const auto &[Customer, Count] : Due->m_Counts) {
    wire::CustomerUsage &Row = *Usage.add_customers();
    Row.set_customer(Customer);
    Row.set_requests(Count);
  }
  m_Hooks.m_Propose("usage/close/" + std::to_string(Due->m_Window),
                    std::move(Next));
}

void PlatformDuties::reportUsage(const fleet::Duties &Decided, TimePoint Now) {
  if (Decided.m_Closed.empty() || m_UsageCall.m_IsOpen ||
      Now < m_NextUsageCall || !m_Hooks.m_MaySend())
    return;
  const auto &[Window, Usage] = *Decided.m_Closed.begin();
  // Its end is not committed yet.
  if (m_TakenWindow && Window <= *m_TakenWindow)
    return proposeReported(Window);
  std::map<std::string, std::uint64_t> Counts;
  std::uint64_t Sum = 0;
  for (const wire::CustomerUsage &Row : Usage.customers()) {
    Counts[Row.customer()] = Row.requests();
    Sum += Row.requests();
  }
  m_NextUsageCall = Now + RepeatPause;
  m_UsageCall.m_IsOpen = true;
  m_UsageCall.m_Call =
      call("usage", platform::writeUsage(holder(), Window, Counts), Now,
           [this, Number = Window, Sum](platform::DutyAnswer Answer) {
             m_UsageCall.m_IsOpen = false;
             events::emit(events::Event::UsageReported,
                          {{"window", Number},
                           {"requests", Sum},
                           {"term", m_Term},
                           {"answer", answerName(Answer)}});
             if (Answer == platform::DutyAnswer::Conflict)
               m_IsFenced = true;
             if (Answer != platform::DutyAnswer::Accepted)
               return;
             m_NextUsageCall = {};
             m_TakenWindow = Number;
             proposeReported(Number);
           });
}

void PlatformDuties::proposeReported(std::uint64_t Window) {
  wire::Command Next;
  Next.mutable_usage_reported()->set_window(Window);
  m_Hooks.m_Propose("usage/reported/" + std::to_string(Window),
                    std::move(Next));
}

// --- Number of targets
// --------------------------------------------------------

void PlatformDuties::orderTargets(const fleet::State &Known, TimePoint Now) {
  for (const wire::RoutedService &Service : Known.m_Routes.m_Table.services()) {
    if (!Service.has_scaling())
      continue;
    const routes::Scaling Bounds = routes::fromWire(Service.scaling());
    for (const duties::ScaleOrder &Due :
         duties::dueOrders(m_Scaling, Service.name(), Bounds,
                           countTargets(Known, Service.name()), Now)) {
      const auto Committed = Known.m_Duties.m_Ordered.find(
          {Due.m_Service, Due.m_Zone, Due.m_Reclaimable});
      if (Committed != Known.m_Duties.m_Ordered.end() &&
          Committed->second == Due.m_Count) {
        order(Due, Bounds, Now);
        continue;
      }
      wire::Command Next;
      wire::ScaleTargets &Order = *Next.mutable_scale_targets();
      Order.set_service(Due.m_Service);
      Order.set_zone(Due.m_Zone.m_Value);
      Order.set_reclaimable(Due.m_Reclaimable);
      Order.set_count(Due.m_Count);
      m_Hooks.m_Propose("scale/" + Due.m_Service + '/' + Due.m_Zone.m_Value +
                            (Due.m_Reclaimable ? "/reclaimable" : "/usual"),
                        std::move(Next));
    }
  }
}

void PlatformDuties::order(const duties::ScaleOrder &Due,
                           const routes::Scaling &Bounds, TimePoint Now) {
  if (!m_Hooks.m_MaySend())
    return;
  const std::size_t Kind = Due.m_Reclaimable ? 1 : 0;
  OpenCall &Open = m_ScaleCalls[{Due.m_Service, Due.m_Zone}][Kind];
  if (Open.m_IsOpen)
    return;
  duties::recordSent(m_Scaling, Due, Now);
  Open.m_IsOpen = true;
  Open.m_Call =
      call("scale",
           platform::writeScale(holder(), Due.m_Service, Due.m_Zone,
                                Due.m_Reclaimable, Due.m_Count),
           Now, [this, Due, Bounds, Kind](platform::DutyAnswer Answer) {
             m_ScaleCalls[{Due.m_Service, Due.m_Zone}][Kind].m_IsOpen = false;
             events::emit(events::Event::TargetsOrdered,
                          {{"service", Due.m_Service},
                           {"zone", Due.m_Zone},
                           {"reclaimable", Due.m_Reclaimable},
                           {"count", Due.m_Count},
                           {"term", m_Term},
                           {"answer", answerName(Answer)}});
             duties::recordAnswer(m_Scaling, Due, toScaleAnswer(Answer), Bounds,
                                  BootClock::now());
           });
}

} // namespace wasabivale::control
