#include "FleetMutations.h"
#include "fleet/fleet.h"

#include <algorithm>

namespace wasabivale::fleet {

namespace {

wire::EntryGone makeEntryGone(const NodeId &Entry, std::uint64_t Session) {
  wire::EntryGone Result;
  Result.set_entry(Entry.m_Value);
  Result.set_session(Session);
  return Result;
}

bool hasAcknowledged(const EntryView &View, const Target &Target) {
  const auto Found = View.m_Barriers.find(Target.m_Id);
  return Found != View.m_Barriers.end() &&
         Found->second.m_Generation == Target.m_Generation &&
         Found->second.m_InFlight == 0;
}

} // namespace

void startTerm(ObservedState &Observed, const State &Fleet, TimePoint Now,
               Duration LongestLease) {
  Observed = {};
  Observed.m_CompleteAt = Now + LongestLease;
  for (const auto &[Name, Target] : Fleet.m_Targets.m_ById)
    Observed.m_LastSeen[Name] = {Target.m_Incarnation, Now};
}

void recordEntryReport(ObservedState &Observed, const NodeId &Entry,
                       std::uint64_t Session, const wire::EntryReport &Report,
                       TimePoint Now, TimePoint LeaseUntil) {
  if (Report.last()) {
    const auto Found = Observed.m_Entries.find(Entry);
    if (Found != Observed.m_Entries.end() && Found->second.m_Session == Session)
      Observed.m_Entries.erase(Found);
    return;
  }
  EntryView &View = Observed.m_Entries[Entry];
  if (View.m_Session != 0 && View.m_Session != Session) {
    Observed.m_EndedSessions.push_back(makeEntryGone(Entry, View.m_Session));
    View = {};
  }
  View.m_Session = Session;
  View.m_LeaseUntil = std::max(View.m_LeaseUntil, LeaseUntil);
  View.m_FleetRevision = Report.fleet_revision();
  View.m_ConfigurationRevision = Report.configuration_revision();
  View.m_RoutesVersion = Report.routes_version();
  View.m_ReportsTargets |= Report.targets_size() > 0;
  View.m_TargetsUnreachable = Report.targets_unreachable();
  View.m_ForwardAddress = Report.forward_address();
  View.m_Barriers.clear();
  for (const wire::BarrierState &Barrier : Report.barriers())
    View.m_Barriers[{Barrier.target()}] = {Barrier.generation(),
                                           Barrier.in_flight()};
  for (const wire::TargetReport &TargetReport : Report.targets())
    recordTargetSeen(Observed, {TargetReport.target()},
                     TargetReport.incarnation(), Now);
}

void recordTargetSeen(ObservedState &Observed, const TargetId &Name,
                      const std::string &Incarnation, TimePoint Now) {
  Observed.m_LastSeen[Name] = {Incarnation, Now};
}

void expireEntries(ObservedState &Observed, TimePoint Now) {
  for (auto It = Observed.m_Entries.begin(); It != Observed.m_Entries.end();) {
    if (It->second.m_LeaseUntil > Now) {
      ++It;
      continue;
    }
    Observed.m_EndedSessions.push_back(
        makeEntryGone(It->first, It->second.m_Session));
    It = Observed.m_Entries.erase(It);
  }
}

bool barrierReached(const ObservedState &Observed, const Target &Target,
                    TimePoint Now) {
  if (Now < Observed.m_CompleteAt && !mutated(Mutation::TrustFreshLeader))
    return false;
  return std::all_of(Observed.m_Entries.begin(), Observed.m_Entries.end(),
                     [&](const auto &Item) {
                       return Item.second.m_LeaseUntil <= Now ||
                              hasAcknowledged(Item.second, Target);
                     });
}

bool isClosedAtAllEntries(const ObservedState &Observed, const Target &Target,
                          TimePoint Now) {
  if (Now < Observed.m_CompleteAt)
    return false;
  return std::all_of(Observed.m_Entries.begin(), Observed.m_Entries.end(),
                     [&](const auto &Item) {
                       if (Item.second.m_LeaseUntil <= Now)
                         return true;
                       const auto Found =
                           Item.second.m_Barriers.find(Target.m_Id);
                       return Found != Item.second.m_Barriers.end() &&
                              Found->second.m_Generation == Target.m_Generation;
                     });
}

AppliedConfiguration appliedConfiguration(const ObservedState &Observed,
                                          const State &Fleet, TimePoint Now) {
  AppliedConfiguration Result;
  Result.m_Revision = Fleet.m_Configuration.m_Revision;
  Result.m_Complete = Now >= Observed.m_CompleteAt;
  for (const auto &[Name, View] : Observed.m_Entries) {
    const bool Lagging =
        View.m_LeaseUntil > Now &&
        View.m_ConfigurationRevision < Fleet.m_Configuration.m_Revision;
    if (!Lagging)
      continue;
    Result.m_Lagging.push_back(Name);
    Result.m_Revision =
        std::min(Result.m_Revision, View.m_ConfigurationRevision);
  }
  return Result;
}

} // namespace wasabivale::fleet
