#include "Orders.h"
#include "Plans.h"
#include "Targets.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::fleet {

namespace {

/// Collects actions, and numbers the fences of the orders among them.
class Collector {
public:
  Collector(const State &Known, const DueSettings &Settings)
      : m_Known(Known), m_Settings(Settings),
        m_Sequence(Known.m_Orders.m_Last.m_Sequence),
        m_Loads(loadsUnderWay(Known.m_Orders)) {}

  void lose(const Target &Which) {
    wire::Command Next;
    Next.mutable_lose_target()->set_target(Which.m_Id.m_Value);
    Next.mutable_lose_target()->set_incarnation(Which.m_Incarnation);
    propose("lose/" + Which.m_Id.m_Value + '/' + Which.m_Incarnation, Next);
  }

  void reachBarrier(const Target &Which) {
    wire::Command Next;
    Next.mutable_barrier_reached()->set_target(Which.m_Id.m_Value);
    Next.mutable_barrier_reached()->set_generation(Which.m_Generation);
    propose(
        fmt::format("barrier/{}/{}", Which.m_Id.m_Value, Which.m_Generation),
        Next);
  }

  void startStep(const Plan &Of, std::uint32_t Step) {
    wire::Command Next;
    Next.mutable_start_step()->set_plan(Of.m_Id.m_Value);
    Next.mutable_start_step()->set_step(Step);
    propose(fmt::format("step/{}/{}", Of.m_Id.m_Value, Step), Next);
  }

  /// Proposes an order unless the weight store is busy.
  void issue(const Target &For, const Wanted &Want, const PlanId &Of,
             std::uint32_t Step) {
    if (loads(For, Want)) {
      if (m_Loads >= m_Known.m_Configuration.m_LoadsAtOnce)
        return;
      m_Loads += 1;
    }
    wire::Command Next;
    wire::IssueOrder &Ask = *Next.mutable_issue_order();
    Ask.set_target(For.m_Id.m_Value);
    Ask.set_incarnation(For.m_Incarnation);
    Ask.set_plan(Of.m_Value);
    Ask.set_step(Step);
    Ask.set_fence_sequence(++m_Sequence);
    propose(fmt::format("issue/{}/{}/{}", For.m_Id.m_Value, Of.m_Value, Step),
            Next);
  }

  void carryOut(const Order &Which) {
    m_Actions.push_back(CarryOutOrder{Which.m_Id});
  }

  void carryOut(const Plan &Of, std::uint32_t Step) {
    m_Actions.push_back(CarryOutMember{Of.m_Id, Step});
  }

  std::vector<Action> take() { return std::move(m_Actions); }

private:
  void propose(std::string Key, wire::Command Next) {
    Next.set_term(m_Settings.m_Term);
    m_Actions.push_back(Propose{std::move(Key), std::move(Next)});
  }

  const State &m_Known;
  const DueSettings &m_Settings;
  std::uint64_t m_Sequence;
  std::size_t m_Loads;
  std::vector<Action> m_Actions;
};

/// Whether any entry that can be heard relays what targets report, or the
/// leader hears them itself.
bool hearsTargets(const Barriers &Heard, TimePoint Now) {
  return Heard.m_HearsTargets ||
         std::any_of(Heard.m_Entries.begin(), Heard.m_Entries.end(),
                     [&](const auto &Each) {
                       return Each.second.m_LeaseUntil > Now &&
                              Each.second.m_ReportsTargets;
                     });
}

bool isLost(const Target &Which, const Barriers &Heard, TimePoint Now,
            Duration After) {
  if (Which.m_State == TargetState::Lost ||
      Which.m_State == TargetState::Withdrawn)
    return false;
  const auto Seen = Heard.m_Seen.find(Which.m_Id);
  return Seen != Heard.m_Seen.end() && Now - Seen->second.m_At > After;
}

/// Silence of most targets at once is taken for a fault on the way here. What
/// has ended is then still noticed by the entries, which get no answer.
bool hearsMost(const State &Known, const Barriers &Heard, TimePoint Now,
               const DueSettings &Settings) {
  std::size_t Present = 0;
  std::size_t Silent = 0;
  for (const auto &[Name, Each] : Known.m_Targets.m_ById) {
    if (!Each.m_SelfManaged || Each.m_State != TargetState::Serving)
      continue;
    ++Present;
    Silent += isLost(Each, Heard, Now, Settings.m_LostAfter) ? 1 : 0;
  }
  return Silent * 2 <= Present;
}

/// The order that brings a target back, unless a step sees to it.
std::optional<Wanted> ownOrder(const State &Known, const Target &Which) {
  const bool Waits = Which.m_State == TargetState::Announced ||
                     Which.m_State == TargetState::Leaving;
  if (!Waits || hasActiveStep(Known, Which) ||
      underWay(Known.m_Orders, Which.m_Id) != nullptr)
    return std::nullopt;
  return restoration(Which);
}

bool waitsForBarrier(const State &Known, const Target &Which,
                     const std::optional<Wanted> &Own) {
  if (Which.m_BarrierReached == Which.m_Generation)
    return false;
  if (Own)
    return needsBarrier(Which, *Own);
  return hasActiveStep(Known, Which) &&
         underWay(Known.m_Orders, Which.m_Id) == nullptr;
}

void targetActions(const State &Known, const Barriers &Heard, TimePoint Now,
                   const DueSettings &Settings, Collector &Out) {
  const bool Hears =
      hearsTargets(Heard, Now) && hearsMost(Known, Heard, Now, Settings);
  for (const auto &[Name, Each] : Known.m_Targets.m_ById) {
    if (Hears && isLost(Each, Heard, Now, Settings.m_LostAfter)) {
      Out.lose(Each);
      continue;
    }
    if (Each.m_State == TargetState::Serving ||
        Each.m_State == TargetState::Lost)
      continue;
    const std::optional<Wanted> Own = ownOrder(Known, Each);
    if (waitsForBarrier(Known, Each, Own)) {
      if (barrierReached(Heard, Each, Now))
        Out.reachBarrier(Each);
    } else if (Own) {
      Out.issue(Each, *Own, {}, 0);
    }
  }
}

void stepActions(const State &Known, const Plan &Of, std::uint32_t Index,
                 Collector &Out) {
  const Step &Each = Of.m_Steps[Index];
  if (canStart(Known, Of, Index))
    Out.startStep(Of, Index);
  if (Each.m_Kind == StepKind::Member) {
    if (Each.m_Phase == StepPhase::Ordered)
      Out.carryOut(Of, Index);
    return;
  }
  const Target *About = findTarget(Known.m_Targets, Each.m_Target);
  if (Each.m_Phase == StepPhase::Ready && About != nullptr)
    Out.issue(*About, Each.m_Want, Of.m_Id, Index);
}

} // namespace

std::vector<Action> due(const State &Known, const Barriers &Heard,
                        TimePoint Now, const DueSettings &Settings) {
  Collector Out(Known, Settings);
  targetActions(Known, Heard, Now, Settings, Out);
  for (const auto &[Name, Each] : Known.m_Plans.m_ById)
    if (Each.m_Phase == PlanPhase::Running)
      for (std::uint32_t I = 0; I < Each.m_Steps.size(); ++I)
        stepActions(Known, Each, I, Out);
  for (const auto &[Name, Which] : Known.m_Orders.m_UnderWay)
    Out.carryOut(Known.m_Orders.m_ById.at(Which));
  return Out.take();
}

} // namespace wasabivale::fleet
