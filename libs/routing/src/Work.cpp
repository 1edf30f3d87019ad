// Work at targets: own tries, and others' work out of lagging load reports.

#include "Internal.h"

#include <cmath>

namespace wasabivale::routing {

namespace {

/// Own work as the target saw it when it wrote a report that arrives now.
Work workAt(const Slot &Place, TimePoint Then) {
  Work Found;
  for (const WorkSample &Sample : Place.m_History) {
    if (Sample.m_At > Then)
      break;
    Found = Sample.m_Work;
  }
  return Found;
}

std::uint64_t above(std::uint64_t Value, std::uint64_t Base) {
  return Value > Base ? Value - Base : 0;
}

Room roomOf(const Slot &Place) {
  if (!isEligible(Place))
    return {};
  const std::uint32_t Max = Place.m_Target.m_MaxRunning;
  const std::uint32_t Busy =
      Place.m_Own.m_Requests + Place.m_Foreign.m_Requests;
  return {Max > Busy ? Max - Busy : 0, Max};
}

} // namespace

void refreshSums(State &Fleet, SlotIndex Index) {
  Slot &Place = Fleet.m_Slots[Index];
  const Room Now = roomOf(Place);
  const Room Before = Place.m_Counted;
  if (Now.m_Free == Before.m_Free && Now.m_Max == Before.m_Max)
    return;
  const std::size_t Part = roleIndex(Place.m_Target.m_Role);
  for (const ModelId &Model : Place.m_Target.m_Models) {
    Pool &Group = poolOf(Fleet, Place.m_Target.m_Kind, Model);
    Group.m_Free[Part] = Group.m_Free[Part] - Before.m_Free + Now.m_Free;
    Group.m_Max[Part] = Group.m_Max[Part] - Before.m_Max + Now.m_Max;
  }
  Place.m_Counted = Now;
}

void rememberWork(Slot &Place, TimePoint Now) {
  std::vector<WorkSample> &History = Place.m_History;
  if (!History.empty() && Now - History.back().m_At < HistoryStep)
    return;
  if (History.size() == MaxHistory)
    History.erase(History.begin());
  History.push_back({Now, Place.m_Own});
}

double foreignWeight(const Slot &Place, TimePoint Now) {
  const Duration Age = Now - Place.m_ReportAt;
  if (Age <= ReportFresh)
    return 1;
  if (Age >= ReportGone)
    return 0;
  return seconds(ReportGone - Age) / seconds(ReportGone - ReportFresh);
}

std::uint32_t totalRequests(const Slot &Place, TimePoint Now) {
  const double Others = Place.m_Foreign.m_Requests * foreignWeight(Place, Now);
  return Place.m_Own.m_Requests +
         static_cast<std::uint32_t>(std::lround(Others));
}

void applyLoad(State &Fleet, const TargetId &Id, std::string_view Incarnation,
               const LoadReport &Report, TimePoint Now) {
  const auto Found = Fleet.m_ByTarget.find(Id);
  if (Found == Fleet.m_ByTarget.end())
    return;
  Slot &Place = Fleet.m_Slots[Found->second];
  if (Place.m_Target.m_Incarnation != Incarnation)
    return;
  const Work Then = workAt(Place, Now - Fleet.m_Settings.m_ReportLag);
  const std::uint32_t Requests = Report.m_Running + Report.m_Waiting;
  Place.m_ReportedRequests = Requests;
  Place.m_ReportAt = Now;
  Place.m_Foreign.m_Requests =
      static_cast<std::uint32_t>(above(Requests, Then.m_Requests));
  Place.m_Foreign.m_PromptTokens =
      above(Report.m_PrefillTokensWaiting, Then.m_PromptTokens);
  const std::uint64_t KvUsed =
      above(Place.m_Target.m_KvBlocks, Report.m_KvBlocksFree);
  Place.m_Foreign.m_KvBlocks = above(KvUsed, Then.m_KvBlocks);
  rememberWork(Place, Now);
  refreshSums(Fleet, Found->second);
}

Capacity capacityFor(const State &Fleet, Kind Which, const ModelId &Model) {
  const auto &Pools = Fleet.m_Pools[static_cast<std::size_t>(Which)];
  const auto Found = Pools.find(Model);
  if (Found == Pools.end())
    return {};
  const Pool &Group = Found->second;
  // A split needs its decode slot for longest, so decode slots are counted.
  const bool Split = Group.m_Max[roleIndex(Role::Decode)] > 0;
  const std::size_t Part = roleIndex(Split ? Role::Decode : Role::Prefill);
  const std::size_t Mixed = roleIndex(Role::Mixed);
  const std::uint64_t Free = Group.m_Free[Mixed] + Group.m_Free[Part];
  const std::uint64_t Max = Group.m_Max[Mixed] + Group.m_Max[Part];
  const std::uint64_t Entries =
      std::max<std::uint64_t>(1, Fleet.m_Settings.m_Entries);
  return {static_cast<std::uint32_t>((Free + Entries - 1) / Entries),
          static_cast<double>(Max) / static_cast<double>(Entries)};
}

} // namespace wasabivale::routing
