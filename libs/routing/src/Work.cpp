// Work at targets: own tries, and others' work out of lagging load reports.

#include "Internal.h"

#include <cmath>
#include <limits>

namespace wasabivale::routing {

namespace {

/// Weight of the newest report in the share that had prefill to do.
constexpr double BusyAlpha = 0.1;
/// What other entries told is used for this long: a few notices may be lost.
constexpr std::chrono::milliseconds OthersKept{1'000};

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
  const std::uint64_t Max = Place.m_Target.m_MaxRunning;
  const std::uint64_t Busy =
      Place.m_Own.m_Requests + Place.m_PeerWork.m_Requests;
  const auto Rate =
      static_cast<std::uint64_t>(Place.m_Target.m_PrefillTokensPerSecond);
  return {above(Max, Busy),           Max,  Place.m_Own.m_Requests,
          Place.m_Own.m_PromptTokens, Rate, Place.m_PeerWork};
}

void add(Room &Sum, const Room &Part) {
  Sum.m_Free += Part.m_Free;
  Sum.m_Max += Part.m_Max;
  Sum.m_OwnRequests += Part.m_OwnRequests;
  Sum.m_OwnPromptTokens += Part.m_OwnPromptTokens;
  Sum.m_PrefillRate += Part.m_PrefillRate;
  Sum.m_PeerWork.m_Requests += Part.m_PeerWork.m_Requests;
  Sum.m_PeerWork.m_PromptTokens += Part.m_PeerWork.m_PromptTokens;
  Sum.m_PeerWork.m_KvBlocks += Part.m_PeerWork.m_KvBlocks;
}

/// A reported value drawn towards the mean, as its weight tells.
double blend(std::uint64_t Reported, std::uint64_t Sum, double Count,
             double Weight) {
  const double Mean = static_cast<double>(Sum) / Count;
  return Mean + (static_cast<double>(Reported) - Mean) * Weight;
}

/// What is left of a deviation from the mean when what caused it takes
/// \p Turnover seconds to pass.
double leftAfter(double Age, double Turnover) {
  constexpr double ShortestTurnover = 0.25;
  return std::exp(-Age / std::max(ShortestTurnover, Turnover));
}

bool isTold(const Slot &Place, TimePoint Now) {
  return Place.m_OthersToldAt != TimePoint() &&
         Now - Place.m_OthersToldAt <= OthersKept;
}

} // namespace

void subtract(Room &Sum, const Room &Part) {
  WASABIVALE_INVARIANT(Sum.m_Free >= Part.m_Free && Sum.m_Max >= Part.m_Max);
  Sum.m_Free -= Part.m_Free;
  Sum.m_Max -= Part.m_Max;
  Sum.m_OwnRequests -= Part.m_OwnRequests;
  Sum.m_OwnPromptTokens -= Part.m_OwnPromptTokens;
  Sum.m_PrefillRate -= Part.m_PrefillRate;
  Sum.m_PeerWork.m_Requests -= Part.m_PeerWork.m_Requests;
  Sum.m_PeerWork.m_PromptTokens -= Part.m_PeerWork.m_PromptTokens;
  Sum.m_PeerWork.m_KvBlocks -= Part.m_PeerWork.m_KvBlocks;
}

void refreshSums(State &Fleet, SlotIndex Index) {
  Slot &Place = Fleet.m_Slots[Index];
  const Room Now = roomOf(Place);
  if (Now == Place.m_Counted)
    return;
  const std::size_t Part = roleIndex(Place.m_Target.m_Role);
  for (const ModelId &Model : Place.m_Target.m_Models) {
    Pool &Group = poolOf(Fleet, Place.m_Target.m_Kind, Model);
    subtract(Group.m_Sums[Part], Place.m_Counted);
    add(Group.m_Sums[Part], Now);
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

// A report tells little about work that has come and gone since it was
// written. What it says beyond the mean of the target's peers is believed the
// less, the older it is beside the time that work stays at a target; else all
// entries would flock to what was idle a while ago.
Load loadOf(const State &Fleet, const Pool &Group, const Slot &Place,
            TimePoint Now) {
  /// Part of others' requests that is taken to be decoding.
  constexpr double ForeignDecoding = 0.7;
  const std::size_t Part = roleIndex(Place.m_Target.m_Role);
  const PeerWork &Sum = Group.m_Sums[Part].m_PeerWork;
  const double Count = static_cast<double>(
      std::max<std::size_t>(1, Group.m_ByRole[Part].size()));
  const double Age = std::max(
      0.0, seconds(Now - Place.m_ReportAt + Fleet.m_Settings.m_ReportLag));
  const double Weight = leftAfter(Age, Group.m_MeanSeconds);
  const double Backlog = static_cast<double>(Place.m_PeerWork.m_PromptTokens) /
                         std::max(1.0, Place.m_Target.m_PrefillTokensPerSecond);
  const PeerWork &Others = Place.m_PeerWork;
  const double Requests =
      blend(Others.m_Requests, Sum.m_Requests, Count, Weight);
  Load Found;
  Found.m_Requests = Place.m_Own.m_Requests + Requests;
  Found.m_Decoding = Place.m_Own.m_Decoding + Requests * ForeignDecoding;
  Found.m_ForeignPromptTokens = blend(Others.m_PromptTokens, Sum.m_PromptTokens,
                                      Count, leftAfter(Age, Backlog));
  Found.m_PrefillBusy = Place.m_PrefillBusy;
  Found.m_KvBlocks = static_cast<double>(Place.m_Own.m_KvBlocks) +
                     blend(Others.m_KvBlocks, Sum.m_KvBlocks, Count, Weight);
  return Found;
}

/// Prompt tokens of others' requests at an engine that only prefills: half of
/// each is read by the time it is seen.
static std::uint64_t guessedPromptTokens(const State &Fleet,
                                         const Slot &Place) {
  constexpr double Unread = 0.5;
  if (Place.m_Target.m_Role != Role::Prefill || Place.m_Target.m_Models.empty())
    return 0;
  const auto &Pools =
      Fleet.m_Pools[static_cast<std::size_t>(Place.m_Target.m_Kind)];
  const auto Group = Pools.find(Place.m_Target.m_Models.front());
  const double Mean =
      Group == Pools.end() ? 0 : Group->second.m_MeanPromptTokens;
  return static_cast<std::uint64_t>(
      static_cast<double>(Place.m_PeerWork.m_Requests) * Mean * Unread);
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
  if (!Report.m_PrefillTokensWaiting && isTold(Place, Now))
    return; // The others' own word is newer and says more.
  Place.m_OthersByPriority = {};
  const double Busy = Report.m_PrefillTokensWaiting.value_or(0) > 0 ? 1 : 0;
  Place.m_PrefillBusy += BusyAlpha * (Busy - Place.m_PrefillBusy);
  Place.m_ReportAt = Now;
  Place.m_PeerWork.m_Requests = above(Requests, Then.m_Requests);
  Place.m_PeerWork.m_PromptTokens =
      Report.m_PrefillTokensWaiting
          ? above(*Report.m_PrefillTokensWaiting, Then.m_PromptTokens)
          : guessedPromptTokens(Fleet, Place);
  Place.m_PeerWork.m_KvBlocks = 0;
  if (Report.m_KvBlocksFree)
    Place.m_PeerWork.m_KvBlocks =
        above(above(Place.m_Target.m_KvBlocks, *Report.m_KvBlocksFree),
              Then.m_KvBlocks);
  rememberWork(Place, Now);
  refreshSums(Fleet, Found->second);
}

std::vector<EngineWork> ownWork(const State &Fleet) {
  std::vector<EngineWork> Rows;
  for (const Slot &Place : Fleet.m_Slots) {
    if (!Place.m_Used || !Place.m_Current ||
        Place.m_Target.m_Kind != Kind::Engine || Place.m_Own.m_Requests == 0)
      continue;
    EngineWork Row{Place.m_Target.m_Id, Place.m_Own.m_Requests, {}};
    Row.m_PromptTokens.assign(Place.m_PromptByPriority.rbegin(),
                              Place.m_PromptByPriority.rend());
    while (!Row.m_PromptTokens.empty() && Row.m_PromptTokens.back() == 0)
      Row.m_PromptTokens.pop_back();
    Rows.push_back(std::move(Row));
  }
  return Rows;
}

void applyPeerWork(State &Fleet, const std::vector<EngineWork> &Told,
                   TimePoint Now) {
  std::unordered_map<TargetId, const EngineWork *> ByTarget;
  for (const EngineWork &Each : Told)
    ByTarget[Each.m_Target] = &Each;
  for (SlotIndex Index = 0; Index < Fleet.m_Slots.size(); ++Index) {
    Slot &Place = Fleet.m_Slots[Index];
    if (!Place.m_Used || !Place.m_Current ||
        Place.m_Target.m_Kind != Kind::Engine)
      continue;
    Place.m_OthersByPriority = {};
    Place.m_PeerWork = {};
    if (const auto Found = ByTarget.find(Place.m_Target.m_Id);
        Found != ByTarget.end()) {
      const EngineWork &Row = *Found->second;
      Place.m_PeerWork.m_Requests = Row.m_Requests;
      const std::size_t Known =
          std::min(Row.m_PromptTokens.size(), Place.m_OthersByPriority.size());
      for (std::size_t I = 0; I < Known; ++I) {
        Place.m_OthersByPriority[MaxPriority - I] = Row.m_PromptTokens[I];
        Place.m_PeerWork.m_PromptTokens += Row.m_PromptTokens[I];
      }
    }
    const bool Reads =
        Place.m_PeerWork.m_PromptTokens + Place.m_Own.m_PromptTokens > 0;
    Place.m_PrefillBusy += BusyAlpha * ((Reads ? 1 : 0) - Place.m_PrefillBusy);
    Place.m_OthersToldAt = Now;
    Place.m_ReportAt = Now;
    refreshSums(Fleet, Index);
  }
}

namespace {

/// What one of several entries may still take of something that they share.
/// Its even part, and the same part of what the others leave of theirs: if
/// each took all that lagging reports show as free, they would take it several
/// times over.
double allowance(double Total, double Own, double Others, double Entries) {
  const double Even = Total / Entries;
  const double Left = std::max(0.0, Total - Even - Others);
  return std::max(0.0, Even + Left / Entries - Own);
}

/// Requests that may still start before too much prefill waits at engines.
double prefillRoom(const Settings &Options, const Pool &Group, double Entries) {
  double Own = 0;
  double Others = 0;
  double Rate = 0;
  for (Role Part : {Role::Mixed, Role::Prefill, Role::Decode}) {
    // Where those in role prefill run nothing whole, the others read as well.
    if (Part == Role::Decode && Options.m_PrefillRunsWhole)
      continue;
    const Room &Sum = Group.m_Sums[roleIndex(Part)];
    Own += static_cast<double>(Sum.m_OwnPromptTokens);
    Others += static_cast<double>(Sum.m_PeerWork.m_PromptTokens);
    Rate += static_cast<double>(Sum.m_PrefillRate) / roleSlowness(Group, Part);
  }
  if (Rate <= 0) { // Every engine decodes, and reads prompts beside that.
    const Room &Sum = Group.m_Sums[roleIndex(Role::Decode)];
    Own = static_cast<double>(Sum.m_OwnPromptTokens);
    Others = static_cast<double>(Sum.m_PeerWork.m_PromptTokens);
    Rate = static_cast<double>(Sum.m_PrefillRate) /
           roleSlowness(Group, Role::Decode);
  }
  const double Total = Rate * seconds(Options.m_MaxPrefillWaiting);
  const double Tokens = std::min(allowance(Total, Own, Others, Entries),
                                 std::max(0.0, Total - Own - Others));
  return std::ceil(Tokens / std::max(1.0, Group.m_MeanPromptTokens));
}

/// The sums of the engines that decode. Those whose role is prefill do so only
/// where nobody else does.
Room decodeRoom(const Pool &Group) {
  Room Sum = Group.m_Sums[roleIndex(Role::Mixed)];
  add(Sum, Group.m_Sums[roleIndex(Role::Decode)]);
  const Room &Prefill = Group.m_Sums[roleIndex(Role::Prefill)];
  if (Sum.m_Max == 0)
    return Prefill;
  // Others' splits that are still prefilled will want a place soon, which no
  // report of a decoding engine shows yet.
  Sum.m_PeerWork.m_Requests += Prefill.m_PeerWork.m_Requests;
  Sum.m_Free = above(Sum.m_Free, Prefill.m_PeerWork.m_Requests);
  return Sum;
}

} // namespace

Capacity capacityFor(const State &Fleet, Kind Which, const ModelId &Model) {
  const auto &Pools = Fleet.m_Pools[static_cast<std::size_t>(Which)];
  const auto Found = Pools.find(Model);
  if (Found == Pools.end())
    return {};
  const Settings &Options = Fleet.m_Settings;
  const double Entries = std::max(1U, Options.m_Entries);
  const Room Sum = decodeRoom(Found->second);
  const double Max = static_cast<double>(Sum.m_Max);
  const double Slots = std::ceil(
      allowance(Max, static_cast<double>(Sum.m_OwnRequests),
                static_cast<double>(Sum.m_PeerWork.m_Requests), Entries));
  double Free = std::min(static_cast<double>(Sum.m_Free), Slots);
  if (Which == Kind::Engine)
    Free = std::min(Free, prefillRoom(Options, Found->second, Entries));
  return {static_cast<std::uint32_t>(Free), Max / Entries};
}

} // namespace wasabivale::routing
