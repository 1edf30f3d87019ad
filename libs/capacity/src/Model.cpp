#include "Model.h"

#include <algorithm>
#include <array>

namespace wasabivale::capacity {

namespace {

constexpr double NanosecondsInSecond = 1e9;
constexpr double SecondsInDay = 86400;
constexpr double GroupCommitRecords = 256;
/// A target's load in a zone's digest: index, running, waiting, tokens
/// waiting, free blocks, as protobuf varints.
constexpr double DigestBytesPerTarget = 12;

constexpr std::array Needed = {slope::ReportBytesPerTarget,
                               slope::ReportBytesPerCaller,
                               slope::GrantBytesPerCaller,
                               slope::ReportCpu,
                               slope::WireMessageCpu,
                               slope::FleetBytesPerTarget,
                               slope::FleetCpuPerTarget,
                               slope::HeartbeatCpu,
                               slope::LoadCpuPerTarget,
                               slope::HttpCpu,
                               slope::HeartbeatBytes,
                               slope::ChooseCpu,
                               slope::TargetMemory,
                               slope::CallerMemory,
                               slope::LedgerKeyMemory,
                               slope::LedgerKeyCpu,
                               slope::CommitTime,
                               slope::PushCpu,
                               slope::DivideCpu,
                               slope::PlannerCpu,
                               slope::RequestCpu,
                               slope::TokenCpu};

double seconds(std::chrono::milliseconds Value) {
  return std::chrono::duration<double>(Value).count();
}

struct Model {
  const Deployment &m_Size;
  const Design &m_By;
  const Slopes &m_Measured;

  [[nodiscard]] double cost(const char *Name, double Size) const {
    return costAt(slopeOf(m_Measured, Name), Size);
  }
  [[nodiscard]] double each(const char *Name) const {
    return slopeOf(m_Measured, Name).m_PerUnit;
  }
};

void addTraffic(Figures &To, const Model &Of) {
  const Deployment &Size = Of.m_Size;
  const double Interval = seconds(Of.m_By.m_ReportIntervalAtSize);
  To.m_EntriesPerZone = Size.m_Nodes / Size.m_Zones;
  To.m_TargetsPerZone = Size.m_Runners / Size.m_Zones;
  To.m_TargetsPerEntry = Size.m_Runners / Size.m_Nodes;
  To.m_ActiveCallers = std::min(Size.m_Callers, Size.m_RequestsPerSecond /
                                                    Size.m_Nodes * Interval);
  To.m_ReportsPerEntry = 1 / Interval;
  To.m_ReportBytes =
      Of.cost(slope::ReportBytesPerTarget, To.m_TargetsPerEntry) +
      Of.each(slope::ReportBytesPerCaller) * To.m_ActiveCallers;
  To.m_GrantBytes = Of.cost(slope::GrantBytesPerCaller, To.m_ActiveCallers);
  To.m_DigestBytes = DigestBytesPerTarget * To.m_TargetsPerZone;
  To.m_HeartbeatBytesPerEntry = To.m_TargetsPerEntry *
                                Of.cost(slope::HeartbeatBytes, 1) /
                                seconds(Of.m_By.m_HeartbeatInterval);
  To.m_ConfigurationBytes = Size.m_ConfigurationChangesPerDay *
                            Of.m_By.m_ConfigurationChangeBytes / SecondsInDay;
  To.m_EntryControlBytes =
      To.m_ReportsPerEntry * (To.m_ReportBytes + To.m_GrantBytes) +
      To.m_DigestBytes / seconds(Of.m_By.m_ZoneDigestInterval) +
      To.m_HeartbeatBytesPerEntry + To.m_ConfigurationBytes;
}

void addProcessor(Figures &To, const Model &Of) {
  const Deployment &Size = Of.m_Size;
  const double ReportCost =
      Of.cost(slope::ReportCpu, To.m_ActiveCallers + To.m_TargetsPerEntry);
  const double MessageCost = Of.each(slope::WireMessageCpu);
  // An entry makes a report and reads a grant: about the work that control
  // has with reading the one and making the other.
  const double EntryNanoseconds =
      To.m_ReportsPerEntry * (ReportCost + 2 * MessageCost) +
      To.m_TargetsPerEntry / seconds(Of.m_By.m_HeartbeatInterval) *
          (Of.each(slope::HeartbeatCpu) + Of.each(slope::HttpCpu)) +
      Of.each(slope::LoadCpuPerTarget) * To.m_TargetsPerZone /
          seconds(Of.m_By.m_ZoneDigestInterval);
  To.m_EntryControlCoreShare = EntryNanoseconds / NanosecondsInSecond;
  To.m_EntryControlMemory = Of.each(slope::TargetMemory) * To.m_TargetsPerZone +
                            Of.each(slope::CallerMemory) * Size.m_Callers;
  To.m_StarLeaderBytes = Size.m_Nodes * To.m_ReportsPerEntry *
                         (To.m_ReportBytes + To.m_GrantBytes);
  To.m_StarLeaderCoreShare = Size.m_Nodes * To.m_ReportsPerEntry *
                             (ReportCost + 2 * MessageCost) /
                             NanosecondsInSecond;
  To.m_RelayBytes =
      To.m_EntriesPerZone *
      (To.m_ReportsPerEntry * (To.m_ReportBytes + To.m_GrantBytes) +
       To.m_DigestBytes / seconds(Of.m_By.m_ZoneDigestInterval));
  To.m_RelayCoreShare = To.m_StarLeaderCoreShare / Size.m_Zones;
  To.m_EntryRequestCoreShare =
      (Size.m_RequestsPerSecond / Size.m_Nodes *
           (Of.each(slope::RequestCpu) +
            Of.cost(slope::ChooseCpu, To.m_TargetsPerZone)) +
       Size.m_TokensPerSecond / Size.m_Nodes * Of.each(slope::TokenCpu)) /
      NanosecondsInSecond;
}

void addLedger(Figures &To, const Model &Of) {
  constexpr double CommitsPerKey = 2; // begin and finish
  const double Keys =
      Of.m_Size.m_RequestsPerSecond * Of.m_By.m_NotRepeatableShare;
  To.m_LedgerCommits = CommitsPerKey * Keys;
  To.m_LedgerKeys =
      Keys * static_cast<double>(Of.m_By.m_LedgerRetention.count());
  To.m_LedgerBytes = To.m_LedgerKeys * Of.each(slope::LedgerKeyMemory);
  To.m_LedgerCoreShare =
      Keys * Of.each(slope::LedgerKeyCpu) / NanosecondsInSecond;
  // A group is on the disks of a quorum after an fsync and a round trip.
  To.m_CommitsPossible =
      GroupCommitRecords /
      (Of.cost(slope::CommitTime, GroupCommitRecords) / NanosecondsInSecond +
       seconds(Of.m_By.m_CrossZoneRoundTrip));
  To.m_CacheEvents =
      Of.m_Size.m_KvGigabytesPerSecond * 1000 / Of.m_By.m_KvMegabytesPerBlock;
}

} // namespace

const Slope &slopeOf(const Slopes &Measured, const char *Name) {
  const auto Found = Measured.find(Name);
  WASABIVALE_INVARIANT(Found != Measured.end());
  return Found->second;
}

Result<Figures> computeFigures(const Deployment &Size, const Design &By,
                               const Slopes &Measured) {
  for (const char *Name : Needed)
    if (Measured.count(Name) == 0)
      return Error{"capacity.model", Name, "this slope was not measured"};
  if (Size.m_Nodes <= 0 || Size.m_Zones <= 0 || Size.m_Models <= 0)
    return Error{"capacity.model", "nodes, zones, models", "must not be zero"};
  const Model Of{Size, By, Measured};
  Figures Made;
  addTraffic(Made, Of);
  addProcessor(Made, Of);
  addLedger(Made, Of);
  return Made;
}

} // namespace wasabivale::capacity
