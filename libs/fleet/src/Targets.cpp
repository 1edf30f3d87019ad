#include "Targets.h"

#include "Orders.h"
#include "Plans.h"
#include "Replies.h"

#include <algorithm>
#include <array>

namespace wasabivale::fleet {

namespace {

constexpr std::array<std::string_view, 6> StateNames = {
    "announced", "serving", "draining", "leaving", "withdrawn", "lost"};

bool isOut(const Target &Of) {
  return Of.m_State == TargetState::Lost ||
         Of.m_State == TargetState::Withdrawn;
}

/// An address belongs to the target that announced it, until that target is
/// lost or withdrawn.
const Target *holderOf(const Targets &In, const std::string &Address,
                       const TargetId &Except) {
  for (const auto &[Name, Each] : In.m_ById)
    if (Each.m_Address == Address && Name != Except && !isOut(Each))
      return &Each;
  return nullptr;
}

bool isPast(const Target &Of, const std::string &Incarnation) {
  return std::find(Of.m_PastIncarnations.begin(), Of.m_PastIncarnations.end(),
                   Incarnation) != Of.m_PastIncarnations.end();
}

bool isWellFormed(const wire::Target &Said) {
  const bool Engine = Said.kind() == "engine";
  const bool Role = Said.role() == "mixed" || Said.role() == "prefill" ||
                    Said.role() == "decode";
  return !Said.id().empty() && !Said.incarnation().empty() &&
         !Said.address().empty() && (Engine ? Role : Said.kind() == "service");
}

void takeFacts(Target &To, const wire::Target &Said) {
  To.m_Id = {Said.id()};
  To.m_Incarnation = Said.incarnation();
  To.m_Address = Said.address();
  To.m_IsEngine = Said.kind() == "engine";
  To.m_Region = {Said.region()};
  To.m_Zone = {Said.zone()};
  To.m_Role = To.m_IsEngine ? Said.role() : std::string();
  To.m_Models = {Said.models().begin(), Said.models().end()};
  To.m_ChecksFence = Said.checks_fence();
  To.m_KvBlocks = Said.kv_blocks();
  To.m_MaxRunning = Said.max_running();
  To.m_PrefillTokensPerSecond = Said.prefill_tokens_per_second();
  To.m_DecodeTokensPerSecond = Said.decode_tokens_per_second();
  To.m_StartedMs = Said.started_ms();
  To.m_SelfManaged = Said.self_managed();
}

/// Whether the process that announces itself was started at the address of
/// \p Holder after it: that one has ended.
bool tookPlaceOf(const Target &Holder, const wire::Target &Said) {
  return Holder.m_SelfManaged && Said.self_managed() &&
         Holder.m_StartedMs < Said.started_ms();
}

/// Whether a target that changes by itself has done so.
bool factsDiffer(const Target &Known, const wire::Target &Said) {
  Target Next = Known;
  takeFacts(Next, Said);
  return Next.m_Role != Known.m_Role || Next.m_Models != Known.m_Models ||
         Next.m_MaxRunning != Known.m_MaxRunning ||
         Next.m_KvBlocks != Known.m_KvBlocks;
}

void forgetOldTargets(State &On) {
  Targets &In = On.m_Targets;
  for (auto Each = In.m_ById.begin(); Each != In.m_ById.end();) {
    const Target &Old = Each->second;
    const std::chrono::nanoseconds Kept =
        Old.m_SelfManaged ? std::chrono::nanoseconds(SelfManagedKeptFor)
                          : std::chrono::nanoseconds(TargetsKeptFor);
    const bool Forgotten = isOut(Old) && Old.m_ClaimedBy.empty() &&
                           On.m_Now - Old.m_StateSince > Kept;
    if (!Forgotten) {
      ++Each;
      continue;
    }
    In.m_Removed[Each->first] = ++In.m_Revision;
    Each = In.m_ById.erase(Each);
  }
  while (In.m_Removed.size() > RemovedTargetsKept) {
    const auto Oldest = std::min_element(
        In.m_Removed.begin(), In.m_Removed.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; });
    In.m_OldestDelta = std::max(In.m_OldestDelta, Oldest->second);
    In.m_Removed.erase(Oldest);
  }
}

/// Where a target starts after it announced itself anew.
TargetState firstState(const Target &Of) {
  return restoration(Of) ? TargetState::Announced : restingState(Of);
}

void comeBack(State &On, Target &Which, const wire::Target &Said) {
  const bool NewIncarnation = Which.m_Incarnation != Said.incarnation();
  if (NewIncarnation && !Which.m_Incarnation.empty()) {
    Which.m_PastIncarnations.push_back(Which.m_Incarnation);
    if (Which.m_PastIncarnations.size() > PastIncarnationsKept)
      Which.m_PastIncarnations.pop_front();
  }
  takeFacts(Which, Said);
  Which.m_LeavingByItself = false;
  Which.m_Held = false;
  Which.m_Generation += 1;
  supersedeUnderWay(On, Which.m_Id, "the target started anew");
  if (!restartStep(On, Which))
    enter(On, Which, firstState(Which));
  touch(On.m_Targets, Which);
}

} // namespace

std::string_view targetStateName(TargetState Value) {
  return StateNames.at(static_cast<std::size_t>(Value));
}

Target *findTarget(Targets &In, const TargetId &Name) {
  const auto Found = In.m_ById.find(Name);
  return Found == In.m_ById.end() ? nullptr : &Found->second;
}

const Target *findTarget(const Targets &In, const TargetId &Name) {
  const auto Found = In.m_ById.find(Name);
  return Found == In.m_ById.end() ? nullptr : &Found->second;
}

void touch(Targets &In, Target &Changed) {
  In.m_Revision += 1;
  Changed.m_Changed = In.m_Revision;
}

void enter(State &On, Target &Which, TargetState Next) {
  if (Which.m_State == Next)
    return;
  Which.m_State = Next;
  Which.m_StateSince = On.m_Now;
  touch(On.m_Targets, Which);
}

void startDrain(State &On, Target &Which, TargetState Next) {
  Which.m_Generation += 1;
  enter(On, Which, Next);
  touch(On.m_Targets, Which);
}

TargetState restingState(const Target &Of) {
  if (Of.m_Wanted && Of.m_Wanted->m_Withdrawn)
    return TargetState::Withdrawn;
  if (Of.m_LeavingByItself)
    return TargetState::Leaving;
  if (Of.m_Held || (Of.m_Wanted && Of.m_Wanted->m_Draining))
    return TargetState::Draining;
  return TargetState::Serving;
}

Wanted actual(const Target &Of) {
  return {Of.m_Role, Of.m_Models, false, false};
}

Wanted wantedOrActual(const Target &Of) {
  return Of.m_Wanted.value_or(actual(Of));
}

bool loads(const Target &Of, const Wanted &Want) {
  return Of.m_IsEngine &&
         !std::includes(Of.m_Models.begin(), Of.m_Models.end(),
                        Want.m_Models.begin(), Want.m_Models.end());
}

bool needsBarrier(const Target &Of, const Wanted &Want) {
  const bool Keeps = std::includes(Want.m_Models.begin(), Want.m_Models.end(),
                                   Of.m_Models.begin(), Of.m_Models.end());
  return Want.m_Draining || Want.m_Withdrawn || Want.m_Role != Of.m_Role ||
         !Keeps;
}

std::optional<Wanted> restoration(const Target &Of) {
  if (Of.m_SelfManaged)
    return std::nullopt;
  if (Of.m_LeavingByItself && Of.m_State != TargetState::Withdrawn) {
    Wanted Gone = actual(Of);
    Gone.m_Draining = true;
    Gone.m_Withdrawn = true;
    return Gone;
  }
  if (Of.m_Wanted && *Of.m_Wanted != actual(Of))
    return Of.m_Wanted;
  return std::nullopt;
}

Reply announce(State &On, const wire::Target &Said) {
  if (!isWellFormed(Said))
    return refuse(Refusal::InvalidField);
  forgetOldTargets(On);
  const TargetId Name{Said.id()};
  if (const Target *Holder = holderOf(On.m_Targets, Said.address(), Name)) {
    if (!tookPlaceOf(*Holder, Said))
      return refuse(Refusal::AddressInUse,
                    "the address belongs to " + Holder->m_Id.m_Value);
    wire::LoseTarget Ended;
    Ended.set_target(Holder->m_Id.m_Value);
    Ended.set_incarnation(Holder->m_Incarnation);
    lose(On, Ended);
  }
  Target *Known = findTarget(On.m_Targets, Name);
  if (Known == nullptr) {
    comeBack(On, On.m_Targets.m_ById[Name], Said);
    return accept();
  }
  if (isPast(*Known, Said.incarnation()))
    return refuse(Refusal::StaleIncarnation);
  const bool Same = Known->m_Incarnation == Said.incarnation();
  if (Same && Known->m_Address != Said.address())
    return refuse(Refusal::AddressInUse,
                  "this incarnation announced itself at " + Known->m_Address);
  // A beat of an earlier process that was held up on its way.
  if (!Same && Known->m_SelfManaged && Said.started_ms() < Known->m_StartedMs)
    return refuse(Refusal::StaleIncarnation);
  if (Same && Known->m_State != TargetState::Lost) {
    if (Known->m_SelfManaged && factsDiffer(*Known, Said)) {
      takeFacts(*Known, Said);
      touch(On.m_Targets, *Known);
    }
    return accept();
  }
  comeBack(On, *Known, Said);
  return accept();
}

Reply leave(State &On, const wire::LeaveTarget &Said) {
  Target *Known = findTarget(On.m_Targets, {Said.target()});
  if (Known == nullptr)
    return refuse(Refusal::UnknownTarget);
  if (Known->m_Incarnation != Said.incarnation())
    return refuse(Refusal::StaleIncarnation);
  if (Known->m_LeavingByItself || isOut(*Known))
    return accept();
  Known->m_LeavingByItself = true;
  if (underWay(On.m_Orders, Known->m_Id) != nullptr)
    return accept(); // Leaves when the order has ended.
  failStepOf(On, *Known, "the target is leaving");
  startDrain(On, *Known, TargetState::Leaving);
  return accept();
}

Reply hold(State &On, const wire::HoldTarget &Said) {
  Target *Known = findTarget(On.m_Targets, {Said.target()});
  if (Known == nullptr)
    return refuse(Refusal::UnknownTarget);
  if (Known->m_Incarnation != Said.incarnation() || !Known->m_SelfManaged)
    return refuse(Refusal::StaleIncarnation);
  if (isOut(*Known) || Known->m_Held == Said.held())
    return accept();
  Known->m_Held = Said.held();
  On.m_Targets.m_Holds += Said.held() ? 1 : 0;
  if (!Said.held() && !Said.role().empty())
    Known->m_Role = Said.role();
  const TargetState Next = restingState(*Known);
  if (Said.held())
    startDrain(On, *Known, Next);
  else
    enter(On, *Known, Next);
  touch(On.m_Targets, *Known);
  return accept();
}

Reply lose(State &On, const wire::LoseTarget &Said) {
  Target *Known = findTarget(On.m_Targets, {Said.target()});
  if (Known == nullptr)
    return refuse(Refusal::UnknownTarget);
  if (Known->m_Incarnation != Said.incarnation())
    return refuse(Refusal::StaleIncarnation);
  if (Known->m_State == TargetState::Lost)
    return accept();
  keepOutAfterLoss(On, *Known);
  failUnderWay(On, Known->m_Id, "the target was lost");
  failStepOf(On, *Known, "the target was lost");
  enter(On, *Known, TargetState::Lost);
  return accept();
}

Reply reachBarrier(State &On, const wire::BarrierReached &Said) {
  Target *Known = findTarget(On.m_Targets, {Said.target()});
  if (Known == nullptr)
    return refuse(Refusal::UnknownTarget);
  const bool Stale = Known->m_Generation != Said.generation() ||
                     Known->m_State == TargetState::Serving;
  if (Stale)
    return refuse(Refusal::RevisionConflict, "the target has moved on");
  Known->m_BarrierReached = Known->m_Generation;
  readyStepOf(On, *Known);
  return accept();
}

} // namespace wasabivale::fleet
