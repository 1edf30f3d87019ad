// Fleet-wide decision on fingerprints that were running on crashing targets.

#include "retries/retries.h"

#include <algorithm>

namespace wasabivale::retries {

namespace {

bool hasPermission(const Suspect &Known) {
  return Known.m_RerunEntry.has_value();
}

void endPermission(Suspect &Known) {
  Known.m_RerunEntry.reset();
  Known.m_RerunTarget = {};
}

/// The suspect that may run at the target now.
std::optional<Fingerprint> permittedAt(const SuspectTable &Fleet,
                                       const TargetId &Target) {
  for (const auto &[Print, Known] : Fleet.m_Suspects) {
    if (hasPermission(Known) && Known.m_RerunTarget == Target)
      return Print;
  }
  return std::nullopt;
}

/// Whether the crash was one of many at the same time.
bool isMassCrash(const SuspectTable &Fleet, const CrashRecord &Record) {
  const Duration Window = Fleet.m_Settings.m_MassCrashWindow;
  const auto Near = std::count_if(
      Fleet.m_Crashes.begin(), Fleet.m_Crashes.end(), [&](const auto &One) {
        const Duration Apart = One.second.m_At - Record.m_At;
        return Apart <= Window && -Apart <= Window;
      });
  return static_cast<std::size_t>(Near) >= Fleet.m_Settings.m_MassCrash;
}

bool isGuilty(const SuspectTable &Fleet, Fingerprint Print,
              const Suspect &Known) {
  std::size_t Evidence = 0;
  for (const CrashKey &Key : Known.m_Crashes) {
    const auto Found = Fleet.m_Crashes.find(Key);
    if (Found == Fleet.m_Crashes.end())
      continue;
    if (Found->second.m_Culprit == Print)
      return true;
    Evidence += isMassCrash(Fleet, Found->second) ? 0 : 1;
  }
  return Evidence >= MaxTargetsLost;
}

Duration quarantineTime(const SuspicionSettings &Options,
                        std::uint32_t Convictions) {
  constexpr std::uint32_t MaxDoublings = 16;
  const int Doublings = static_cast<int>(std::min(Convictions, MaxDoublings));
  return std::min(Options.m_MaxQuarantine,
                  Options.m_QuarantineFor * (1 << Doublings));
}

void judge(const SuspectTable &Fleet, Fingerprint Print, Suspect &Known,
           TimePoint LogNow) {
  const SuspicionSettings &Options = Fleet.m_Settings;
  const bool Guilty = isGuilty(Fleet, Print, Known);
  const bool Before = Known.m_Verdict == Verdict::Quarantined;
  if (Guilty == Before)
    return;
  if (Guilty) {
    Known.m_Verdict = Verdict::Quarantined;
    Known.m_Until = LogNow + quarantineTime(Options, Known.m_QuarantineCount);
    ++Known.m_QuarantineCount;
    endPermission(Known);
    return;
  }
  // More crashes at the same time have shown a common cause.
  Known.m_Verdict = Verdict::Suspect;
  Known.m_Until = LogNow + Options.m_SuspectFor;
  --Known.m_QuarantineCount;
}

/// More suspect: quarantined first, then by weight.
bool isMoreSuspect(const SuspectTable &Fleet, const Suspect &Left,
                   const Suspect &Right) {
  if (Left.m_Verdict != Right.m_Verdict)
    return Left.m_Verdict == Verdict::Quarantined;
  return weightOf(Fleet, Left) > weightOf(Fleet, Right);
}

void dropLeastSuspect(SuspectTable &Fleet) {
  while (Fleet.m_Suspects.size() > Fleet.m_Settings.m_MaxSuspects) {
    const auto Least = std::min_element(
        Fleet.m_Suspects.begin(), Fleet.m_Suspects.end(),
        [&](const auto &Left, const auto &Right) {
          return isMoreSuspect(Fleet, Right.second, Left.second);
        });
    Fleet.m_Suspects.erase(Least);
  }
}

void addSuspect(SuspectTable &Fleet, Fingerprint Print, const CrashKey &Key,
                TimePoint LogNow) {
  Suspect &Known = Fleet.m_Suspects[Print];
  Known.m_Crashes.insert(Key);
  Known.m_Until =
      std::max(Known.m_Until, LogNow + Fleet.m_Settings.m_SuspectFor);
}

CrashRecord &recordOf(SuspectTable &Fleet, const CrashKey &Key,
                      TimePoint LogNow) {
  const auto [Found, Added] = Fleet.m_Crashes.try_emplace(Key);
  if (Added) {
    Found->second.m_At = LogNow;
    Found->second.m_Culprit = permittedAt(Fleet, Key.first);
  }
  return Found->second;
}

/// A quarantine that is over leaves a suspect; a suspicion that is over
/// leaves nothing. \returns whether anything changed.
bool updateExpiredSuspects(SuspectTable &Fleet, TimePoint LogNow) {
  bool Changed = false;
  for (auto One = Fleet.m_Suspects.begin(); One != Fleet.m_Suspects.end();) {
    Suspect &Known = One->second;
    if (hasPermission(Known) && Known.m_RerunDeadline <= LogNow) {
      endPermission(Known);
      Changed = true;
    }
    if (Known.m_Until > LogNow) {
      ++One;
      continue;
    }
    Changed = true;
    if (Known.m_Verdict == Verdict::Suspect) {
      One = Fleet.m_Suspects.erase(One);
      continue;
    }
    Known.m_Verdict = Verdict::Suspect;
    Known.m_Crashes.clear();
    Known.m_Until = LogNow + Fleet.m_Settings.m_ProbationFor;
    ++One;
  }
  return Changed;
}

} // namespace

Fingerprint fingerprintOf(const ModelId &Model, std::string_view Prompt) {
  return hashBytes(Prompt, hashBytes(Model.m_Value));
}

double weightOf(const SuspectTable &Fleet, const Suspect &Known) {
  double Weight = 0;
  for (const CrashKey &Key : Known.m_Crashes) {
    const auto Found = Fleet.m_Crashes.find(Key);
    if (Found != Fleet.m_Crashes.end())
      Weight += 1 / static_cast<double>(Found->second.m_Running.size());
  }
  return Weight;
}

std::uint64_t applyCrash(SuspectTable &Fleet, const Crash &Report,
                         TimePoint LogNow) {
  expireSuspects(Fleet, LogNow);
  const CrashKey Key{Report.m_Target, Report.m_Incarnation};
  CrashRecord &Record = recordOf(Fleet, Key, LogNow);
  bool New = false;
  for (Fingerprint Print : Report.m_Running) {
    New = Record.m_Running.insert(Print).second || New;
    const bool Bystander = Record.m_Culprit && Record.m_Culprit != Print;
    if (!Bystander)
      addSuspect(Fleet, Print, Key, LogNow);
  }
  if (!New)
    return Fleet.m_Revision;
  ++Fleet.m_Revision;
  for (auto &[Print, Known] : Fleet.m_Suspects)
    judge(Fleet, Print, Known, LogNow);
  dropLeastSuspect(Fleet);
  return Fleet.m_Revision;
}

bool permitRerun(SuspectTable &Fleet, Fingerprint Print, const NodeId &Entry,
                 const TargetId &Target, TimePoint LogNow) {
  expireSuspects(Fleet, LogNow);
  const auto Found = Fleet.m_Suspects.find(Print);
  if (Found == Fleet.m_Suspects.end())
    return false;
  Suspect &Known = Found->second;
  if (Known.m_Verdict == Verdict::Quarantined || hasPermission(Known))
    return false;
  if (permittedAt(Fleet, Target))
    return false;
  Known.m_RerunEntry = Entry;
  Known.m_RerunTarget = Target;
  Known.m_RerunDeadline = LogNow + Fleet.m_Settings.m_RerunFor;
  Known.m_Until = std::max(Known.m_Until, Known.m_RerunDeadline);
  ++Fleet.m_Revision;
  return true;
}

void endRerun(SuspectTable &Fleet, Fingerprint Print, const NodeId &Entry,
              bool Completed, TimePoint LogNow) {
  expireSuspects(Fleet, LogNow);
  const auto Found = Fleet.m_Suspects.find(Print);
  if (Found == Fleet.m_Suspects.end() || Found->second.m_RerunEntry != Entry)
    return;
  ++Fleet.m_Revision;
  if (Completed)
    Fleet.m_Suspects.erase(Found);
  else
    endPermission(Found->second);
}

void expireSuspects(SuspectTable &Fleet, TimePoint LogNow) {
  if (updateExpiredSuspects(Fleet, LogNow))
    ++Fleet.m_Revision;
  std::erase_if(Fleet.m_Crashes, [&](const auto &One) {
    return One.second.m_At + Fleet.m_Settings.m_QuarantineFor <= LogNow;
  });
}

bool liftQuarantine(SuspectTable &Fleet, Fingerprint Print) {
  if (Fleet.m_Suspects.erase(Print) == 0)
    return false;
  ++Fleet.m_Revision;
  return true;
}

std::vector<SuspectNotice> suspectNotices(const SuspectTable &Fleet,
                                          const NodeId &Entry,
                                          TimePoint LogNow) {
  std::vector<std::pair<Fingerprint, const Suspect *>> Ordered;
  for (const auto &[Print, Known] : Fleet.m_Suspects) {
    if (Known.m_Until > LogNow)
      Ordered.emplace_back(Print, &Known);
  }
  std::stable_sort(Ordered.begin(), Ordered.end(),
                   [&](const auto &Left, const auto &Right) {
                     return isMoreSuspect(Fleet, *Left.second, *Right.second);
                   });
  std::vector<SuspectNotice> Notices;
  for (const auto &[Print, Known] : Ordered) {
    SuspectNotice Notice;
    Notice.m_Fingerprint = Print;
    Notice.m_Verdict = Known->m_Verdict;
    Notice.m_Remaining = Known->m_Until - LogNow;
    Notice.m_RerunPermitted =
        Known->m_RerunEntry == Entry && Known->m_RerunDeadline > LogNow;
    if (Notice.m_RerunPermitted) {
      Notice.m_RerunTarget = Known->m_RerunTarget;
      Notice.m_RerunRemaining = Known->m_RerunDeadline - LogNow;
    }
    Notices.push_back(std::move(Notice));
  }
  return Notices;
}

} // namespace wasabivale::retries
