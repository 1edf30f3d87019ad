#include "Schedule.h"

#include <algorithm>

namespace wasabivale::soak {

using std::chrono::milliseconds;

namespace {

/// A control member starts and catches up within this time.
constexpr milliseconds ControlRecovery{7'000};
constexpr unsigned LongestSeries = 4;
/// One start in this many has the settings of the build that it is not.
constexpr std::uint64_t StartsToOtherSettings = 4;

struct Span {
  unsigned m_Least;
  unsigned m_Most;
};

/// Shortest and longest time of each kind of fault, in milliseconds.
Span spanOf(Fault Kind) {
  switch (Kind) {
  case Fault::PauseEntry:
    return {200, 4'000};
  case Fault::PauseControl:
    return {200, 2'500};
  case Fault::DelayLinks:
    return {500, 4'000};
  case Fault::SilenceTarget:
    return {1'000, 1'000};
  case Fault::CutEntry:
  case Fault::CutHalf:
    return {1'000, 9'000};
  default:
    return {100, 2'000};
  }
}

unsigned pick(std::mt19937_64 &Random, unsigned Count) {
  return static_cast<unsigned>(Random() % Count);
}

milliseconds pickTime(std::mt19937_64 &Random, Span Limits) {
  return milliseconds(Limits.m_Least +
                      pick(Random, Limits.m_Most - Limits.m_Least + 1));
}

bool isOfControl(Fault Kind) {
  return Kind == Fault::StopControl || Kind == Fault::KillControl ||
         Kind == Fault::PauseControl;
}

bool isOfTarget(Fault Kind) {
  return Kind == Fault::SilenceTarget || Kind == Fault::CrashTarget ||
         Kind == Fault::LeaveTarget || Kind == Fault::UpgradeTarget;
}

/// Kinds by how often they are drawn.
std::vector<Fault> kinds(const Shape &Size) {
  std::vector<Fault> Kinds{
      Fault::StopEntry,    Fault::StopEntry,     Fault::StopEntry,
      Fault::StopEntry,    Fault::KillEntry,     Fault::PauseEntry,
      Fault::ReloadEntry,  Fault::ReloadEntry,   Fault::DelayLinks,
      Fault::ResetLinks,   Fault::SilenceTarget, Fault::CrashTarget,
      Fault::LeaveTarget,  Fault::LeaveTarget,   Fault::StopControl,
      Fault::KillControl,  Fault::PauseControl,  Fault::ChangeRoutes,
      Fault::ChangeRoutes, Fault::ChangeRoutes};
  if (Size.m_Cuts)
    Kinds.insert(Kinds.end(),
                 {Fault::CutEntry, Fault::CutHalf, Fault::CutHalf});
  if (Size.m_Upgrades)
    Kinds.insert(Kinds.end(), {Fault::UpgradeTarget, Fault::UpgradeTarget});
  if (Size.m_HasTwoBuilds)
    Kinds.insert(Kinds.end(), {Fault::StopEntry, Fault::StopControl,
                               Fault::StopControl, Fault::KillControl});
  return Kinds;
}

/// Adds the steps of a release: an entry stands still while targets restart
/// with another software version, and what has begun there breaks when it goes
/// on.
void addRelease(std::vector<Step> &Steps, std::mt19937_64 &Random,
                milliseconds Start, const Shape &Size) {
  constexpr unsigned LeastUpgraded = 2;
  constexpr Span Pause{300, 1'000};
  constexpr Span Downtime{50, 150};
  constexpr Span CrashBefore{0, 100};
  const auto Add = [&](milliseconds Offset, Fault Kind, unsigned Machine,
                       milliseconds Length) {
    Step Next;
    Next.m_Offset = Offset;
    Next.m_Length = Length;
    Next.m_Fault = Kind;
    Next.m_Machine = Machine;
    Next.m_Variant = 1; // A target restarts under another id.
    if (Offset < Size.m_Length)
      Steps.push_back(Next);
  };
  const milliseconds Length = pickTime(Random, Pause);
  Add(Start, Fault::PauseEntry, pick(Random, Size.m_Entries), Length);
  const unsigned Upgraded =
      LeastUpgraded + pick(Random, std::max(1U, Size.m_Targets / 2));
  const unsigned First = pick(Random, Size.m_Targets);
  for (unsigned I = 0; I < Upgraded; ++I) {
    const unsigned Target = (First + I) % Size.m_Targets;
    Add(Start, Fault::UpgradeTarget, Target, pickTime(Random, Downtime));
    Add(Start + Length - pickTime(Random, CrashBefore), Fault::CrashTarget,
        Target, pickTime(Random, Downtime));
  }
}

/// Adds stops of one entry after the other. They overlap: an entry is asked to
/// stop while others still answer or have just started again.
void addStops(std::vector<Step> &Steps, std::mt19937_64 &Random,
              const Shape &Size) {
  constexpr Span Between{250, 1'250};
  constexpr Span Downtime{50, 600};
  const Span InStop = Size.m_Late ? Span{2'500, 7'000} : Span{0, 4'000};
  const auto Add = [&](milliseconds Offset, Fault Kind, unsigned Machine,
                       milliseconds Length) {
    Step Next;
    Next.m_Offset = Offset;
    Next.m_Length = Length;
    Next.m_Fault = Kind;
    Next.m_Machine = Machine;
    Next.m_Variant = pick(Random, 1U << 16U);
    if (Offset < Size.m_Length)
      Steps.push_back(Next);
  };
  unsigned Entry = pick(Random, Size.m_Entries);
  for (milliseconds Now{0}; Now < Size.m_Length;
       Now += pickTime(Random, Between)) {
    Add(Now, Fault::StopEntry, Entry, pickTime(Random, Downtime));
    Add(Now + pickTime(Random, InStop), Fault::StopAgain, Entry, {});
    Add(Now + pickTime(Random, InStop), Fault::ReloadEntry, Entry, {});
    Add(Now + pickTime(Random, InStop), Fault::ChangeRoutes, 0, {});
    Entry = (Entry + 1) % Size.m_Entries;
  }
}

/// Adds waves: all entries are stopped in turn. Some get a second SIGTERM or a
/// SIGHUP in their stop.
void addWaves(std::vector<Step> &Steps, std::mt19937_64 &Random,
              const Shape &Size) {
  // The first entry of a wave has just started again then; an entry at work
  // ends within 7 s of its SIGTERM.
  constexpr Span Period{8'000, 9'000};
  constexpr Span Downtime{50, 600};
  constexpr Span InStop{500, 7'000};
  constexpr unsigned StopsToSignal = 3;
  const auto Add = [&](milliseconds Offset, Fault Kind, unsigned Machine,
                       milliseconds Length) {
    Step Next;
    Next.m_Offset = Offset;
    Next.m_Length = Length;
    Next.m_Fault = Kind;
    Next.m_Machine = Machine;
    Next.m_Variant = pick(Random, 1U << 16U);
    if (Offset < Size.m_Length)
      Steps.push_back(Next);
  };
  const unsigned First = pick(Random, Size.m_Entries);
  for (milliseconds Wave{0}; Wave < Size.m_Length;
       Wave +=
       std::max(pickTime(Random, Period), Size.m_WaveGap * Size.m_Entries))
    for (unsigned I = 0; I < Size.m_Entries; ++I) {
      const unsigned Entry = (First + I) % Size.m_Entries;
      const milliseconds Stop = Wave + Size.m_WaveGap * I;
      Add(Stop, Fault::StopEntry, Entry, pickTime(Random, Downtime));
      for (const Fault Signal : {Fault::StopAgain, Fault::ReloadEntry}) {
        const milliseconds At = Stop + pickTime(Random, InStop);
        if (pick(Random, StopsToSignal) == 0)
          Add(At, Signal, Entry, {});
      }
    }
}

} // namespace

const char *faultName(Fault Kind) {
  constexpr const char *Names[] = {
      "stop-entry",    "kill-entry",   "pause-entry",    "reload-entry",
      "delay-links",   "reset-links",  "silence-target", "crash-target",
      "leave-target",  "stop-control", "kill-control",   "pause-control",
      "change-routes", "cut-entry",    "cut-half",       "upgrade-target",
      "stop-again"};
  return Names[static_cast<std::size_t>(Kind)];
}

std::vector<Step> makeSchedule(std::uint64_t Seed, const Shape &Size) {
  std::mt19937_64 Random(Seed);
  const std::vector<Fault> Kinds = kinds(Size);
  std::vector<Step> Steps;
  if (Size.m_Waves)
    addWaves(Steps, Random, Size);
  else if (Size.m_Stops)
    addStops(Steps, Random, Size);
  milliseconds ControlFreeAt{0};
  for (milliseconds Now{0}; Now < Size.m_Length && !Size.m_Stops;) {
    const Fault Kind = Kinds[pick(Random, static_cast<unsigned>(Kinds.size()))];
    const unsigned Series = 1 + pick(Random, LongestSeries);
    milliseconds Offset = Now;
    for (unsigned I = 0; I < Series && Offset < Size.m_Length; ++I) {
      const unsigned Machines = isOfControl(Kind)  ? Size.m_Control
                                : isOfTarget(Kind) ? Size.m_Targets
                                                   : Size.m_Entries;
      Step Next;
      Next.m_Offset = Offset;
      Next.m_Length = pickTime(Random, spanOf(Kind));
      Next.m_Fault = Kind;
      Next.m_Machine = pick(Random, Machines);
      Next.m_Peer = pick(Random, Size.m_Targets);
      Next.m_Variant = pick(Random, 1U << 16U);
      Offset += pickTime(Random, {20, 900});
      if (isOfControl(Kind)) {
        if (Next.m_Offset < ControlFreeAt)
          continue;
        ControlFreeAt = Next.m_Offset + Next.m_Length + ControlRecovery;
      }
      Steps.push_back(Next);
    }
    // Series overlap: the next may begin before this one has ended.
    Now += pickTime(Random, {100, 1'800});
  }
  if (Size.m_Releases) {
    // Draws of their own leave the other faults of the seed as they are.
    constexpr std::uint64_t Stream = 1;
    std::mt19937_64 Own(Seed * 2 + Stream);
    constexpr Span Between{1'500, 4'000};
    for (milliseconds Now = pickTime(Own, Between); Now < Size.m_Length;
         Now += pickTime(Own, Between))
      addRelease(Steps, Own, Now, Size);
  }
  std::stable_sort(Steps.begin(), Steps.end(),
                   [](const Step &Left, const Step &Right) {
                     return Left.m_Offset < Right.m_Offset;
                   });
  return Steps;
}

Launch drawLaunch(std::uint64_t Seed, std::string_view Process, unsigned Number,
                  unsigned OtherShare) {
  constexpr std::uint64_t Percent = 100;
  std::mt19937_64 Random(hashBytes(Process, Seed) + Number);
  Launch Drawn;
  Drawn.m_IsOtherBuild = Random() % Percent < OtherShare;
  Drawn.m_HasOtherSettings = Random() % StartsToOtherSettings == 0;
  return Drawn;
}

} // namespace wasabivale::soak
