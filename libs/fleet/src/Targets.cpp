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

bool isLostOrWithdrawn(const Target &Target) {
  return Target.m_State == TargetState::Lost ||
         Target.m_State == TargetState::Withdrawn;
}

/// The target that holds an address: the one that announced it and is neither
/// lost nor withdrawn.
const Target *findAddressHolder(const Targets &Targets,
                                const std::string &Address,
                                const TargetId &Except) {
  for (const auto &[Name, Target] : Targets.m_ById)
    if (Target.m_Address == Address && Name != Except &&
        !isLostOrWithdrawn(Target))
      return &Target;
  return nullptr;
}

bool isPastIncarnation(const Target &Target, const std::string &Incarnation) {
  return std::find(Target.m_PastIncarnations.begin(),
                   Target.m_PastIncarnations.end(),
                   Incarnation) != Target.m_PastIncarnations.end();
}

bool isWellFormed(const wire::Target &Announcement) {
  const bool Engine = Announcement.kind() == "engine";
  const bool Role = Announcement.role() == "mixed" ||
                    Announcement.role() == "prefill" ||
                    Announcement.role() == "decode";
  return !Announcement.id().empty() && !Announcement.incarnation().empty() &&
         !Announcement.address().empty() &&
         (Engine ? Role : Announcement.kind() == "service");
}

void copyAnnouncement(Target &Target, const wire::Target &Announcement) {
  Target.m_Id = {Announcement.id()};
  Target.m_Incarnation = Announcement.incarnation();
  Target.m_Address = Announcement.address();
  Target.m_IsEngine = Announcement.kind() == "engine";
  Target.m_Region = {Announcement.region()};
  Target.m_Zone = {Announcement.zone()};
  Target.m_Role = Target.m_IsEngine ? Announcement.role() : std::string();
  Target.m_Models = {Announcement.models().begin(),
                     Announcement.models().end()};
  Target.m_ChecksFence = Announcement.checks_fence();
  Target.m_KvBlocks = Announcement.kv_blocks();
  Target.m_MaxRunning = Announcement.max_running();
  Target.m_PrefillTokensPerSecond = Announcement.prefill_tokens_per_second();
  Target.m_DecodeTokensPerSecond = Announcement.decode_tokens_per_second();
  Target.m_StartedMs = Announcement.started_ms();
  Target.m_SelfManaged = Announcement.self_managed();
  Target.m_SoftwareVersion = Announcement.software_version();
  Target.m_IsReclaimable = Announcement.reclaimable();
}

/// Whether the announcing process started later than \p Holder at the same
/// address, which means that the holder has ended.
bool replacesHolder(const Target &Holder, const wire::Target &Announcement) {
  return Holder.m_SelfManaged && Announcement.self_managed() &&
         Holder.m_StartedMs < Announcement.started_ms();
}

/// Whether the announcement of a self-managed target changes its role, models
/// or limits.
bool announcementDiffers(const Target &Current,
                         const wire::Target &Announcement) {
  Target Next = Current;
  copyAnnouncement(Next, Announcement);
  return Next.m_Role != Current.m_Role || Next.m_Models != Current.m_Models ||
         Next.m_MaxRunning != Current.m_MaxRunning ||
         Next.m_SoftwareVersion != Current.m_SoftwareVersion ||
         Next.m_KvBlocks != Current.m_KvBlocks;
}

void removeExpiredTargets(State &Fleet) {
  Targets &Targets = Fleet.m_Targets;
  for (auto It = Targets.m_ById.begin(); It != Targets.m_ById.end();) {
    const Target &Target = It->second;
    const std::chrono::nanoseconds Retention =
        Target.m_SelfManaged
            ? std::chrono::nanoseconds(SelfManagedTargetRetention)
            : std::chrono::nanoseconds(TargetRetention);
    const bool Expired = isLostOrWithdrawn(Target) &&
                         Target.m_ClaimedBy.empty() &&
                         Fleet.m_Now - Target.m_StateSince > Retention;
    if (!Expired) {
      ++It;
      continue;
    }
    Targets.m_Removed[It->first] = ++Targets.m_Revision;
    It = Targets.m_ById.erase(It);
  }
  while (Targets.m_Removed.size() > MaxRemovedTargets) {
    const auto Oldest = std::min_element(
        Targets.m_Removed.begin(), Targets.m_Removed.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; });
    Targets.m_OldestDeltaRevision =
        std::max(Targets.m_OldestDeltaRevision, Oldest->second);
    Targets.m_Removed.erase(Oldest);
  }
}

/// State of a target after a new announcement.
TargetState stateAfterAnnouncement(const Target &Target) {
  return restoration(Target) ? TargetState::Announced : steadyState(Target);
}

void restartTarget(State &Fleet, Target &Target,
                   const wire::Target &Announcement) {
  const bool NewIncarnation =
      Target.m_Incarnation != Announcement.incarnation();
  if (NewIncarnation && !Target.m_Incarnation.empty()) {
    Target.m_PastIncarnations.push_back(Target.m_Incarnation);
    if (Target.m_PastIncarnations.size() > MaxPastIncarnations)
      Target.m_PastIncarnations.pop_front();
  }
  copyAnnouncement(Target, Announcement);
  Target.m_LeaveRequested = false;
  Target.m_Held = false;
  Target.m_Generation += 1;
  supersedeUnderWay(Fleet, Target.m_Id, "the target started anew");
  if (!restartStep(Fleet, Target))
    setState(Fleet, Target, stateAfterAnnouncement(Target));
  markChanged(Fleet.m_Targets, Target);
}

} // namespace

std::string_view targetStateName(TargetState Value) {
  return StateNames.at(static_cast<std::size_t>(Value));
}

Target *findTarget(Targets &Targets, const TargetId &Name) {
  const auto Found = Targets.m_ById.find(Name);
  return Found == Targets.m_ById.end() ? nullptr : &Found->second;
}

const Target *findTarget(const Targets &Targets, const TargetId &Name) {
  const auto Found = Targets.m_ById.find(Name);
  return Found == Targets.m_ById.end() ? nullptr : &Found->second;
}

void markChanged(Targets &Targets, Target &Target) {
  Targets.m_Revision += 1;
  Target.m_ChangedAtRevision = Targets.m_Revision;
}

void setState(State &Fleet, Target &Target, TargetState Next) {
  if (Target.m_State == Next)
    return;
  Target.m_State = Next;
  Target.m_StateSince = Fleet.m_Now;
  markChanged(Fleet.m_Targets, Target);
}

void startDrain(State &Fleet, Target &Target, TargetState Next) {
  Target.m_Generation += 1;
  setState(Fleet, Target, Next);
  markChanged(Fleet.m_Targets, Target);
}

TargetState steadyState(const Target &Target) {
  if (Target.m_DesiredState && Target.m_DesiredState->m_Withdrawn)
    return TargetState::Withdrawn;
  if (Target.m_LeaveRequested)
    return TargetState::Leaving;
  if (Target.m_Held ||
      (Target.m_DesiredState && Target.m_DesiredState->m_Draining))
    return TargetState::Draining;
  return TargetState::Serving;
}

DesiredState actualState(const Target &Target) {
  return {Target.m_Role, Target.m_Models, false, false};
}

DesiredState desiredOrActualState(const Target &Target) {
  return Target.m_DesiredState.value_or(actualState(Target));
}

bool readsWeightStore(const Target &Target, const DesiredState &Desired) {
  return Target.m_IsEngine &&
         !std::includes(Target.m_Models.begin(), Target.m_Models.end(),
                        Desired.m_Models.begin(), Desired.m_Models.end());
}

bool needsBarrier(const Target &Target, const DesiredState &Desired) {
  const bool KeepsModels =
      std::includes(Desired.m_Models.begin(), Desired.m_Models.end(),
                    Target.m_Models.begin(), Target.m_Models.end());
  return Desired.m_Draining || Desired.m_Withdrawn ||
         Desired.m_Role != Target.m_Role || !KeepsModels;
}

std::optional<DesiredState> restoration(const Target &Target) {
  if (Target.m_SelfManaged)
    return std::nullopt;
  if (Target.m_LeaveRequested && Target.m_State != TargetState::Withdrawn) {
    DesiredState Desired = actualState(Target);
    Desired.m_Draining = true;
    Desired.m_Withdrawn = true;
    return Desired;
  }
  if (Target.m_DesiredState && *Target.m_DesiredState != actualState(Target))
    return Target.m_DesiredState;
  return std::nullopt;
}

Reply handleAnnounce(State &Fleet, const wire::Target &Announcement) {
  if (!isWellFormed(Announcement))
    return refuse(Refusal::InvalidField);
  removeExpiredTargets(Fleet);
  const TargetId Name{Announcement.id()};
  if (const Target *Holder =
          findAddressHolder(Fleet.m_Targets, Announcement.address(), Name)) {
    if (!replacesHolder(*Holder, Announcement))
      return refuse(Refusal::AddressInUse,
                    "the address belongs to " + Holder->m_Id.m_Value);
    wire::LoseTarget Request;
    Request.set_target(Holder->m_Id.m_Value);
    Request.set_incarnation(Holder->m_Incarnation);
    handleLose(Fleet, Request);
  }
  Target *Target = findTarget(Fleet.m_Targets, Name);
  if (Target == nullptr) {
    restartTarget(Fleet, Fleet.m_Targets.m_ById[Name], Announcement);
    return accept();
  }
  if (isPastIncarnation(*Target, Announcement.incarnation()))
    return refuse(Refusal::StaleIncarnation);
  const bool SameIncarnation =
      Target->m_Incarnation == Announcement.incarnation();
  if (SameIncarnation && Target->m_Address != Announcement.address())
    return refuse(Refusal::AddressInUse,
                  "this incarnation announced itself at " + Target->m_Address);
  // A delayed heartbeat of an earlier process.
  if (!SameIncarnation && Target->m_SelfManaged &&
      Announcement.started_ms() < Target->m_StartedMs)
    return refuse(Refusal::StaleIncarnation);
  if (SameIncarnation && Target->m_State != TargetState::Lost) {
    if (Target->m_SelfManaged && announcementDiffers(*Target, Announcement)) {
      copyAnnouncement(*Target, Announcement);
      markChanged(Fleet.m_Targets, *Target);
    }
    return accept();
  }
  restartTarget(Fleet, *Target, Announcement);
  return accept();
}

Reply handleLeave(State &Fleet, const wire::LeaveTarget &Request) {
  Target *Target = findTarget(Fleet.m_Targets, {Request.target()});
  if (Target == nullptr)
    return refuse(Refusal::UnknownTarget);
  if (Target->m_Incarnation != Request.incarnation())
    return refuse(Refusal::StaleIncarnation);
  if (Target->m_LeaveRequested || isLostOrWithdrawn(*Target))
    return accept();
  Target->m_LeaveRequested = true;
  if (orderUnderWay(Fleet.m_Orders, Target->m_Id) != nullptr)
    return accept(); // It leaves after the order has ended.
  failStep(Fleet, *Target, "the target is leaving");
  startDrain(Fleet, *Target, TargetState::Leaving);
  return accept();
}

std::vector<wire::Command> leaveCommands(const State &Fleet,
                                         const Target &Leaving) {
  const bool IsLost = Leaving.m_State == TargetState::Lost;
  const bool IsReplaced =
      IsLost && findAddressHolder(Fleet.m_Targets, Leaving.m_Address,
                                  Leaving.m_Id) != nullptr;
  if (Leaving.m_LeaveRequested || IsReplaced ||
      Leaving.m_State == TargetState::Withdrawn)
    return {};
  std::vector<wire::Command> Commands;
  if (IsLost)
    *Commands.emplace_back().mutable_announce_target()->mutable_target() =
        toWire(Leaving);
  wire::LeaveTarget &Leave = *Commands.emplace_back().mutable_leave_target();
  Leave.set_target(Leaving.m_Id.m_Value);
  Leave.set_incarnation(Leaving.m_Incarnation);
  return Commands;
}

Reply handleHold(State &Fleet, const wire::HoldTarget &Request) {
  Target *Target = findTarget(Fleet.m_Targets, {Request.target()});
  if (Target == nullptr)
    return refuse(Refusal::UnknownTarget);
  if (Target->m_Incarnation != Request.incarnation() || !Target->m_SelfManaged)
    return refuse(Refusal::StaleIncarnation);
  if (isLostOrWithdrawn(*Target) || Target->m_Held == Request.held())
    return accept();
  Target->m_Held = Request.held();
  Fleet.m_Targets.m_HoldCount += Request.held() ? 1 : 0;
  if (!Request.held() && !Request.role().empty())
    Target->m_Role = Request.role();
  const TargetState Next = steadyState(*Target);
  if (Request.held())
    startDrain(Fleet, *Target, Next);
  else
    setState(Fleet, *Target, Next);
  markChanged(Fleet.m_Targets, *Target);
  return accept();
}

Reply handleLose(State &Fleet, const wire::LoseTarget &Request) {
  Target *Target = findTarget(Fleet.m_Targets, {Request.target()});
  if (Target == nullptr)
    return refuse(Refusal::UnknownTarget);
  if (Target->m_Incarnation != Request.incarnation())
    return refuse(Refusal::StaleIncarnation);
  if (Target->m_State == TargetState::Lost)
    return accept();
  keepDesiredStateAfterLoss(Fleet, *Target);
  failUnderWay(Fleet, Target->m_Id, "the target was lost");
  failStep(Fleet, *Target, "the target was lost");
  setState(Fleet, *Target, TargetState::Lost);
  return accept();
}

Reply handleBarrierReached(State &Fleet, const wire::BarrierReached &Report) {
  Target *Target = findTarget(Fleet.m_Targets, {Report.target()});
  if (Target == nullptr)
    return refuse(Refusal::UnknownTarget);
  const bool Stale = Target->m_Generation != Report.generation() ||
                     Target->m_State == TargetState::Serving;
  if (Stale)
    return refuse(Refusal::RevisionConflict, "the target has moved on");
  Target->m_BarrierReached = Target->m_Generation;
  markStepReady(Fleet, *Target);
  return accept();
}

} // namespace wasabivale::fleet
