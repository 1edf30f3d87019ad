// Prefix placement: rendezvous hashing of buckets of prefixes onto targets.
//
// The first targets of each bucket are kept in a table that changes only with
// the fleet, so that a choice costs the same at any fleet size. Every entry
// computes the same table from the same fleet.

#include "Internal.h"

#include <cmath>

namespace wasabivale::routing {

namespace {

/// Demand is a mean over about this long.
constexpr double DemandSeconds = 10;
/// Part of one engine's time that a bucket may take before it is spread.
constexpr double SpreadAbove = 0.5;

std::uint64_t mix(std::uint64_t Value) {
  Value ^= Value >> 30;
  Value *= 0xbf58476d1ce4e5b9U;
  Value ^= Value >> 27;
  Value *= 0x94d049bb133111ebU;
  return Value ^ (Value >> 31);
}

/// Rendezvous score; targets of the own region come before all others.
std::uint64_t score(const State &Fleet, SlotIndex Index, std::size_t Bucket) {
  const Slot &Place = Fleet.m_Slots[Index];
  const std::uint64_t Salt = 0x9e3779b97f4a7c15U * (Bucket + 1);
  const std::uint64_t Value = mix(Place.m_Hash ^ Salt) >> 1;
  const bool Home = Place.m_Target.m_Region == Fleet.m_Settings.m_Region;
  return Home ? Value | (std::uint64_t(1) << 63) : Value;
}

void insertRanked(const State &Fleet, Partition &Bucket, std::size_t Number,
                  SlotIndex Index) {
  const std::uint64_t Own = score(Fleet, Index, Number);
  std::size_t Rank = 0;
  while (Rank < Bucket.m_Count &&
         score(Fleet, Bucket.m_Slots[Rank], Number) >= Own)
    ++Rank;
  if (Rank == MaxReplicas)
    return;
  const std::size_t Last =
      std::min<std::size_t>(Bucket.m_Count, MaxReplicas - 1);
  for (std::size_t I = Last; I > Rank; --I)
    Bucket.m_Slots[I] = Bucket.m_Slots[I - 1];
  Bucket.m_Slots[Rank] = Index;
  Bucket.m_Count = static_cast<std::uint8_t>(Last + 1);
}

void rebuild(const State &Fleet, Pool &Group, std::size_t Number) {
  Group.m_Partitions[Number].m_Count = 0;
  for (SlotIndex Index : Group.m_Placed)
    insertRanked(Fleet, Group.m_Partitions[Number], Number, Index);
}

double decayed(const Partition &Bucket, TimePoint Now) {
  const double Age = seconds(Now - Bucket.m_LoadAt);
  return Age <= 0 ? Bucket.m_Load
                  : Bucket.m_Load * std::exp(-Age / DemandSeconds);
}

} // namespace

void addPlacement(State &Fleet, Pool &Group, SlotIndex Index) {
  const Target &Described = Fleet.m_Slots[Index].m_Target;
  // Prefix caches fill where prompts are prefilled.
  if (Described.m_Kind != Kind::Engine || Described.m_Role == Role::Decode)
    return;
  if (Group.m_Partitions.empty())
    Group.m_Partitions.resize(PartitionCount);
  Group.m_Placed.push_back(Index);
  for (std::size_t I = 0; I < PartitionCount; ++I)
    insertRanked(Fleet, Group.m_Partitions[I], I, Index);
}

void removePlacement(State &Fleet, Pool &Group, SlotIndex Index) {
  const auto Found =
      std::find(Group.m_Placed.begin(), Group.m_Placed.end(), Index);
  if (Found == Group.m_Placed.end())
    return;
  Group.m_Placed.erase(Found);
  for (std::size_t I = 0; I < PartitionCount; ++I) {
    const Partition &Bucket = Group.m_Partitions[I];
    const auto *End = Bucket.m_Slots.begin() + Bucket.m_Count;
    if (std::find(Bucket.m_Slots.begin(), End, Index) != End)
      rebuild(Fleet, Group, I);
  }
}

std::uint64_t placementScore(std::uint64_t TargetHash, std::uint64_t Block) {
  return mix(TargetHash ^ mix(Block));
}

Partition &partitionOf(Pool &Group, std::uint64_t Block) {
  return Group.m_Partitions[mix(Block) % PartitionCount];
}

void addDemand(Partition &Bucket, double Work, TimePoint Now) {
  Bucket.m_Load = decayed(Bucket, Now) + Work / DemandSeconds;
  Bucket.m_LoadAt = Now;
}

std::size_t replicasOf(const State &Fleet, const Partition &Bucket,
                       TimePoint Now) {
  const double Everyone = decayed(Bucket, Now) * Fleet.m_Settings.m_Entries;
  const double Wanted = 1 + std::floor(Everyone / SpreadAbove);
  return static_cast<std::size_t>(
      std::min<double>(Wanted, static_cast<double>(Bucket.m_Count)));
}

} // namespace wasabivale::routing
