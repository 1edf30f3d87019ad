// Prefix placement: rendezvous hashing of prefix buckets onto targets.
//
// The highest-ranked targets of each bucket are kept in a table that changes
// only with the fleet, so that the cost of a choice does not depend on the
// fleet size. Every entry computes the same table from the same fleet.

#include "Internal.h"

#include <cmath>

namespace wasabivale::routing {

namespace {

/// Time constant of the mean demand.
constexpr double DemandSeconds = 10;
/// Fraction of one engine's time that a bucket may use before it is spread.
constexpr double MaxEngineShare = 0.5;

std::uint64_t mixBits(std::uint64_t Value) {
  Value ^= Value >> 30;
  Value *= 0xbf58476d1ce4e5b9U;
  Value ^= Value >> 27;
  Value *= 0x94d049bb133111ebU;
  return Value ^ (Value >> 31);
}

/// Returns the rendezvous score; targets of the own region rank before all
/// others.
std::uint64_t score(const State &Fleet, SlotIndex Index,
                    std::size_t BucketIndex) {
  const Slot &TargetSlot = Fleet.m_Slots[Index];
  const std::uint64_t Salt = 0x9e3779b97f4a7c15U * (BucketIndex + 1);
  const std::uint64_t Value = mixBits(TargetSlot.m_Hash ^ Salt) >> 1;
  const bool IsLocalRegion =
      TargetSlot.m_Target.m_Region == Fleet.m_Settings.m_Region;
  return IsLocalRegion ? Value | (std::uint64_t(1) << 63) : Value;
}

void insertRanked(const State &Fleet, Partition &Bucket,
                  std::size_t BucketIndex, SlotIndex Index) {
  const std::uint64_t OwnScore = score(Fleet, Index, BucketIndex);
  std::size_t Rank = 0;
  while (Rank < Bucket.m_Count &&
         score(Fleet, Bucket.m_Slots[Rank], BucketIndex) >= OwnScore)
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

void rebuildPartition(const State &Fleet, Pool &TargetPool,
                      std::size_t BucketIndex) {
  TargetPool.m_Partitions[BucketIndex].m_Count = 0;
  for (SlotIndex Index : TargetPool.m_Placed)
    insertRanked(Fleet, TargetPool.m_Partitions[BucketIndex], BucketIndex,
                 Index);
}

double decayedLoad(const Partition &Bucket, TimePoint Now) {
  const double Age = seconds(Now - Bucket.m_LoadAt);
  return Age <= 0 ? Bucket.m_Load
                  : Bucket.m_Load * std::exp(-Age / DemandSeconds);
}

} // namespace

void addPlacement(State &Fleet, Pool &TargetPool, SlotIndex Index) {
  const Target &TargetInfo = Fleet.m_Slots[Index].m_Target;
  // Only engines that prefill populate their prefix caches.
  if (TargetInfo.m_Kind != Kind::Engine || TargetInfo.m_Role == Role::Decode)
    return;
  if (TargetPool.m_Partitions.empty())
    TargetPool.m_Partitions.resize(PartitionCount);
  TargetPool.m_Placed.push_back(Index);
  for (std::size_t I = 0; I < PartitionCount; ++I)
    insertRanked(Fleet, TargetPool.m_Partitions[I], I, Index);
}

void removePlacement(State &Fleet, Pool &TargetPool, SlotIndex Index) {
  const auto Found =
      std::find(TargetPool.m_Placed.begin(), TargetPool.m_Placed.end(), Index);
  if (Found == TargetPool.m_Placed.end())
    return;
  TargetPool.m_Placed.erase(Found);
  for (std::size_t I = 0; I < PartitionCount; ++I) {
    const Partition &Bucket = TargetPool.m_Partitions[I];
    const auto *End = Bucket.m_Slots.begin() + Bucket.m_Count;
    if (std::find(Bucket.m_Slots.begin(), End, Index) != End)
      rebuildPartition(Fleet, TargetPool, I);
  }
}

std::uint64_t placementScore(std::uint64_t TargetHash, std::uint64_t Block) {
  return mixBits(TargetHash ^ mixBits(Block));
}

Partition &getPartition(Pool &TargetPool, std::uint64_t Block) {
  return TargetPool.m_Partitions[mixBits(Block) % PartitionCount];
}

void addDemand(Partition &Bucket, double EngineSeconds, TimePoint Now) {
  Bucket.m_Load = decayedLoad(Bucket, Now) + EngineSeconds / DemandSeconds;
  Bucket.m_LoadAt = Now;
}

std::size_t replicaCount(const State &Fleet, const Partition &Bucket,
                         TimePoint Now) {
  const double FleetDemand =
      decayedLoad(Bucket, Now) * Fleet.m_Settings.m_Entries;
  const double Replicas = 1 + std::floor(FleetDemand / MaxEngineShare);
  return static_cast<std::size_t>(
      std::min<double>(Replicas, static_cast<double>(Bucket.m_Count)));
}

} // namespace wasabivale::routing
