#include "RoleOrders.h"

#include "events/events.h"
#include "platform/platform.h"

namespace wasabivale::control {

namespace {

constexpr std::chrono::milliseconds LookInterval{1000};
/// Weight of the last second in the smoothed load.
constexpr double LoadAlpha = 0.4;
/// Looks in a row that must agree before engines change.
constexpr std::uint32_t LooksToAgree = 2;
/// A former leader's last order may still be under way, and two leaders must
/// not order one engine about in turn: longer than any lease that targets
/// grant their holders.
constexpr std::chrono::milliseconds SettleTime{4000};
/// An order without an answer may come true this much later; nothing else is
/// ordered before.
constexpr std::chrono::seconds UnansweredTime{15};
/// Time that entries have to let an engine go.
constexpr std::chrono::milliseconds HoldPatience{1500};
/// Time for an engine to take its new role; it is put back as it is then.
constexpr std::chrono::milliseconds ChangePatience{9000};
constexpr std::chrono::milliseconds OrderTimeout{1000};
/// An engine may name its new role before it has warmed up for it.
constexpr std::chrono::milliseconds LeastChangeTime{3000};
/// Orders of one term; fences of a later term are higher.
constexpr std::uint64_t OrdersInTerm = 1U << 20U;

double seconds(Duration Of) {
  return std::chrono::duration<double>(Of).count();
}

} // namespace

RoleOrders::RoleOrders(event_base *Loop, metrics::Registry &Registry, Ties To)
    : m_Loop(Loop), m_Registry(Registry), m_To(std::move(To)) {}

RoleOrders::~RoleOrders() { endTerm(); }

void RoleOrders::startTerm(std::uint64_t Term, bool MayHaveOrders,
                           TimePoint Now) {
  endTerm();
  m_Term = Term;
  m_Sequence = 0;
  m_SettledAt = MayHaveOrders ? Now + SettleTime : Now;
  m_LookedAt = Now;
  m_Services.clear();
  m_NotBefore.clear();
}

void RoleOrders::endTerm() {
  for (auto &[Name, Open] : m_Open)
    if (Open.m_Call != nullptr)
      Open.m_Call->cancel();
  m_Open.clear();
}

void RoleOrders::takeReport(const wire::EntryReport &Report) {
  for (const wire::ModelDemand &Each : Report.demand()) {
    Service &Of = m_Services[Each.model()];
    Of.m_Requests += static_cast<double>(Each.requests());
    Of.m_PromptTokens += static_cast<double>(Each.prompt_tokens());
  }
}

void RoleOrders::turn(const fleet::State &Known,
                      const fleet::ObservedState &Heard, TimePoint Now) {
  if (Now < m_SettledAt)
    return;
  goOn(Known, Heard, Now);
  if (Now - m_LookedAt >= LookInterval)
    look(Known, Now);
}

void RoleOrders::look(const fleet::State &Known, TimePoint Now) {
  const double Passed = seconds(Now - m_LookedAt);
  m_LookedAt = Now;
  for (const auto &[Id, Each] : Known.m_Targets.m_ById)
    if (Each.m_IsEngine && Each.m_SelfManaged)
      for (const std::string &Name : Each.m_Models)
        m_Services.try_emplace(Name);
  for (auto &[Name, Of] : m_Services) {
    const auto Smooth = [&](double &Mean, double &Count) {
      Mean += LoadAlpha * (std::exchange(Count, 0) / Passed - Mean);
    };
    Smooth(Of.m_Load.m_RequestsPerSecond, Of.m_Requests);
    Smooth(Of.m_Load.m_PromptTokensPerSecond, Of.m_PromptTokens);
    Of.m_Load.m_NoTrafficYet =
        Known.m_Targets.m_HoldCount == 0 && Of.m_Load.m_RequestsPerSecond <= 0;
    std::vector<roles::SplitEngine> Engines;
    for (const auto &[Id, Each] : Known.m_Targets.m_ById) {
      const bool Present =
          Each.m_State == fleet::TargetState::Serving || m_Open.count(Id) != 0;
      if (!Each.m_IsEngine || !Each.m_SelfManaged || !Present ||
          Each.m_Models.count(Name) == 0)
        continue;
      const auto Open = m_Open.find(Id);
      const auto Role = roles::parseRole(Each.m_Role);
      if (!Role || *Role == roles::Role::Mixed)
        continue;
      const auto Pause = m_NotBefore.find(Id);
      Engines.push_back({Id, Open == m_Open.end() ? *Role : Open->second.m_To,
                         Open != m_Open.end(),
                         Pause != m_NotBefore.end() && Now < Pause->second,
                         Each.m_MaxRunning});
    }
    if (Engines.empty())
      continue;
    const auto Changes =
        roles::planRoleChanges(Engines, Of.m_Load, roles::SplitSettings{});
    Of.m_Wanting = Changes.empty() ? 0 : Of.m_Wanting + 1;
    if (Of.m_Wanting < LooksToAgree)
      continue;
    for (const auto &[Id, Role] : Changes)
      begin(Known.m_Targets.m_ById.at(Id), Role, Now);
  }
}

void RoleOrders::begin(const fleet::Target &Which, roles::Role To,
                       TimePoint Now) {
  m_Open[Which.m_Id] = {Which.m_Incarnation, To, Now, {}, false, nullptr};
  events::emit(events::Event::RoleChangeStarted,
               {{"target", Which.m_Id},
                {"incarnation", Which.m_Incarnation},
                {"from", Which.m_Role},
                {"to", roles::roleName(To)},
                {"term", m_Term}});
  wire::Command Next;
  Next.mutable_hold_target()->set_target(Which.m_Id.m_Value);
  Next.mutable_hold_target()->set_incarnation(Which.m_Incarnation);
  Next.mutable_hold_target()->set_held(true);
  m_To.m_Propose("hold/" + Which.m_Id.m_Value, std::move(Next));
}

void RoleOrders::release(const TargetId &Name, const std::string &Incarnation,
                         const std::string &Role) {
  wire::Command Next;
  Next.mutable_hold_target()->set_target(Name.m_Value);
  Next.mutable_hold_target()->set_incarnation(Incarnation);
  Next.mutable_hold_target()->set_held(false);
  Next.mutable_hold_target()->set_role(Role);
  m_To.m_Propose("release/" + Name.m_Value, std::move(Next));
}

void RoleOrders::goOn(const fleet::State &Known,
                      const fleet::ObservedState &Heard, TimePoint Now) {
  for (auto Each = m_Open.begin(); Each != m_Open.end();) {
    Change &Open = Each->second;
    const auto Found = Known.m_Targets.m_ById.find(Each->first);
    const bool Same = Found != Known.m_Targets.m_ById.end() &&
                      Found->second.m_Incarnation == Open.m_Incarnation;
    const bool Late = Now - Open.m_Since > ChangePatience;
    if (!Same || Open.m_Ended || Late) {
      if (Same)
        release(Each->first, Open.m_Incarnation, "");
      if (Late)
        events::emit(events::Event::RoleChangeEnded,
                     {{"target", Each->first}, {"done", false}});
      if (Open.m_Call != nullptr)
        Open.m_Call->cancel();
      Each = m_Open.erase(Each);
      continue;
    }
    const fleet::Target &Which = Found->second;
    const bool Closed =
        Which.m_Held && (fleet::isClosedAtAllEntries(Heard, Which, Now) ||
                         Now - Open.m_Since > HoldPatience);
    if (Open.m_SentAt == TimePoint() && Closed)
      order(Which, Open, Now);
    // Its own message names the role that it has.
    const bool Done = Open.m_SentAt != TimePoint() &&
                      Now - Open.m_SentAt > LeastChangeTime &&
                      Which.m_Role == roles::roleName(Open.m_To);
    if (Done) {
      events::emit(
          events::Event::RoleChangeEnded,
          {{"target", Each->first}, {"done", true}, {"role", Which.m_Role}});
      Open.m_Ended = true;
      continue;
    }
    ++Each;
  }
  // What a former leader held and did not put back.
  for (const auto &[Name, Each] : Known.m_Targets.m_ById)
    if (Each.m_Held && m_Open.count(Name) == 0)
      release(Name, Each.m_Incarnation, "");
}

void RoleOrders::order(const fleet::Target &Which, Change &Open,
                       TimePoint Now) {
  const auto Address = http::parseAddress(Which.m_Address);
  // Checked in the same turn of the loop as the send.
  if (failed(Address) || !m_To.m_MaySend())
    return;
  Open.m_SentAt = Now;
  m_NotBefore[Which.m_Id] = Now + UnansweredTime;
  const platform::RoleOrder What{
      Which.m_Id,
      Open.m_To == roles::Role::Prefill ? targets::Role::Prefill
                                        : targets::Role::Decode,
      m_To.m_Self, m_Term * OrdersInTerm + ++m_Sequence};
  http::ClientRequest Out = platform::writeOrder(What);
  Out.m_To = valueOf(Address);
  Out.m_Deadline = Now + OrderTimeout;
  events::emit(events::Event::OrderSent,
               {{"target", Which.m_Id},
                {"role", targets::roleName(What.m_Role)},
                {"fence", What.m_Fence},
                {"term", m_Term}});
  http::ClientHandlers Handlers;
  Handlers.m_OnDone = [this,
                       Id = Which.m_Id](const Result<http::Response> &Got) {
    const auto Found = m_Open.find(Id);
    if (Found == m_Open.end())
      return;
    Found->second.m_Call.reset();
    const int Status = failed(Got) ? 0 : valueOf(Got).m_Status;
    m_Registry
        .counter("wasabivale_role_orders_total",
                 "Orders for a role, by the engine's answer",
                 {{"status", std::to_string(Status)}})
        .add();
    // Without an answer it may still be carried out: its own messages tell.
    if (Status != 0 && !platform::isOrderTaken(Status)) {
      events::emit(events::Event::OrderRefused,
                   {{"target", Id}, {"status", Status}});
      Found->second.m_Ended = true;
    }
  };
  Open.m_Call = http::call(m_Loop, std::move(Out), std::move(Handlers));
}

} // namespace wasabivale::control
