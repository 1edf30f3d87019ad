// Fleet-wide verdicts on fingerprints that were running on crashed targets.

#include "retries/retries.h"

#include <algorithm>

namespace wasabivale::retries {

namespace {

bool hasPermission(const Suspect &Info) {
  return Info.m_RerunEntry.has_value();
}

void endPermission(Suspect &Info) {
  Info.m_RerunEntry.reset();
  Info.m_RerunTarget = {};
}

/// Returns the suspect that is permitted to run at the target now.
std::optional<Fingerprint> permittedSuspect(const SuspectTable &Table,
                                            const TargetId &Target) {
  for (const auto &[Hash, Info] : Table.m_Suspects) {
    if (hasPermission(Info) && Info.m_RerunTarget == Target)
      return Hash;
  }
  return std::nullopt;
}

/// Whether the crash was one of many within the mass crash window.
bool isMassCrash(const SuspectTable &Table, const CrashRecord &Record) {
  const Duration Window = Table.m_Settings.m_MassCrashWindow;
  const auto CrashCount = std::count_if(
      Table.m_Crashes.begin(), Table.m_Crashes.end(), [&](const auto &Item) {
        const Duration Distance =
            Item.second.m_ReportedAt - Record.m_ReportedAt;
        return Distance <= Window && -Distance <= Window;
      });
  return static_cast<std::size_t>(CrashCount) >=
         Table.m_Settings.m_MassCrashCount;
}

bool isQuarantineDue(const SuspectTable &Table, Fingerprint Hash,
                     const Suspect &Info) {
  std::size_t Evidence = 0;
  for (const CrashKey &Key : Info.m_Crashes) {
    const auto Found = Table.m_Crashes.find(Key);
    if (Found == Table.m_Crashes.end())
      continue;
    if (Found->second.m_Culprit == Hash)
      return true;
    Evidence += isMassCrash(Table, Found->second) ? 0 : 1;
  }
  return Evidence >= MaxTargetsLost;
}

Duration quarantineTime(const SuspicionSettings &Options,
                        std::uint32_t QuarantineCount) {
  constexpr std::uint32_t MaxDoublings = 16;
  const int Doublings =
      static_cast<int>(std::min(QuarantineCount, MaxDoublings));
  return std::min(Options.m_MaxQuarantine,
                  Options.m_QuarantineDuration * (1 << Doublings));
}

void updateVerdict(const SuspectTable &Table, Fingerprint Hash, Suspect &Info,
                   TimePoint LogNow) {
  const SuspicionSettings &Options = Table.m_Settings;
  const bool QuarantineDue = isQuarantineDue(Table, Hash, Info);
  const bool WasQuarantined = Info.m_Verdict == Verdict::Quarantined;
  if (QuarantineDue == WasQuarantined)
    return;
  if (QuarantineDue) {
    Info.m_Verdict = Verdict::Quarantined;
    Info.m_ExpiresAt = LogNow + quarantineTime(Options, Info.m_QuarantineCount);
    ++Info.m_QuarantineCount;
    endPermission(Info);
    return;
  }
  // Further crashes at the same time revealed a common cause.
  Info.m_Verdict = Verdict::Suspect;
  Info.m_ExpiresAt = LogNow + Options.m_SuspectDuration;
  --Info.m_QuarantineCount;
}

/// Orders by suspicion: quarantined first, then by weight.
bool isMoreSuspect(const SuspectTable &Table, const Suspect &Left,
                   const Suspect &Right) {
  if (Left.m_Verdict != Right.m_Verdict)
    return Left.m_Verdict == Verdict::Quarantined;
  return weightOf(Table, Left) > weightOf(Table, Right);
}

void evictLeastSuspect(SuspectTable &Table) {
  while (Table.m_Suspects.size() > Table.m_Settings.m_MaxSuspects) {
    const auto LeastSuspect = std::min_element(
        Table.m_Suspects.begin(), Table.m_Suspects.end(),
        [&](const auto &Left, const auto &Right) {
          return isMoreSuspect(Table, Right.second, Left.second);
        });
    Table.m_Suspects.erase(LeastSuspect);
  }
}

void addSuspect(SuspectTable &Table, Fingerprint Hash, const CrashKey &Key,
                TimePoint LogNow) {
  Suspect &Info = Table.m_Suspects[Hash];
  Info.m_Crashes.insert(Key);
  Info.m_ExpiresAt =
      std::max(Info.m_ExpiresAt, LogNow + Table.m_Settings.m_SuspectDuration);
}

CrashRecord &crashRecord(SuspectTable &Table, const CrashKey &Key,
                         TimePoint LogNow) {
  const auto [Found, Added] = Table.m_Crashes.try_emplace(Key);
  if (Added) {
    Found->second.m_ReportedAt = LogNow;
    Found->second.m_Culprit = permittedSuspect(Table, Key.first);
  }
  return Found->second;
}

/// Turns expired quarantines into suspects on probation, and removes expired
/// suspects and permissions. \returns whether anything changed.
bool expireVerdicts(SuspectTable &Table, TimePoint LogNow) {
  bool Changed = false;
  for (auto Item = Table.m_Suspects.begin(); Item != Table.m_Suspects.end();) {
    Suspect &Info = Item->second;
    if (hasPermission(Info) && Info.m_RerunDeadline <= LogNow) {
      endPermission(Info);
      Changed = true;
    }
    if (Info.m_ExpiresAt > LogNow) {
      ++Item;
      continue;
    }
    Changed = true;
    if (Info.m_Verdict == Verdict::Suspect) {
      Item = Table.m_Suspects.erase(Item);
      continue;
    }
    Info.m_Verdict = Verdict::Suspect;
    Info.m_Crashes.clear();
    Info.m_ExpiresAt = LogNow + Table.m_Settings.m_ProbationDuration;
    ++Item;
  }
  return Changed;
}

} // namespace

Fingerprint fingerprintOf(const ModelId &Model, std::string_view Prompt) {
  return hashBytes(Prompt, hashBytes(Model.m_Value));
}

double weightOf(const SuspectTable &Table, const Suspect &Info) {
  double Weight = 0;
  for (const CrashKey &Key : Info.m_Crashes) {
    const auto Found = Table.m_Crashes.find(Key);
    if (Found != Table.m_Crashes.end())
      Weight += 1 / static_cast<double>(Found->second.m_Running.size());
  }
  return Weight;
}

std::uint64_t applyCrash(SuspectTable &Table, const Crash &Report,
                         TimePoint LogNow) {
  expireSuspects(Table, LogNow);
  const CrashKey Key{Report.m_Target, Report.m_Incarnation};
  CrashRecord &Record = crashRecord(Table, Key, LogNow);
  bool IsNew = false;
  for (Fingerprint Hash : Report.m_Running) {
    IsNew = Record.m_Running.insert(Hash).second || IsNew;
    const bool Bystander = Record.m_Culprit && Record.m_Culprit != Hash;
    if (!Bystander)
      addSuspect(Table, Hash, Key, LogNow);
  }
  if (!IsNew)
    return Table.m_Revision;
  ++Table.m_Revision;
  for (auto &[Hash, Info] : Table.m_Suspects)
    updateVerdict(Table, Hash, Info, LogNow);
  evictLeastSuspect(Table);
  return Table.m_Revision;
}

bool permitRerun(SuspectTable &Table, Fingerprint Hash, const NodeId &Entry,
                 const TargetId &Target, TimePoint LogNow) {
  expireSuspects(Table, LogNow);
  const auto Found = Table.m_Suspects.find(Hash);
  if (Found == Table.m_Suspects.end())
    return false;
  Suspect &Info = Found->second;
  if (Info.m_Verdict == Verdict::Quarantined || hasPermission(Info))
    return false;
  if (permittedSuspect(Table, Target))
    return false;
  Info.m_RerunEntry = Entry;
  Info.m_RerunTarget = Target;
  Info.m_RerunDeadline = LogNow + Table.m_Settings.m_RerunTimeLimit;
  Info.m_ExpiresAt = std::max(Info.m_ExpiresAt, Info.m_RerunDeadline);
  ++Table.m_Revision;
  return true;
}

void endRerun(SuspectTable &Table, Fingerprint Hash, const NodeId &Entry,
              bool Completed, TimePoint LogNow) {
  expireSuspects(Table, LogNow);
  const auto Found = Table.m_Suspects.find(Hash);
  if (Found == Table.m_Suspects.end() || Found->second.m_RerunEntry != Entry)
    return;
  ++Table.m_Revision;
  if (Completed)
    Table.m_Suspects.erase(Found);
  else
    endPermission(Found->second);
}

void expireSuspects(SuspectTable &Table, TimePoint LogNow) {
  if (expireVerdicts(Table, LogNow))
    ++Table.m_Revision;
  std::erase_if(Table.m_Crashes, [&](const auto &Item) {
    return Item.second.m_ReportedAt + Table.m_Settings.m_QuarantineDuration <=
           LogNow;
  });
}

bool liftQuarantine(SuspectTable &Table, Fingerprint Hash) {
  if (Table.m_Suspects.erase(Hash) == 0)
    return false;
  ++Table.m_Revision;
  return true;
}

std::vector<SuspectNotice> suspectNotices(const SuspectTable &Table,
                                          const NodeId &Entry,
                                          TimePoint LogNow) {
  std::vector<std::pair<Fingerprint, const Suspect *>> Suspects;
  for (const auto &[Hash, Info] : Table.m_Suspects) {
    if (Info.m_ExpiresAt > LogNow)
      Suspects.emplace_back(Hash, &Info);
  }
  std::stable_sort(Suspects.begin(), Suspects.end(),
                   [&](const auto &Left, const auto &Right) {
                     return isMoreSuspect(Table, *Left.second, *Right.second);
                   });
  std::vector<SuspectNotice> Notices;
  for (const auto &[Hash, Info] : Suspects) {
    SuspectNotice Notice;
    Notice.m_Fingerprint = Hash;
    Notice.m_Verdict = Info->m_Verdict;
    Notice.m_Remaining = Info->m_ExpiresAt - LogNow;
    Notice.m_RerunPermitted =
        Info->m_RerunEntry == Entry && Info->m_RerunDeadline > LogNow;
    if (Notice.m_RerunPermitted) {
      Notice.m_RerunTarget = Info->m_RerunTarget;
      Notice.m_RerunRemaining = Info->m_RerunDeadline - LogNow;
    }
    Notices.push_back(std::move(Notice));
  }
  return Notices;
}

} // namespace wasabivale::retries
