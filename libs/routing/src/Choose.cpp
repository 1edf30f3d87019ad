// Candidates and their comparison.

#include "Internal.h"

#include <cmath>

namespace wasabivale::routing {

namespace {

/// Lists up to this long are compared whole instead of sampled.
constexpr std::size_t WholeListUpTo = 4;
/// Draws for one sample before it is given up.
constexpr int MaxDraws = 4;
/// Affine targets take at most this times the pool's mean load.
constexpr double LoadBound = 1.25;

bool isAvoided(const Request &Wanted, const Slot &Place) {
  const auto &Avoid = Wanted.m_Avoid;
  return std::find(Avoid.begin(), Avoid.end(), Place.m_Target.m_Id) !=
         Avoid.end();
}

/// One search for the best target of a request.
struct Search {
  State &m_Fleet;
  Pool &m_Group;
  const Request &m_Wanted;
  TimePoint m_Now;
  Random &m_Rng;
  std::optional<Pick> m_Best;
  std::optional<Pick> m_Reluctant; ///< Best among those still warming up.
  std::optional<SlotIndex> m_PrefillAt;
  Leaning m_Prefill;
  std::optional<SlotIndex> m_Holder;     ///< Keeps the shared prefix.
  std::optional<SlotIndex> m_Home;       ///< Is to read it if nobody keeps it.
  std::optional<SlotIndex> m_DecodeHome; ///< The same, of its streams.
  bool m_TakesAll = false;               ///< Also engines that are set aside.

  const Slot *holder() const { return m_Holder ? &slot(*m_Holder) : nullptr; }

  const Slot &slot(SlotIndex Index) const { return m_Fleet.m_Slots[Index]; }
};

/// Whether a warming target takes this request.
bool isWarmEnough(Search &Task, const Slot &Place) {
  const double Part = warmFraction(Task.m_Fleet.m_Settings, Place, Task.m_Now);
  if (Part >= 1)
    return true;
  const double Room = std::max(1.0, Part * Place.m_Target.m_MaxRunning);
  return Place.m_Own.m_Requests < Room && drawUnit(Task.m_Rng) < Part;
}

bool runsWhole(const State &Fleet, const Slot &Place) {
  return Fleet.m_Settings.m_PrefillRunsWhole ||
         Place.m_Target.m_Role != Role::Prefill;
}

bool onlyStreams(const Search &Task, SlotIndex Index) {
  const auto &Known = Task.m_Group.m_Streamers;
  return std::binary_search(Known.begin(), Known.end(), Index);
}

void keepBetter(std::optional<Pick> &Kept, const Pick &Offer) {
  if (!Kept || Offer.m_Leaning.m_Cost < Kept->m_Leaning.m_Cost)
    Kept = Offer;
}

void offerWhole(Search &Task, SlotIndex Index, double Value) {
  const Slot &Place = Task.slot(Index);
  if (!isEligible(Place) || isAvoided(Task.m_Wanted, Place) ||
      !runsWhole(Task.m_Fleet, Place) ||
      (onlyStreams(Task, Index) && !Task.m_TakesAll))
    return;
  Pick Offer;
  Offer.m_Run = Index;
  Offer.m_Leaning = leanWhole(Task.m_Fleet, Task.m_Group, Place, Task.m_Wanted,
                              Task.holder(), Task.m_Now);
  Offer.m_Leaning.m_Cost -= Value;
  keepBetter(isWarmEnough(Task, Place) ? Task.m_Best : Task.m_Reluctant, Offer);
}

void offerPrefill(Search &Task, SlotIndex Index, double Value) {
  const Slot &Place = Task.slot(Index);
  if (!isEligible(Place) || isAvoided(Task.m_Wanted, Place))
    return;
  if (!isWarmEnough(Task, Place))
    return;
  Leaning Found = leanPrefill(Task.m_Fleet, Task.m_Group, Place, Task.m_Wanted,
                              Task.holder(), Task.m_Now);
  Found.m_Cost -= Value;
  if (Task.m_PrefillAt && Found.m_Cost >= Task.m_Prefill.m_Cost)
    return;
  Task.m_PrefillAt = Index;
  Task.m_Prefill = Found;
}

void offerDecode(Search &Task, SlotIndex Index, double Value) {
  const Slot &Place = Task.slot(Index);
  if (!isEligible(Place) || isAvoided(Task.m_Wanted, Place))
    return;
  if (Index == *Task.m_PrefillAt || !isWarmEnough(Task, Place))
    return;
  Pick Offer;
  Offer.m_Run = Index;
  Offer.m_Prefill = Task.m_PrefillAt;
  Offer.m_Leaning = leanDecode(Task.m_Fleet, Task.m_Group, Place, Task.m_Wanted,
                               Task.m_Prefill, Task.m_Now);
  Offer.m_Leaning.m_Cost -= Value;
  keepBetter(Task.m_Best, Offer);
}

template <typename OfferFunction>
void offerSamples(Search &Task, const std::vector<SlotIndex> &List,
                  std::uint32_t Count, OfferFunction Offer) {
  if (List.size() <= std::max<std::size_t>(Count, WholeListUpTo)) {
    // A random start breaks ties evenly.
    const std::size_t Start =
        List.empty() ? 0 : drawIndex(Task.m_Rng, List.size());
    for (std::size_t I = 0; I < List.size(); ++I)
      Offer(Task, List[(Start + I) % List.size()], 0);
    return;
  }
  for (std::uint32_t I = 0; I < Count; ++I) {
    SlotIndex Index = List[drawIndex(Task.m_Rng, List.size())];
    for (int Draw = 1; Draw < MaxDraws; ++Draw) {
      if (!isAvoided(Task.m_Wanted, Task.slot(Index)))
        break;
      Index = List[drawIndex(Task.m_Rng, List.size())];
    }
    Offer(Task, Index, 0);
  }
}

const std::vector<SlotIndex> &listOf(const Search &Task, Role Which) {
  return Task.m_Group.m_ByRole[roleIndex(Which)];
}

/// Bucket of the first block, or of a deeper one if the prompt's first blocks
/// are too hot: a block that everyone shares says little about where to go.
Partition *affineBucket(Search &Task) {
  if (Task.m_Wanted.m_Blocks.empty() || Task.m_Group.m_Partitions.empty())
    return nullptr;
  Partition *Found = nullptr;
  for (std::uint64_t Block : Task.m_Wanted.m_Blocks) {
    Found = &partitionOf(Task.m_Group, Block);
    if (replicasOf(Task.m_Fleet, *Found, Task.m_Now) < Found->m_Count ||
        Found->m_Count < MaxReplicas)
      break;
  }
  return Found;
}

/// Whether the bounded load of consistent hashing still admits the target.
bool isWithinBound(const Search &Task, const Slot &Place) {
  const std::size_t Part = roleIndex(Place.m_Target.m_Role);
  const std::size_t Count = Task.m_Group.m_ByRole[Part].size();
  if (Count == 0)
    return false;
  const Room &Sum = Task.m_Group.m_Sums[Part];
  const double Busy = static_cast<double>(Sum.m_Max - Sum.m_Free);
  const double Mean = (Busy + 1) / static_cast<double>(Count);
  const double Half = Place.m_Target.m_MaxRunning / 2.0;
  const double Bound = std::max(std::ceil(LoadBound * Mean), Half);
  const Load There = loadOf(Task.m_Fleet, Task.m_Group, Place, Task.m_Now);
  return There.m_Requests + 1 <= Bound;
}

/// \p Home: one of the targets that share the bucket.
void offerAffine(Search &Task, SlotIndex Index, bool Splits, bool Home) {
  const Slot &Place = Task.slot(Index);
  if (!isEligible(Place) || !isWithinBound(Task, Place))
    return;
  const double Value = Home ? homeValue(Task.m_Fleet, Place, Task.m_Wanted) : 0;
  if (Place.m_Target.m_Role == Role::Mixed)
    offerWhole(Task, Index, Value);
  if (Splits)
    offerPrefill(Task, Index, Value);
}

/// Finds where the shared prefix is kept, and where every entry would read one
/// that is kept nowhere, as far as it knows the same targets to be well.
void findHomes(Search &Task) {
  if (!Task.m_Wanted.m_FetchesPrefix || Task.m_Wanted.m_Blocks.empty())
    return;
  const std::uint64_t Last = Task.m_Wanted.m_Blocks.back();
  Task.m_Holder =
      holderOf(Task.m_Fleet, Task.m_Group, prefixOf(Task.m_Wanted.m_Blocks));
  if (!Task.m_Group.m_Partitions.empty()) {
    const Partition &Bucket = partitionOf(Task.m_Group, Last);
    for (std::size_t I = 0; I < Bucket.m_Count && !Task.m_Home; ++I)
      if (isEligible(Task.slot(Bucket.m_Slots[I])))
        Task.m_Home = Bucket.m_Slots[I];
  }
  // Streams of one prefix also end up at one engine, which then keeps it too.
  std::uint64_t Best = 0;
  const auto &Streamers = Task.m_Group.m_Streamers;
  for (const SlotIndex Index :
       Streamers.empty() ? listOf(Task, Role::Decode) : Streamers) {
    const std::uint64_t Score = placementScore(Task.slot(Index).m_Hash, Last);
    if (Task.m_DecodeHome && Score <= Best)
      continue;
    Task.m_DecodeHome = Index;
    Best = Score;
  }
}

void offerOne(Search &Task, SlotIndex Index, double Value, bool Splits) {
  if (Task.slot(Index).m_Target.m_Role != Role::Prefill)
    offerWhole(Task, Index, Value);
  if (Splits && Task.slot(Index).m_Target.m_Role != Role::Decode)
    offerPrefill(Task, Index, Value);
}

/// Who keeps the prefix; else who is to read it, and what that is worth.
void offerHomes(Search &Task, bool Splits) {
  if (Task.m_DecodeHome && !onlyStreams(Task, *Task.m_DecodeHome))
    offerWhole(Task, *Task.m_DecodeHome, 0);
  if (Task.m_Holder)
    return offerOne(Task, *Task.m_Holder, 0, Splits);
  if (Task.m_Home)
    offerOne(Task, *Task.m_Home,
             homeValue(Task.m_Fleet, Task.slot(*Task.m_Home), Task.m_Wanted),
             Splits);
}

/// Two of the targets that share the bucket, and the next one in order.
void offerAffine(Search &Task, bool Splits) {
  if (Task.m_Wanted.m_FetchesPrefix)
    return offerHomes(Task, Splits);
  const Partition *Bucket = affineBucket(Task);
  if (Bucket == nullptr || Bucket->m_Count == 0)
    return;
  const std::size_t Sharing =
      std::max<std::size_t>(1, replicasOf(Task.m_Fleet, *Bucket, Task.m_Now));
  const std::size_t First = drawIndex(Task.m_Rng, Sharing);
  offerAffine(Task, Bucket->m_Slots[First], Splits, true);
  if (Sharing > 1) {
    const std::size_t Step = 1 + drawIndex(Task.m_Rng, Sharing - 1);
    offerAffine(Task, Bucket->m_Slots[(First + Step) % Sharing], Splits, true);
  }
  if (Sharing < Bucket->m_Count)
    offerAffine(Task, Bucket->m_Slots[Sharing], Splits, false);
}

void offerWholes(Search &Task) {
  const std::uint32_t Samples = Task.m_Fleet.m_Settings.m_Samples;
  offerSamples(Task, Task.m_Group.m_InZone, Samples, offerWhole);
  offerSamples(Task, Task.m_Group.m_InRegion, 1, offerWhole);
  offerSamples(Task, listOf(Task, Role::Mixed), 1, offerWhole);
  offerSamples(Task, listOf(Task, Role::Decode), 1, offerWhole);
  offerSamples(Task, listOf(Task, Role::Prefill), 1, offerWhole);
}

void offerSplits(Search &Task) {
  const std::uint32_t Samples = Task.m_Fleet.m_Settings.m_Samples;
  const bool HasPrefill = !listOf(Task, Role::Prefill).empty();
  const bool HasDecode = !listOf(Task, Role::Decode).empty();
  const Role PrefillAt = HasPrefill ? Role::Prefill : Role::Mixed;
  const Role DecodeAt = HasDecode ? Role::Decode : Role::Mixed;
  offerSamples(Task, listOf(Task, PrefillAt), Samples, offerPrefill);
  if (!Task.m_PrefillAt)
    return;
  if (Task.m_DecodeHome)
    offerDecode(Task, *Task.m_DecodeHome,
                seconds(Task.m_Fleet.m_Settings.m_DecodeHomeValue));
  const auto &Streamers = Task.m_Group.m_Streamers;
  offerSamples(Task, Streamers.empty() ? listOf(Task, DecodeAt) : Streamers,
               Samples, offerDecode);
}

bool maySplit(const Search &Task) {
  return Task.m_Wanted.m_Kind == Kind::Engine && Task.m_Wanted.m_MaySplit &&
         (!listOf(Task, Role::Prefill).empty() ||
          !listOf(Task, Role::Decode).empty());
}

/// Every target that may be used at all; only when the samples had none.
void offerEverything(Search &Task) {
  Task.m_TakesAll = true;
  for (const std::vector<SlotIndex> &List : Task.m_Group.m_ByRole) {
    for (SlotIndex Index : List)
      offerWhole(Task, Index, 0);
  }
}

std::optional<Pick> pickByWork(Search &Task) {
  const bool Splits = maySplit(Task);
  findHomes(Task);
  offerAffine(Task, Splits);
  offerWholes(Task);
  if (Splits)
    offerSplits(Task);
  if (!Task.m_Best && !Task.m_Reluctant)
    offerEverything(Task);
  std::optional<Pick> Found = Task.m_Best ? Task.m_Best : Task.m_Reluctant;
  // What the home has may have come from an entry that could not tell of it.
  const auto From = Task.m_Holder ? Task.m_Holder : Task.m_Home;
  if (Found && From) {
    const SlotIndex Reader = Found->m_Prefill.value_or(Found->m_Run);
    if (Reader != *From &&
        !keeps(Task.slot(Reader), prefixOf(Task.m_Wanted.m_Blocks)))
      Found->m_FetchFrom = From;
  }
  return Found;
}

Pick wholePick(const Search &Task, SlotIndex Index) {
  Pick Found;
  Found.m_Run = Index;
  Found.m_Leaning = leanWhole(Task.m_Fleet, Task.m_Group, Task.slot(Index),
                              Task.m_Wanted, Task.holder(), Task.m_Now);
  return Found;
}

/// Baselines use the mixed targets, or all if there are none.
std::vector<SlotIndex> baselineList(const Search &Task) {
  const std::vector<SlotIndex> &Mixed = listOf(Task, Role::Mixed);
  if (!Mixed.empty())
    return Mixed;
  std::vector<SlotIndex> All = listOf(Task, Role::Prefill);
  const std::vector<SlotIndex> &Decode = listOf(Task, Role::Decode);
  All.insert(All.end(), Decode.begin(), Decode.end());
  return All;
}

std::optional<Pick> pickRoundRobin(Search &Task) {
  const std::vector<SlotIndex> List = baselineList(Task);
  for (std::size_t I = 0; I < List.size(); ++I) {
    const SlotIndex Index = List[Task.m_Group.m_Next++ % List.size()];
    if (!isAvoided(Task.m_Wanted, Task.slot(Index)))
      return wholePick(Task, Index);
  }
  return std::nullopt;
}

std::optional<Pick> pickLeastReported(Search &Task) {
  std::optional<SlotIndex> Best;
  for (SlotIndex Index : baselineList(Task)) {
    if (isAvoided(Task.m_Wanted, Task.slot(Index)))
      continue;
    if (!Best || Task.slot(Index).m_ReportedRequests <
                     Task.slot(*Best).m_ReportedRequests)
      Best = Index;
  }
  if (!Best)
    return std::nullopt;
  return wholePick(Task, *Best);
}

std::optional<Pick> pickByPolicy(Search &Task) {
  switch (Task.m_Fleet.m_Settings.m_Policy) {
  case Policy::RoundRobin:
    return pickRoundRobin(Task);
  case Policy::LeastReportedLoad:
    return pickLeastReported(Task);
  case Policy::AffinityAndWork:
    return pickByWork(Task);
  }
  return std::nullopt;
}

std::optional<Pick> pickOnly(Search &Task) {
  const auto Found =
      Task.m_Fleet.m_ByTarget.find(*Task.m_Wanted.m_RequiredTarget);
  if (Found == Task.m_Fleet.m_ByTarget.end())
    return std::nullopt;
  const Slot &Place = Task.slot(Found->second);
  const auto &Models = Place.m_Target.m_Models;
  const bool Serves = std::find(Models.begin(), Models.end(),
                                Task.m_Wanted.m_Model) != Models.end();
  if (!isEligible(Place) || !Serves ||
      Place.m_Target.m_Kind != Task.m_Wanted.m_Kind)
    return std::nullopt;
  return wholePick(Task, Found->second);
}

/// An ejected target whose time is over gets one request.
std::optional<Pick> pickProbe(Search &Task) {
  for (SlotIndex Index : Task.m_Group.m_Ejected) {
    const Slot &Place = Task.slot(Index);
    if (Place.m_Health.m_State != HealthState::Ejected ||
        Place.m_Health.m_EjectedUntil > Task.m_Now ||
        isAvoided(Task.m_Wanted, Place) || !runsWhole(Task.m_Fleet, Place))
      continue;
    Pick Found = wholePick(Task, Index);
    Found.m_Probe = true;
    return Found;
  }
  return std::nullopt;
}

/// With nothing else left, a target that failed this request before.
std::optional<Pick> pickDespiteAvoid(Search &Task) {
  if (Task.m_Wanted.m_Avoid.empty())
    return std::nullopt;
  Request Relaxed = Task.m_Wanted;
  Relaxed.m_Avoid.clear();
  return pick(Task.m_Fleet, Task.m_Group, Relaxed, Task.m_Now, Task.m_Rng,
              false);
}

Error noTarget(const Request &Wanted) {
  return {"routing.choose", Wanted.m_Model.m_Value,
          "no eligible target serves it"};
}

} // namespace

std::optional<Pick> pick(State &Fleet, Pool &Group, const Request &Wanted,
                         TimePoint Now, Random &Rng, bool MayProbe) {
  Search Task{Fleet, Group, Wanted, Now, Rng, {},   {},
              {},    {},    {},     {},  {},  false};
  if (Wanted.m_RequiredTarget)
    return pickOnly(Task);
  if (!Fleet.m_Settings.m_PrefillRunsWhole)
    readmitPrefill(Fleet, Group, Now);
  if (MayProbe && Wanted.m_MayProbe) {
    std::optional<Pick> Probe = pickProbe(Task);
    if (Probe)
      return Probe;
  }
  std::optional<Pick> Found = pickByPolicy(Task);
  return Found ? Found : pickDespiteAvoid(Task);
}

Result<Choice> choose(State &Fleet, const Request &Wanted, TimePoint Now,
                      Random &Rng) {
  ++Fleet.m_Counters.m_Choices;
  Pool *Group = findPool(Fleet, Wanted.m_Kind, Wanted.m_Model);
  std::optional<Pick> Found;
  if (Group != nullptr)
    Found = pick(Fleet, *Group, Wanted, Now, Rng, true);
  if (!Found) {
    ++Fleet.m_Counters.m_NoTarget;
    return noTarget(Wanted);
  }
  return reserve(Fleet, *Group, *Found, Wanted, Now);
}

Result<Estimate> estimate(State &Fleet, const Request &Wanted, TimePoint Now,
                          Random &Rng) {
  Pool *Group = findPool(Fleet, Wanted.m_Kind, Wanted.m_Model);
  if (Group == nullptr)
    return noTarget(Wanted);
  const std::optional<Pick> Found =
      pick(Fleet, *Group, Wanted, Now, Rng, false);
  if (!Found)
    return noTarget(Wanted);
  return Found->m_Leaning.m_Estimate;
}

} // namespace wasabivale::routing
