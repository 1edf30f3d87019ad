#include "FleetMutations.h"
#include "fleet/fleet.h"

#include <algorithm>

namespace wasabivale::fleet {

namespace {

wire::EntryGone goneOf(const NodeId &Entry, std::uint64_t Session) {
  wire::EntryGone Out;
  Out.set_entry(Entry.m_Value);
  Out.set_session(Session);
  return Out;
}

bool hasAcknowledged(const EntryView &In, const Target &About) {
  const auto Found = In.m_Barriers.find(About.m_Id);
  return Found != In.m_Barriers.end() &&
         Found->second.m_Generation == About.m_Generation &&
         Found->second.m_InFlight == 0;
}

} // namespace

void startTerm(Barriers &On, const State &Known, TimePoint Now,
               Duration LongestLease) {
  On = {};
  On.m_CompleteAt = Now + LongestLease;
  for (const auto &[Name, Each] : Known.m_Targets.m_ById)
    On.m_Seen[Name] = {Each.m_Incarnation, Now};
}

void takeReport(Barriers &On, const NodeId &Entry, std::uint64_t Session,
                const wire::EntryReport &Report, TimePoint Now,
                TimePoint LeaseUntil) {
  EntryView &View = On.m_Entries[Entry];
  if (View.m_Session != 0 && View.m_Session != Session) {
    On.m_Gone.push_back(goneOf(Entry, View.m_Session));
    View = {};
  }
  View.m_Session = Session;
  View.m_LeaseUntil = std::max(View.m_LeaseUntil, LeaseUntil);
  View.m_FleetRevision = Report.fleet_revision();
  View.m_ConfigurationRevision = Report.configuration_revision();
  View.m_RoutesVersion = Report.routes_version();
  View.m_ReportsTargets |= Report.targets_size() > 0;
  View.m_Barriers.clear();
  for (const wire::BarrierState &Each : Report.barriers())
    View.m_Barriers[{Each.target()}] = {Each.generation(), Each.in_flight()};
  for (const wire::TargetReport &Each : Report.targets())
    targetSeen(On, {Each.target()}, Each.incarnation(), Now);
}

void targetSeen(Barriers &On, const TargetId &Name,
                const std::string &Incarnation, TimePoint Now) {
  On.m_Seen[Name] = {Incarnation, Now};
}

void expireEntries(Barriers &On, TimePoint Now) {
  for (auto Each = On.m_Entries.begin(); Each != On.m_Entries.end();) {
    if (Each->second.m_LeaseUntil > Now) {
      ++Each;
      continue;
    }
    On.m_Gone.push_back(goneOf(Each->first, Each->second.m_Session));
    Each = On.m_Entries.erase(Each);
  }
}

bool barrierReached(const Barriers &In, const Target &About, TimePoint Now) {
  if (Now < In.m_CompleteAt && !mutated(Mutation::TrustFreshLeader))
    return false;
  return std::all_of(In.m_Entries.begin(), In.m_Entries.end(),
                     [&](const auto &Each) {
                       return Each.second.m_LeaseUntil <= Now ||
                              hasAcknowledged(Each.second, About);
                     });
}

bool isClosedEverywhere(const Barriers &In, const Target &About,
                        TimePoint Now) {
  if (Now < In.m_CompleteAt)
    return false;
  return std::all_of(
      In.m_Entries.begin(), In.m_Entries.end(), [&](const auto &Each) {
        if (Each.second.m_LeaseUntil <= Now)
          return true;
        const auto Found = Each.second.m_Barriers.find(About.m_Id);
        return Found != Each.second.m_Barriers.end() &&
               Found->second.m_Generation == About.m_Generation;
      });
}

InForce inForce(const Barriers &In, const State &Known, TimePoint Now) {
  InForce Out;
  Out.m_Revision = Known.m_Configuration.m_Revision;
  Out.m_Complete = Now >= In.m_CompleteAt;
  for (const auto &[Name, View] : In.m_Entries) {
    const bool Behind =
        View.m_LeaseUntil > Now &&
        View.m_ConfigurationRevision < Known.m_Configuration.m_Revision;
    if (!Behind)
      continue;
    Out.m_Lagging.push_back(Name);
    Out.m_Revision = std::min(Out.m_Revision, View.m_ConfigurationRevision);
  }
  return Out;
}

} // namespace wasabivale::fleet
