#include "RoleOrders.h"

#include "events/events.h"
#include "platform/platform.h"

#include <algorithm>
#include <set>

namespace wasabivale::control {

namespace {

constexpr std::chrono::milliseconds EvaluationInterval{1000};
/// Longest wait for engines that are to be replaced before the first request:
/// the number of targets settles, others boot, and these drain.
constexpr std::chrono::seconds ReplacementTime{11};
/// Weight of the last second in the smoothed load.
constexpr double LoadAlpha = 0.4;
/// Lifetime of an entry's streams without a further report.
constexpr std::chrono::milliseconds EntryLoadTimeout{2000};
/// Lifetime of the observed rate of prefills without a further report.
constexpr std::chrono::seconds PrefillRateTimeout{30};
/// Assumed duration of a stream where entries do not report their streams.
constexpr std::chrono::milliseconds UncountedStreamDuration{1500};
/// Part of the largest number of streams that remains after an evaluation:
/// engines do not leave decoding in a short dip.
constexpr double StreamPeakDecay = 0.9;
/// Evaluations with traffic before the first change: the smoothed load has not
/// settled yet.
constexpr std::uint32_t MinEvaluations = 5;
/// Evaluations in a row that must call for a change.
constexpr std::uint32_t AgreeingEvaluations = 2;
/// The last order of a former leader may still be in progress, and two leaders
/// must not order the same engine alternately. This exceeds any lease that
/// targets grant their holders.
constexpr std::chrono::milliseconds SettleTime{4000};
/// An unanswered order may still be executed for this long; no other order is
/// sent to the engine meanwhile.
constexpr std::chrono::seconds UnansweredOrderPause{15};
/// Time for entries to stop sending work to a held engine.
constexpr std::chrono::milliseconds HoldTimeout{1500};
/// Time for an engine to take its new role; it is then released as it is.
constexpr std::chrono::milliseconds ChangeTimeout{9000};
constexpr std::chrono::milliseconds OrderTimeout{1000};
/// An engine may report its new role before it has warmed up.
constexpr std::chrono::milliseconds MinChangeTime{3000};
/// Fence numbers per term; fences of a later term are higher.
constexpr std::uint64_t MaxOrdersPerTerm = 1U << 20U;

double seconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

std::uint32_t requestsAt(const fleet::SharedWork &Work, const TargetId &Id) {
  const auto Found = Work.m_Sums.find(Id);
  return Found == Work.m_Sums.end() ? 0 : Found->second.m_Requests;
}

/// Whether cheaper engines may take the place of some that serve now. Roles
/// that these are given before the first request would be lost with them.
bool isBeingReplaced(const fleet::State &Known, const std::string &Name) {
  for (const wire::RoutedService &Service : Known.m_Routes.m_Table.services())
    if (Service.name() == Name && Service.has_scaling() &&
        Service.scaling().reclaimable_price() > 0 &&
        Service.scaling().reclaimable_price() < 1)
      return std::any_of(Known.m_Targets.m_ById.begin(),
                         Known.m_Targets.m_ById.end(), [&](const auto &Item) {
                           const fleet::Target &Target = Item.second;
                           return Target.m_State ==
                                      fleet::TargetState::Serving &&
                                  !Target.m_IsReclaimable &&
                                  Target.m_Models.count(Name) != 0;
                         });
  return false;
}

/// Time that an engine's link needs for the KV memory of one token; zero if the
/// service does not state it.
double transferSecondsPerToken(const wire::RouteTable &Routes,
                               const std::string &Name) {
  constexpr double BitsPerByte = 8;
  for (const wire::RoutedService &Service : Routes.services())
    if (Service.name() == Name && Service.kv_link_bits_per_second() > 0)
      return static_cast<double>(Service.kv_bytes_per_token()) * BitsPerByte /
             static_cast<double>(Service.kv_link_bits_per_second());
  return 0;
}

} // namespace

RoleOrders::RoleOrders(event_base *Loop, metrics::Registry &Registry,
                       LeaderHooks Hooks)
    : m_Loop(Loop), m_Registry(Registry), m_Hooks(std::move(Hooks)) {}

RoleOrders::~RoleOrders() { endTerm(); }

void RoleOrders::startTerm(std::uint64_t Term, bool MayHaveOrders,
                           TimePoint Now) {
  endTerm();
  m_Term = Term;
  m_Sequence = 0;
  m_OrdersStartAt = MayHaveOrders ? Now + SettleTime : Now;
  m_EvaluatedAt = Now;
  m_Services.clear();
  m_NotBefore.clear();
}

void RoleOrders::endTerm() {
  for (auto &[Name, Open] : m_Open)
    if (Open.m_Call != nullptr)
      Open.m_Call->cancel();
  m_Open.clear();
}

void RoleOrders::handleReport(const NodeId &Entry,
                              const wire::EntryReport &Report, TimePoint Now) {
  for (auto &[Name, Current] : m_Services)
    Current.m_ByEntry.erase(Entry);
  for (const wire::ModelDemand &Demand : Report.demand()) {
    // `evaluate` adds the services of registered engines.
    const auto Found = m_Services.find(Demand.model());
    if (Found == m_Services.end())
      continue;
    Service &Current = Found->second;
    Current.m_Requests += static_cast<double>(Demand.requests());
    Current.m_PromptTokens += static_cast<double>(Demand.prompt_tokens());
    if (!Demand.has_streams()) {
      Current.m_UncountedRequests += static_cast<double>(Demand.requests());
      continue;
    }
    EntryLoad &Load = Current.m_ByEntry[Entry];
    Load.m_Streams = Demand.streams();
    if (Demand.has_prefill_rate() && Demand.prefill_rate() > 0)
      Load.m_PrefillRate = Demand.prefill_rate();
    Load.m_ReportTime = Now;
  }
}

void RoleOrders::updateLoad(Service &Current, double Elapsed, TimePoint Now) {
  std::erase_if(Current.m_ByEntry, [Now](const auto &Item) {
    return Now - Item.second.m_ReportTime > EntryLoadTimeout;
  });
  double Streams = std::exchange(Current.m_UncountedRequests, 0) / Elapsed *
                   seconds(UncountedStreamDuration);
  std::vector<double> Rates;
  for (const auto &[Entry, Load] : Current.m_ByEntry) {
    Streams += Load.m_Streams;
    if (Load.m_PrefillRate)
      Rates.push_back(*Load.m_PrefillRate);
  }
  const auto Smooth = [](double &Mean, double Value) {
    Mean += LoadAlpha * (Value - Mean);
  };
  Smooth(Current.m_Load.m_RequestsPerSecond,
         std::exchange(Current.m_Requests, 0) / Elapsed);
  Smooth(Current.m_Load.m_PromptTokensPerSecond,
         std::exchange(Current.m_PromptTokens, 0) / Elapsed);
  Smooth(Current.m_MeanStreams, Streams);
  Current.m_Load.m_Streams = std::max(
      Current.m_MeanStreams, Current.m_Load.m_Streams * StreamPeakDecay);
  if (Current.m_Load.m_RequestsPerSecond > 0)
    ++Current.m_Evaluations;
  if (Rates.empty()) {
    if (Now - Current.m_PrefillRateTime > PrefillRateTimeout)
      Current.m_Load.m_PrefillTokenRate = 0;
    return;
  }
  Current.m_PrefillRateTime = Now;
  // The median: few entries that err do not move it.
  const auto Middle =
      Rates.begin() + static_cast<std::ptrdiff_t>(Rates.size() / 2);
  std::nth_element(Rates.begin(), Middle, Rates.end());
  Current.m_Load.m_PrefillTokenRate = *Middle;
}

void RoleOrders::tick(const fleet::State &Known,
                      const fleet::ObservedState &Observed,
                      const fleet::SharedWork &Work, TimePoint Now) {
  if (Now < m_OrdersStartAt)
    return;
  advance(Known, Observed, Now);
  if (Now - m_EvaluatedAt >= EvaluationInterval)
    evaluate(Known, Work, Now);
}

void RoleOrders::evaluate(const fleet::State &Known,
                          const fleet::SharedWork &Work, TimePoint Now) {
  const double Passed = seconds(Now - m_EvaluatedAt);
  m_EvaluatedAt = Now;
  std::set<std::string> Registered;
  for (const auto &[Id, Target] : Known.m_Targets.m_ById)
    if (Target.m_IsEngine && Target.m_SelfManaged)
      Registered.insert(Target.m_Models.begin(), Target.m_Models.end());
  std::erase_if(m_Services, [&](const auto &Item) {
    return Registered.count(Item.first) == 0;
  });
  for (const std::string &Name : Registered)
    if (const auto [Added, IsNew] = m_Services.try_emplace(Name); IsNew)
      Added->second.m_FirstSeen = Now;
  std::erase_if(m_NotBefore,
                [Now](const auto &Item) { return Item.second <= Now; });
  for (auto &[Name, Current] : m_Services) {
    updateLoad(Current, Passed, Now);
    Current.m_Load.m_TransferLoad =
        Current.m_Load.m_PromptTokensPerSecond *
        transferSecondsPerToken(Known.m_Routes.m_Table, Name);
    Current.m_Load.m_NoTrafficYet = Known.m_Targets.m_HoldCount == 0 &&
                                    Current.m_Load.m_RequestsPerSecond <= 0;
    if (m_Hooks.m_OrdersTargets && Current.m_Load.m_NoTrafficYet &&
        Now - Current.m_FirstSeen < ReplacementTime &&
        isBeingReplaced(Known, Name))
      continue;
    std::vector<roles::SplitEngine> Engines;
    for (const auto &[Id, Target] : Known.m_Targets.m_ById) {
      const bool Present = Target.m_State == fleet::TargetState::Serving ||
                           m_Open.count(Id) != 0;
      if (!Target.m_IsEngine || !Target.m_SelfManaged || !Present ||
          Target.m_Models.count(Name) == 0)
        continue;
      const auto Open = m_Open.find(Id);
      const auto Role = roles::parseRole(Target.m_Role);
      if (!Role || *Role == roles::Role::Mixed)
        continue;
      const auto Pause = m_NotBefore.find(Id);
      Engines.push_back({Id,
                         Open == m_Open.end() ? *Role : Open->second.m_NewRole,
                         Open != m_Open.end(),
                         Pause != m_NotBefore.end() && Now < Pause->second,
                         Target.m_MaxRunning, requestsAt(Work, Id),
                         Target.m_SoftwareVersion});
    }
    if (Engines.empty())
      continue;
    const auto Changes =
        roles::planRoleChanges(Engines, Current.m_Load, roles::SplitSettings{});
    Current.m_ChangeStreak = Changes.empty() ? 0 : Current.m_ChangeStreak + 1;
    const bool Settled = Current.m_Load.m_NoTrafficYet ||
                         Current.m_Evaluations >= MinEvaluations;
    if (Current.m_ChangeStreak < AgreeingEvaluations || !Settled)
      continue;
    for (const auto &[Id, Role] : Changes)
      begin(Known.m_Targets.m_ById.at(Id), Role, Now);
  }
}

void RoleOrders::begin(const fleet::Target &Target, roles::Role NewRole,
                       TimePoint Now) {
  m_Open[Target.m_Id] = {
      Target.m_Incarnation, NewRole, Now, {}, false, nullptr};
  events::emit(events::Event::RoleChangeStarted,
               {{"target", Target.m_Id},
                {"incarnation", Target.m_Incarnation},
                {"from", Target.m_Role},
                {"to", roles::roleName(NewRole)},
                {"term", m_Term}});
  wire::Command Next;
  Next.mutable_hold_target()->set_target(Target.m_Id.m_Value);
  Next.mutable_hold_target()->set_incarnation(Target.m_Incarnation);
  Next.mutable_hold_target()->set_held(true);
  m_Hooks.m_Propose("hold/" + Target.m_Id.m_Value, std::move(Next));
}

void RoleOrders::release(const TargetId &Name, const std::string &Incarnation,
                         const std::string &Role) {
  wire::Command Next;
  Next.mutable_hold_target()->set_target(Name.m_Value);
  Next.mutable_hold_target()->set_incarnation(Incarnation);
  Next.mutable_hold_target()->set_held(false);
  Next.mutable_hold_target()->set_role(Role);
  m_Hooks.m_Propose("release/" + Name.m_Value, std::move(Next));
}

void RoleOrders::advance(const fleet::State &Known,
                         const fleet::ObservedState &Observed, TimePoint Now) {
  for (auto It = m_Open.begin(); It != m_Open.end();) {
    Change &Open = It->second;
    const auto Found = Known.m_Targets.m_ById.find(It->first);
    const bool Same = Found != Known.m_Targets.m_ById.end() &&
                      Found->second.m_Incarnation == Open.m_Incarnation;
    const bool Late = Now - Open.m_Since > ChangeTimeout;
    if (!Same || Open.m_Ended || Late) {
      if (Same)
        release(It->first, Open.m_Incarnation, "");
      if (Late)
        events::emit(events::Event::RoleChangeEnded,
                     {{"target", It->first}, {"done", false}});
      if (Open.m_Call != nullptr)
        Open.m_Call->cancel();
      It = m_Open.erase(It);
      continue;
    }
    const fleet::Target &Target = Found->second;
    const bool Closed =
        Target.m_Held && (fleet::isClosedAtAllEntries(Observed, Target, Now) ||
                          Now - Open.m_Since > HoldTimeout);
    if (Open.m_SentAt == TimePoint() && Closed)
      order(Target, Open, Now);
    // The role comes from the engine's own message.
    const bool Done = Open.m_SentAt != TimePoint() &&
                      Now - Open.m_SentAt > MinChangeTime &&
                      Target.m_Role == roles::roleName(Open.m_NewRole);
    if (Done) {
      events::emit(
          events::Event::RoleChangeEnded,
          {{"target", It->first}, {"done", true}, {"role", Target.m_Role}});
      Open.m_Ended = true;
      continue;
    }
    ++It;
  }
  // Releases engines that a former leader held.
  for (const auto &[Name, Target] : Known.m_Targets.m_ById)
    if (Target.m_Held && m_Open.count(Name) == 0)
      release(Name, Target.m_Incarnation, "");
}

void RoleOrders::order(const fleet::Target &Target, Change &Open,
                       TimePoint Now) {
  const auto Address = http::parseAddress(Target.m_Address);
  // Checked in the same event loop iteration as the send.
  if (failed(Address) || !m_Hooks.m_MaySend())
    return;
  Open.m_SentAt = Now;
  m_NotBefore[Target.m_Id] = Now + UnansweredOrderPause;
  const platform::RoleOrder Order{
      Target.m_Id,
      Open.m_NewRole == roles::Role::Prefill ? targets::Role::Prefill
                                             : targets::Role::Decode,
      m_Hooks.m_Self, m_Term * MaxOrdersPerTerm + ++m_Sequence};
  http::ClientRequest Request = platform::writeOrder(Order);
  Request.m_To = valueOf(Address);
  Request.m_Deadline = Now + OrderTimeout;
  events::emit(events::Event::OrderSent,
               {{"target", Target.m_Id},
                {"role", targets::roleName(Order.m_Role)},
                {"fence", Order.m_Fence},
                {"term", m_Term}});
  http::ClientHandlers Handlers;
  Handlers.m_OnDone =
      [this, Id = Target.m_Id](const Result<http::Response> &Response) {
        const auto Found = m_Open.find(Id);
        if (Found == m_Open.end())
          return;
        Found->second.m_Call.reset();
        const int Status = failed(Response) ? 0 : valueOf(Response).m_Status;
        m_Registry
            .counter("wasabivale_role_orders_total",
                     "Orders for a role, by the engine's answer",
                     {{"status", std::to_string(Status)}})
            .add();
        // An engine may still execute an order without answering it; its
        // messages show that.
        if (Status != 0 && !platform::isOrderTaken(Status)) {
          events::emit(events::Event::OrderRefused,
                       {{"target", Id}, {"status", Status}});
          Found->second.m_Ended = true;
        }
      };
  Open.m_Call = http::call(m_Loop, std::move(Request), std::move(Handlers));
}

} // namespace wasabivale::control
