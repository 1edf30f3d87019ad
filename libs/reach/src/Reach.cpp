#include "reach/reach.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace wasabivale::reach {

namespace {

/// A fleet of one target that is down looks like a partition.
constexpr std::size_t FewestTargets = 2;
/// Targets that may be silent by themselves while all others answer with an
/// error.
constexpr std::size_t SilentTargets = 2;

void enter(State &Entry, Phase Next, TimePoint Now) {
  Entry.m_Phase = Next;
  Entry.m_PhaseSince = Now;
  Entry.m_NextProbe = Now;
  Entry.m_IsProbingDue = false;
  Entry.m_Reached.clear();
  if (Next == Phase::Cut)
    return;
  Entry.m_Failed.clear();
  Entry.m_Rejected.clear();
  Entry.m_RoundRejected = false;
  Entry.m_ProbedAt.clear();
  if (Next != Phase::Direct)
    return;
  Entry.m_AsksTargets = false;
  Entry.m_Failures.clear();
  Entry.m_Unanswered.clear();
  Entry.m_NextSuspicion = Now + Entry.m_Settings.m_SuspicionInterval;
}

void expireFailures(State &Entry, TimePoint Now) {
  const auto IsOld = [&](const auto &Item) {
    return Now - Item.second.m_FailedAt > Entry.m_Settings.m_EvidenceDuration;
  };
  std::erase_if(Entry.m_Failures, IsOld);
  std::erase_if(Entry.m_Unanswered, IsOld);
}

void recordSilence(State::Failures &Known, const std::string &Address,
                   TimePoint SilentSince, TimePoint Now) {
  const auto [Found, IsFirst] =
      Known.try_emplace(Address, State::Failure{Now, SilentSince});
  if (!IsFirst)
    Found->second = {Now, std::min(Found->second.m_SilentSince, SilentSince)};
}

/// Since when at least two of \p Known have been silent: one may be silent by
/// itself.
std::optional<TimePoint> silentSince(const State::Failures &Known) {
  if (Known.size() < FewestTargets)
    return std::nullopt;
  std::vector<TimePoint> Since;
  for (const auto &[Address, Silent] : Known)
    Since.push_back(Silent.m_SilentSince);
  std::sort(Since.begin(), Since.end());
  return Since[FewestTargets - 1];
}

/// Since when requests stay unanswered while nothing arrives from any target,
/// if that is for long enough.
std::optional<TimePoint> unansweredSince(const State &Entry, TimePoint Now) {
  const auto Silent = silentSince(Entry.m_Unanswered);
  if (!Silent)
    return std::nullopt;
  const TimePoint Since = std::max(*Silent, Entry.m_ReceivedAt);
  if (Now - Since < Entry.m_Settings.m_SilenceToSuspect)
    return std::nullopt;
  return Since;
}

bool mayAskTargets(const State &Entry, TimePoint Now) {
  return Entry.m_AskableCount >= FewestTargets &&
         unansweredSince(Entry, Now).has_value();
}

bool isSuspicionDue(const State &Entry, TimePoint Now) {
  if (Entry.m_Phase != Phase::Direct || Entry.m_ServingCount < FewestTargets)
    return false;
  return Entry.m_IsProbingDue ||
         (Now >= Entry.m_NextSuspicion &&
          (mayAskTargets(Entry, Now) ||
           Entry.m_Failures.size() >= Entry.m_Settings.m_TargetsToSuspect));
}

/// From when on the silence that a suspicion found has lasted for long enough.
TimePoint silenceDecides(const State &Entry) {
  const TimePoint Since =
      silentSince(Entry.m_AsksTargets ? Entry.m_Unanswered : Entry.m_Failures)
          .value_or(Entry.m_PhaseSince);
  const TimePoint Reached =
      Entry.m_AsksTargets ? Entry.m_ReceivedAt
                          : std::max(Entry.m_ConnectedAt, Entry.m_ReceivedAt);
  const Settings &Options = Entry.m_Settings;
  // An answer may take this much longer than a connection.
  const Duration Answer = Entry.m_AsksTargets
                              ? Options.m_AnswerTimeout - Options.m_ProbeTimeout
                              : Duration(0);
  return std::max(Since, Reached) + Options.m_SilenceToCut + Answer;
}

std::size_t targetsToCut(const State &Entry) {
  return std::min(Entry.m_Settings.m_TargetsToCut, Entry.m_ServingCount);
}

/// Decides what follows a round whose probes have all failed. \returns whether
/// a cut has begun.
bool finishRound(State &Entry, TimePoint Now) {
  const std::size_t Needed = targetsToCut(Entry);
  const TimePoint SilenceDecides = silenceDecides(Entry);
  const std::size_t Silent = Entry.m_Failed.size() - Entry.m_Rejected.size();
  const bool IsRejected =
      Entry.m_Rejected.size() >= Needed && Silent <= SilentTargets;
  const bool IsSilent = !Entry.m_RoundRejected &&
                        Entry.m_Failed.size() >= Needed &&
                        Entry.m_RoundStart >= SilenceDecides;
  if (IsRejected || IsSilent) {
    enter(Entry, Phase::Cut, Now);
    return true;
  }
  const bool MoreMayReject = Entry.m_RoundRejected && Silent <= SilentTargets &&
                             Entry.m_Failed.size() < Entry.m_ServingCount;
  Entry.m_NextProbe = MoreMayReject ? Now : std::max(Now, SilenceDecides);
  return false;
}

/// Records that a target was reached while cut. \returns whether the cut ends.
bool recordReached(State &Entry, const std::string &Address, TimePoint Now) {
  std::erase_if(Entry.m_Reached, [&](const auto &Item) {
    return Now - Item.second > Entry.m_Settings.m_ReturnWindow;
  });
  Entry.m_Reached[Address] = Now;
  const std::size_t Known = std::max<std::size_t>(1, Entry.m_ServingCount);
  if (Entry.m_Reached.size() <
      std::min(Entry.m_Settings.m_TargetsToReturn, Known))
    return false;
  enter(Entry, Phase::Direct, Now);
  return true;
}

/// Chooses targets that say the most: probed the longest ago, of different
/// services, without a failure of late, and in different zones. Among equals
/// the order changes with each round: neighbours may share a rack.
std::vector<std::string> chooseProbes(const State &Entry,
                                      const std::vector<Candidate> &Serving,
                                      std::size_t Count) {
  std::vector<std::string> Chosen;
  std::map<std::string, std::size_t> ByService;
  std::map<ZoneId, std::size_t> ByZone;
  while (Chosen.size() < Count) {
    const auto Rank = [&](const Candidate &Target) {
      const auto Probed = Entry.m_ProbedAt.find(Target.m_Address);
      return std::tuple(
          Probed == Entry.m_ProbedAt.end() ? TimePoint::min() : Probed->second,
          ByService[Target.m_Service], Entry.m_Failures.count(Target.m_Address),
          ByZone[Target.m_Zone], hashBytes(Target.m_Address, Entry.m_Rounds));
    };
    const Candidate *Best = nullptr;
    for (const Candidate &Target : Serving) {
      const bool IsTaken = std::find(Chosen.begin(), Chosen.end(),
                                     Target.m_Address) != Chosen.end() ||
                           Entry.m_Probing.contains(Target.m_Address);
      if (!IsTaken && (Best == nullptr || Rank(Target) < Rank(*Best)))
        Best = &Target;
    }
    if (Best == nullptr)
      break;
    ++ByService[Best->m_Service];
    ++ByZone[Best->m_Zone];
    Chosen.push_back(Best->m_Address);
  }
  return Chosen;
}

/// Probes to start now.
std::size_t countDueProbes(State &Entry, TimePoint Now) {
  if (isSuspicionDue(Entry, Now))
    enter(Entry, Phase::Suspected, Now);
  if (Entry.m_Phase == Phase::Direct || Now < Entry.m_NextProbe)
    return 0;
  if (Entry.m_Phase == Phase::Cut) {
    Entry.m_NextProbe = Now + Entry.m_Settings.m_ProbeInterval;
    return 1;
  }
  if (isProbing(Entry))
    return 0;
  Entry.m_NextProbe = Now + probeTimeout(Entry);
  Entry.m_RoundStart = Now;
  Entry.m_RoundRejected = false;
  return Entry.m_Settings.m_ProbesPerRound;
}

std::size_t countServing(const std::vector<Candidate> &Serving) {
  std::set<std::string_view> Addresses;
  for (const Candidate &Target : Serving)
    Addresses.insert(Target.m_Address);
  return Addresses.size();
}

std::vector<Candidate> withHealthCheck(const std::vector<Candidate> &Serving) {
  std::vector<Candidate> Askable;
  std::copy_if(
      Serving.begin(), Serving.end(), std::back_inserter(Askable),
      [](const Candidate &Target) { return !Target.m_HealthPath.empty(); });
  return Askable;
}

} // namespace

std::string_view phaseName(Phase Value) {
  switch (Value) {
  case Phase::Direct:
    return "direct";
  case Phase::Suspected:
    return "suspected";
  case Phase::Cut:
    return "cut";
  }
  return "";
}

bool recordConnected(State &Entry, const std::string &Address, TimePoint Now) {
  Entry.m_ConnectedAt = Now;
  Entry.m_Failures.clear();
  if (Entry.m_AsksTargets)
    return false;
  if (Entry.m_Phase == Phase::Suspected) {
    const bool ProvesNothing = mayAskTargets(Entry, Now);
    enter(Entry, ProvesNothing ? Phase::Suspected : Phase::Direct, Now);
    Entry.m_AsksTargets = ProvesNothing;
  }
  return Entry.m_Phase == Phase::Cut && recordReached(Entry, Address, Now);
}

void recordReceived(State &Entry, TimePoint Now) {
  Entry.m_ReceivedAt = Now;
  const bool WaitsForSilence = Entry.m_Phase == Phase::Suspected &&
                               !isProbing(Entry) && Now < Entry.m_NextProbe;
  if (WaitsForSilence ||
      (Entry.m_Phase == Phase::Suspected && Entry.m_AsksTargets))
    enter(Entry, Phase::Direct, Now);
}

void recordFailure(State &Entry, const std::string &Address,
                   TimePoint SilentSince, TimePoint Now) {
  if (Entry.m_Phase == Phase::Cut)
    return;
  expireFailures(Entry, Now);
  recordSilence(Entry.m_Failures, Address, SilentSince, Now);
  recordSilence(Entry.m_Unanswered, Address, SilentSince, Now);
  // A request that was sent earlier may give up later.
  if (Entry.m_Phase == Phase::Suspected && !isProbing(Entry) &&
      Now < Entry.m_NextProbe)
    Entry.m_NextProbe = std::max(Now, silenceDecides(Entry));
}

bool recordUnanswered(State &Entry, const std::string &Address,
                      TimePoint SilentSince, TimePoint Now) {
  if (Entry.m_Phase == Phase::Cut ||
      Now - std::max(SilentSince, Entry.m_ReceivedAt) <
          Entry.m_Settings.m_SilenceToRecord)
    return false;
  expireFailures(Entry, Now);
  recordSilence(Entry.m_Unanswered, Address, SilentSince, Now);
  return Entry.m_Phase == Phase::Direct && Now >= Entry.m_NextSuspicion &&
         unansweredSince(Entry, Now).has_value();
}

void requestProbes(State &Entry) {
  Entry.m_IsProbingDue = Entry.m_Phase == Phase::Direct;
}

Duration probeTimeout(const State &Entry) {
  return Entry.m_AsksTargets ? Entry.m_Settings.m_AnswerTimeout
                             : Entry.m_Settings.m_ProbeTimeout;
}

std::vector<std::string>
takeProbes(State &Entry, const std::vector<Candidate> &Fleet, TimePoint Now) {
  expireFailures(Entry, Now);
  const std::vector<Candidate> Askable = withHealthCheck(Fleet);
  Entry.m_AskableCount = countServing(Askable);
  if (Entry.m_Phase == Phase::Direct)
    Entry.m_AsksTargets = mayAskTargets(Entry, Now) &&
                          Entry.m_ConnectedAt > *unansweredSince(Entry, Now);
  const std::vector<Candidate> &Serving = Entry.m_AsksTargets ? Askable : Fleet;
  Entry.m_ServingCount = countServing(Serving);
  // What is left of the fleet can't tell a partition from its own end.
  if (Entry.m_Phase == Phase::Suspected && Entry.m_ServingCount < FewestTargets)
    enter(Entry, Phase::Direct, Now);
  if (Entry.m_Phase == Phase::Cut && Serving.empty())
    enter(Entry, Phase::Direct, Now);
  if (Entry.m_ServingCount < FewestTargets)
    Entry.m_IsProbingDue = false;
  const std::size_t Count = countDueProbes(Entry, Now);
  Entry.m_Rounds += Count > 0 ? 1 : 0;
  std::vector<std::string> Chosen = chooseProbes(Entry, Serving, Count);
  for (const std::string &Address : Chosen) {
    Entry.m_Probing[Address] = Now;
    Entry.m_ProbedAt[Address] = Now;
  }
  std::erase_if(Entry.m_ProbedAt, [&](const auto &Item) {
    return std::none_of(
        Serving.begin(), Serving.end(),
        [&](const Candidate &Known) { return Known.m_Address == Item.first; });
  });
  return Chosen;
}

std::optional<TimePoint> nextProbesAt(const State &Entry) {
  if (Entry.m_Phase == Phase::Cut)
    return Entry.m_NextProbe;
  if (Entry.m_Phase == Phase::Suspected && !isProbing(Entry))
    return Entry.m_NextProbe;
  return std::nullopt;
}

bool isProbing(const State &Entry) {
  const auto IsOfPhase = [&](const auto &Item) {
    return Item.second >= Entry.m_PhaseSince;
  };
  return Entry.m_IsProbingDue ||
         (Entry.m_Phase == Phase::Suspected &&
          std::any_of(Entry.m_Probing.begin(), Entry.m_Probing.end(),
                      IsOfPhase));
}

bool recordProbe(State &Entry, const std::string &Address, ProbeResult Result,
                 TimePoint Now) {
  const auto Open = Entry.m_Probing.extract(Address);
  if (Result == ProbeResult::Connected)
    return recordConnected(Entry, Address, Now);
  if (Result == ProbeResult::Answered) {
    recordReceived(Entry, Now);
    return Entry.m_Phase == Phase::Cut && recordReached(Entry, Address, Now);
  }
  const bool IsOfPhase = !Open.empty() && Open.mapped() >= Entry.m_PhaseSince;
  if (Entry.m_Phase != Phase::Suspected || !IsOfPhase)
    return false;
  Entry.m_Failed.insert(Address);
  if (Result == ProbeResult::Rejected) {
    Entry.m_Rejected.insert(Address);
    Entry.m_RoundRejected = true;
  }
  return !isProbing(Entry) && finishRound(Entry, Now);
}

} // namespace wasabivale::reach
