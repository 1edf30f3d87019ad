#include "Schedule.h"
#include "LateCallers.h"
#include "WaveCallers.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::soak;

namespace {

bool hasFault(const std::vector<Step> &Steps, Fault Kind) {
  return std::any_of(Steps.begin(), Steps.end(), [Kind](const Step &Planned) {
    return Planned.m_Fault == Kind;
  });
}

} // namespace

SCENARIO("the faults of a run follow from its seed") {
  Shape Size;
  Size.m_Length = std::chrono::minutes(5);
  const std::vector<Step> Steps = makeSchedule(7, Size);
  THEN("the same seed gives the same faults, another seed others") {
    const std::vector<Step> Again = makeSchedule(7, Size);
    const auto IsSame = [](const Step &Left, const Step &Right) {
      return Left.m_Offset == Right.m_Offset &&
             Left.m_Length == Right.m_Length && Left.m_Fault == Right.m_Fault &&
             Left.m_Machine == Right.m_Machine &&
             Left.m_Variant == Right.m_Variant;
    };
    CHECK(std::equal(Steps.begin(), Steps.end(), Again.begin(), Again.end(),
                     IsSame));
    const std::vector<Step> Others = makeSchedule(8, Size);
    CHECK_FALSE(std::equal(Steps.begin(), Steps.end(), Others.begin(),
                           Others.end(), IsSame));
  }
  THEN("they are in order, within the run, and hit existing machines") {
    CHECK(std::is_sorted(Steps.begin(), Steps.end(),
                         [](const Step &Left, const Step &Right) {
                           return Left.m_Offset < Right.m_Offset;
                         }));
    for (const Step &Planned : Steps) {
      CHECK(Planned.m_Offset < Size.m_Length);
      CHECK(Planned.m_Machine < Size.m_Targets);
      CHECK(Planned.m_Peer < Size.m_Targets);
    }
  }
  THEN("no two control members are disturbed at a time") {
    std::chrono::milliseconds FreeAt{0};
    for (const Step &Planned : Steps) {
      if (Planned.m_Fault != Fault::StopControl &&
          Planned.m_Fault != Fault::KillControl &&
          Planned.m_Fault != Fault::PauseControl)
        continue;
      CHECK(Planned.m_Offset >= FreeAt);
      FreeAt = Planned.m_Offset + Planned.m_Length;
    }
  }
  THEN("two builds add faults, and leave those of a seed without them as they "
       "were") {
    Size.m_HasTwoBuilds = true;
    CHECK(hasFault(makeSchedule(7, Size), Fault::StopControl));
    Size.m_HasTwoBuilds = false;
    const std::vector<Step> Again = makeSchedule(7, Size);
    CHECK(Again.size() == Steps.size());
  }
  THEN("cuts and upgrades occur only when they are asked for") {
    CHECK(hasFault(Steps, Fault::StopEntry));
    CHECK_FALSE(hasFault(Steps, Fault::CutHalf));
    CHECK_FALSE(hasFault(Steps, Fault::UpgradeTarget));
    CHECK_FALSE(hasFault(Steps, Fault::StopAgain));
    Size.m_Cuts = Size.m_Upgrades = true;
    const std::vector<Step> All = makeSchedule(7, Size);
    CHECK(hasFault(All, Fault::CutHalf));
    CHECK(hasFault(All, Fault::UpgradeTarget));
  }
  THEN("a release upgrades targets while an entry is paused") {
    Size.m_Upgrades = true;
    const std::vector<Step> Plain = makeSchedule(7, Size);
    Size.m_Releases = true;
    const std::vector<Step> All = makeSchedule(7, Size);
    CHECK(All.size() > Plain.size());
    CHECK(std::is_sorted(All.begin(), All.end(),
                         [](const Step &Left, const Step &Right) {
                           return Left.m_Offset < Right.m_Offset;
                         }));
    int UpgradedWhilePaused = 0;
    for (const Step &Pause : All)
      for (const Step &Upgrade : All)
        UpgradedWhilePaused +=
            Pause.m_Fault == Fault::PauseEntry &&
                    Upgrade.m_Fault == Fault::UpgradeTarget &&
                    Upgrade.m_Offset >= Pause.m_Offset &&
                    Upgrade.m_Offset < Pause.m_Offset + Pause.m_Length
                ? 1
                : 0;
    CHECK(UpgradedWhilePaused > 100);
    for (const Step &Planned : All)
      CHECK(Planned.m_Offset < Size.m_Length);
  }
  THEN("a run of stops has only stops, reloads and changes, and the stops "
       "overlap") {
    Size.m_Stops = true;
    const std::vector<Step> All = makeSchedule(7, Size);
    constexpr std::chrono::milliseconds LeastStop{2'800};
    int Overlapping = 0;
    const Step *Former = nullptr;
    for (const Step &Planned : All) {
      CHECK(Planned.m_Offset < Size.m_Length);
      CHECK((Planned.m_Fault == Fault::StopEntry ||
             Planned.m_Fault == Fault::StopAgain ||
             Planned.m_Fault == Fault::ReloadEntry ||
             Planned.m_Fault == Fault::ChangeRoutes));
      if (Planned.m_Fault != Fault::StopEntry)
        continue;
      Overlapping += Former != nullptr &&
                             Former->m_Machine != Planned.m_Machine &&
                             Planned.m_Offset < Former->m_Offset + LeastStop
                         ? 1
                         : 0;
      Former = &Planned;
    }
    constexpr int StopsInRun = 300;
    CHECK(Overlapping > StopsInRun);
    CHECK(hasFault(All, Fault::StopAgain));
  }
}

SCENARIO("late stops are pressed late, and beside reloads and changes") {
  constexpr std::chrono::milliseconds LateFrom{2'500};
  Shape Size;
  Size.m_Length = std::chrono::minutes(5);
  Size.m_Stops = Size.m_Late = true;
  const std::vector<Step> Steps = makeSchedule(7, Size);
  THEN("an entry's first reload comes late after its first SIGTERM") {
    for (unsigned Entry = 0; Entry < Size.m_Entries; ++Entry) {
      const auto First = [&](Fault Kind) {
        return std::find_if(Steps.begin(), Steps.end(),
                            [&](const Step &Planned) {
                              return Planned.m_Fault == Kind &&
                                     Planned.m_Machine == Entry;
                            })
            ->m_Offset;
      };
      CHECK(First(Fault::ReloadEntry) >= First(Fault::StopEntry) + LateFrom);
      CHECK(First(Fault::StopAgain) >= First(Fault::StopEntry) + LateFrom);
    }
  }
  THEN("its late callers press it from 4.2 s after the SIGTERM on at the "
       "latest, until its next process has run for a while") {
    constexpr std::chrono::milliseconds Closest{16};
    constexpr std::chrono::milliseconds PressedAt{4'200};
    constexpr std::chrono::milliseconds PressedUntil{7'700};
    constexpr std::chrono::milliseconds CalmAt{8'700};
    for (std::uint64_t Seed = 0; Seed < 50; ++Seed) {
      LatePace Pace(Seed);
      const TimePoint Stop{std::chrono::hours(1)};
      CHECK(Pace.next(Stop, true) > Stop + Closest);
      Pace.stopAsked(Stop);
      const auto Gap = [&](std::chrono::milliseconds After, bool IsOpen) {
        return Pace.next(Stop + After, IsOpen) - Stop - After;
      };
      CHECK(Gap(std::chrono::seconds(1), true) > Closest);
      CHECK(Gap(std::chrono::seconds(3), false) <= Closest);
      CHECK(Gap(PressedAt, true) <= Closest);
      CHECK(Gap(PressedUntil, true) <= Closest);
      CHECK(Gap(CalmAt, false) > Closest);
    }
  }
}

SCENARIO("waves stop all entries in turn, again and again") {
  using std::chrono::milliseconds;
  constexpr unsigned Entries = 12;
  constexpr milliseconds Grace{8'000};
  Shape Size;
  Size.m_Length = std::chrono::minutes(5);
  Size.m_Entries = Entries;
  Size.m_Stops = Size.m_Waves = true;
  const std::vector<Step> Steps = makeSchedule(7, Size);
  std::vector<Step> Stops;
  std::copy_if(
      Steps.begin(), Steps.end(), std::back_inserter(Stops),
      [](const Step &Planned) { return Planned.m_Fault == Fault::StopEntry; });
  constexpr std::size_t LeastWaves = 30;
  REQUIRE(Stops.size() > LeastWaves * Entries);
  THEN("an entry's neighbour is stopped 0.25 s after it") {
    for (unsigned I = 0; I + Entries <= Stops.size(); I += Entries)
      for (unsigned J = 1; J < Entries; ++J) {
        CHECK(Stops[I + J].m_Offset - Stops[I + J - 1].m_Offset ==
              milliseconds(250));
        CHECK(Stops[I + J].m_Machine ==
              (Stops[I + J - 1].m_Machine + 1) % Entries);
      }
  }
  THEN("a wave begins after the stop of its first entry, and before the end of "
       "the last one's") {
    // A later wave would meet no entry that still stops or starts.
    for (unsigned I = Entries; I < Stops.size(); I += Entries) {
      CHECK(Stops[I].m_Machine == Stops[I - Entries].m_Machine);
      CHECK(Stops[I].m_Offset >= Stops[I - Entries].m_Offset + Grace);
      CHECK(Stops[I].m_Offset < Stops[I - 1].m_Offset + Grace);
    }
  }
  THEN("some stops get a second SIGTERM or a SIGHUP, and nothing else is "
       "disturbed") {
    std::size_t Again = 0;
    std::size_t Reloads = 0;
    for (const Step &Planned : Steps) {
      CHECK(Planned.m_Offset < Size.m_Length);
      Again += Planned.m_Fault == Fault::StopAgain ? 1 : 0;
      Reloads += Planned.m_Fault == Fault::ReloadEntry ? 1 : 0;
    }
    CHECK(Steps.size() == Stops.size() + Again + Reloads);
    for (const std::size_t Count : {Again, Reloads}) {
      CHECK(Count > Stops.size() / 5);
      CHECK(Count < Stops.size() / 2);
    }
  }
  THEN("the gap can be chosen, and the seed decides the rest") {
    Size.m_WaveGap = milliseconds(100);
    const std::vector<Step> Closer = makeSchedule(7, Size);
    const std::vector<Step> Again = makeSchedule(7, Size);
    const std::vector<Step> Other = makeSchedule(8, Size);
    const auto IsSame = [](const Step &Left, const Step &Right) {
      return Left.m_Offset == Right.m_Offset &&
             Left.m_Length == Right.m_Length && Left.m_Fault == Right.m_Fault &&
             Left.m_Machine == Right.m_Machine &&
             Left.m_Variant == Right.m_Variant;
    };
    CHECK(std::equal(Closer.begin(), Closer.end(), Again.begin(), Again.end(),
                     IsSame));
    CHECK_FALSE(std::equal(Closer.begin(), Closer.end(), Other.begin(),
                           Other.end(), IsSame));
    CHECK_FALSE(std::equal(Closer.begin(), Closer.end(), Steps.begin(),
                           Steps.end(), IsSame));
  }
}

SCENARIO("a wave caller uses its idle connection once in a stop") {
  using std::chrono::milliseconds;
  const TimePoint Stop{std::chrono::hours(1)};
  constexpr milliseconds Step{10};
  for (std::uint64_t Seed = 0; Seed < 50; ++Seed) {
    const auto FirstDue = [&](WavePace &Pace, TimePoint Start,
                              milliseconds For) {
      TimePoint Now = Start;
      while (Now < Start + For && !Pace.isDue(Now))
        Now += Step;
      return Now - Start;
    };
    constexpr milliseconds Long{20'000};
    WavePace Pace(Seed);
    Pace.ended(Stop);
    // Without a stop, calls keep the connection.
    CHECK(FirstDue(Pace, Stop, Long) <= milliseconds(900));
    Pace.stopAsked(Stop, true);
    const Duration After = FirstDue(Pace, Stop, Long);
    CHECK(After >= milliseconds(2'800));
    CHECK(After <= milliseconds(7'000) + Step);
    // A second call would be one on a new connection.
    Pace.used();
    Pace.ended(Stop + After);
    CHECK(FirstDue(Pace, Stop, Long) >= Long);
    Pace.started(Stop + Long);
    CHECK(FirstDue(Pace, Stop + Long, Long) <= milliseconds(900));
    // A connection that was in use at the SIGTERM is not an old one later.
    Pace.stopAsked(Stop + Long, false);
    CHECK(FirstDue(Pace, Stop + Long, Long) >= Long);
    // A call that is still due when the next process starts is dropped.
    Pace.stopAsked(Stop + Long, true);
    Pace.started(Stop + Long + Step);
    CHECK_FALSE(Pace.isStopping());
  }
}

SCENARIO("each start of a process draws one of two builds") {
  constexpr unsigned Starts = 400;
  unsigned Others = 0;
  unsigned OtherSettings = 0;
  for (unsigned I = 0; I < Starts; ++I) {
    const Launch Drawn = drawLaunch(7, "entry-0", I, 50);
    Others += Drawn.m_IsOtherBuild ? 1 : 0;
    OtherSettings += Drawn.m_HasOtherSettings ? 1 : 0;
  }
  THEN("about half are of the other build, a quarter has other settings") {
    CHECK(Others > Starts * 2 / 5);
    CHECK(Others < Starts * 3 / 5);
    CHECK(OtherSettings > Starts / 6);
    CHECK(OtherSettings < Starts / 3);
  }
  THEN("the same seed, process and start draw the same") {
    for (unsigned I = 0; I < Starts; ++I)
      CHECK(drawLaunch(7, "entry-0", I, 50).m_IsOtherBuild ==
            drawLaunch(7, "entry-0", I, 50).m_IsOtherBuild);
  }
  THEN("processes draw independently") {
    unsigned Differences = 0;
    for (unsigned I = 0; I < Starts; ++I)
      Differences += drawLaunch(7, "entry-0", I, 50).m_IsOtherBuild !=
                             drawLaunch(7, "entry-1", I, 50).m_IsOtherBuild
                         ? 1
                         : 0;
    CHECK(Differences > Starts / 3);
  }
  THEN("a share of 0 and of 100 draws one build only") {
    for (unsigned I = 0; I < Starts; ++I) {
      CHECK_FALSE(drawLaunch(7, "entry-0", I, 0).m_IsOtherBuild);
      CHECK(drawLaunch(7, "entry-0", I, 100).m_IsOtherBuild);
    }
  }
}
