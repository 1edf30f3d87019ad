#include "retries/retries.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>

using namespace wasabivale;
using namespace wasabivale::retries;
using namespace std::chrono_literals;

namespace {

/// Number of seeds to play; the variable sets another one for runs by hand.
std::uint64_t seeds(std::uint64_t Default) {
  const char *Asked = std::getenv("WASABIVALE_CRASH_SEEDS");
  return Asked == nullptr ? Default : std::strtoull(Asked, nullptr, 10);
}

/// contact_ms of the users' rules.
constexpr Duration ContactTime = 3s;
/// Retries that the rules allow later than `ContactTime` after the third crash.
constexpr int MaxLateRetries = 3;

struct Play {
  std::size_t m_Targets = 18;
  std::size_t m_StreamsEach = 40;
  std::uint64_t m_Place = 1; ///< Events after which the guilty one crashes.
  bool m_HasGuilty = true;
  std::size_t m_Rack = 0;      ///< Targets that fail by themselves, one by one.
  bool m_CountsAnswer = false; ///< The place is one of the whole answer.
};

/// A service of engines that stream, entries that resume broken streams, and
/// control. Callers of a broken stream come back with the same content.
class Service {
public:
  static constexpr Trait Guilty = 1;
  static constexpr Duration Tick = 10ms;
  static constexpr Duration Gap = 40ms;
  static constexpr std::uint64_t Length = 120;
  static constexpr Duration ProbeTime = 30ms;
  static constexpr Duration ReportDelay = 20ms;
  static constexpr Duration DecisionInterval = 200ms;
  static constexpr Duration RestartTime = 3s;
  static constexpr std::uint32_t MaxAttempts = 2;

  Service(const Play &Options, std::uint64_t Seed)
      : m_Play(Options), m_Rng(Seed), m_UpAt(Options.m_Targets),
        m_Incarnations(Options.m_Targets) {
    for (std::size_t Number = 0;
         Number < Options.m_Targets * Options.m_StreamsEach; ++Number)
      addStream(100 + Number, m_Rng() % Length);
  }

  void run(Duration For) {
    const TimePoint End = m_Now + For;
    TimePoint NextGuilty = m_Now + 1s;
    TimePoint NextDecision = m_Now;
    TimePoint NextFailure = m_Now + 2s;
    for (std::size_t Failed = 0; m_Now < End; m_Now += Tick) {
      if (m_Play.m_HasGuilty && !m_GuiltyRuns && m_Now >= NextGuilty) {
        sendGuilty();
        NextGuilty = m_Now + 2s;
      }
      if (m_GuiltyRuns)
        NextGuilty = m_Now + 2s;
      if (Failed < m_Play.m_Rack && m_Now >= NextFailure) {
        crash(Failed++);
        NextFailure = m_Now + 700ms;
      }
      deliverReports();
      if (m_Now >= NextDecision) {
        expireTraits(m_Control, m_Now);
        NextDecision = m_Now + DecisionInterval;
      }
      for (std::size_t Each = 0; Each < m_Streams.size(); ++Each)
        advance(Each);
    }
  }

  int m_LateRetries = 0;
  int m_GuiltyCrashes = 0;
  int m_RefusedBystanders = 0;
  int m_Bystanders = 0; ///< Streams that a crash has broken.
  bool m_IsGuiltyRefused = false;

private:
  struct Stream {
    Trait m_Content = 0;
    std::optional<std::size_t> m_Target;
    TimePoint m_SentAt;
    TimePoint m_StartAt; ///< Of the next try.
    TimePoint m_NextEventAt;
    std::uint64_t m_Events = 0;
    std::uint64_t m_Offset = 0;
    std::uint32_t m_Tries = 0;
    std::optional<std::uint64_t> m_EventsToPass;
    bool m_IsOver = false;
  };
  struct Late {
    TimePoint m_At;
    TraitCrash m_Crash;
    Trait m_Sound = 0;
  };

  void addStream(Trait Content, std::uint64_t Offset) {
    Stream Added;
    Added.m_Content = Content;
    Added.m_Offset = Offset;
    Added.m_StartAt = m_Now;
    m_Streams.push_back(Added);
  }

  void sendGuilty() {
    if (quarantinedUntil(m_Control.m_Quarantines, {Guilty, {}}, m_Now)) {
      m_IsGuiltyRefused = true;
      return;
    }
    m_GuiltyRuns = true;
    addStream(Guilty, 0);
  }

  [[nodiscard]] std::optional<std::size_t> chooseTarget() {
    std::vector<std::size_t> Up;
    for (std::size_t Each = 0; Each < m_UpAt.size(); ++Each)
      if (m_UpAt[Each] <= m_Now)
        Up.push_back(Each);
    return Up.empty() ? std::nullopt : std::optional(Up[m_Rng() % Up.size()]);
  }

  void start(Stream &Current) {
    if (quarantinedUntil(m_Control.m_Quarantines, {Current.m_Content, {}},
                         m_Now)) {
      if (Current.m_Content != Guilty)
        ++m_RefusedBystanders;
      return finish(Current);
    }
    const auto Target = chooseTarget();
    if (!Target)
      return;
    Current.m_Target = Target;
    Current.m_SentAt = m_Now;
    Current.m_NextEventAt = m_Now + Gap;
    Current.m_Events = 0;
    Current.m_EventsToPass = eventsToPass(m_Entry, Current.m_Content, m_Now);
    ++Current.m_Tries;
    const bool IsRetry = Current.m_Tries > 1;
    if (Current.m_Content == Guilty && IsRetry && m_ThirdCrashAt &&
        m_Now > *m_ThirdCrashAt + ContactTime)
      ++m_LateRetries;
  }

  void finish(Stream &Current) {
    Current.m_IsOver = true;
    if (Current.m_Content == Guilty)
      m_GuiltyRuns = false;
  }

  void advance(std::size_t Index) {
    if (m_Streams[Index].m_IsOver)
      return;
    if (!m_Streams[Index].m_Target) {
      if (m_Now >= m_Streams[Index].m_StartAt)
        start(m_Streams[Index]);
      return;
    }
    Stream &Current = m_Streams[Index];
    if (m_Now < Current.m_NextEventAt)
      return;
    Current.m_NextEventAt = m_Now + Gap;
    const std::uint64_t Place =
        m_Play.m_CountsAnswer ? Current.m_Offset : Current.m_Events;
    if (Current.m_Content == Guilty && Place >= m_Play.m_Place) {
      ++m_GuiltyCrashes;
      if (m_GuiltyCrashes == 3)
        m_ThirdCrashAt = m_Now;
      return crash(*Current.m_Target);
    }
    ++Current.m_Events;
    if (Current.m_EventsToPass && Current.m_Events >= *Current.m_EventsToPass) {
      recordPassed(m_Entry, Current.m_Content);
      Current.m_EventsToPass.reset();
      m_Reports.push_back({m_Now + ReportDelay, {}, Current.m_Content});
    }
    if (++Current.m_Offset < Length)
      return;
    m_Reports.push_back({m_Now + ReportDelay, {}, Current.m_Content});
    const Trait Next = Current.m_Content;
    finish(Current);
    // The load stays as it is: another request takes its place.
    addStream(Next + 100'000, 0);
  }

  void crash(std::size_t Target) {
    const TargetId Id{"i-" + std::to_string(Target)};
    const std::string Incarnation = std::to_string(m_Incarnations[Target]++);
    m_UpAt[Target] = m_Now + RestartTime;
    // Seven entries report by themselves, some later than others.
    for (Stream &Each : m_Streams) {
      if (Each.m_Target != Target || Each.m_IsOver)
        continue;
      const std::uint64_t Lost = Each.m_Events > 0 ? m_Rng() % 2 : 0;
      TraitCrash Report{Id, Incarnation, {}, {}};
      if (Each.m_Offset > 0)
        Report =
            recordBegunAtCrash(m_Entry, Id, Incarnation,
                               {Each.m_Content, 5, Each.m_Events - Lost,
                                Each.m_Offset - Lost, m_Now - Each.m_SentAt},
                               m_Now);
      m_Reports.push_back({m_Now + ProbeTime + ReportDelay +
                               std::chrono::milliseconds(m_Rng() % 200),
                           Report});
      if (Each.m_Content != Guilty)
        ++m_Bystanders;
      Each.m_Target.reset();
      Each.m_Offset -= Lost;
      Each.m_StartAt = m_Now + 50ms + std::chrono::milliseconds(m_Rng() % 50);
      // The caller comes back, as the guilty one does, with a further attempt.
      if (Each.m_Content == Guilty && Each.m_Tries >= MaxAttempts)
        finish(Each);
    }
  }

  void deliverReports() {
    for (std::size_t Each = 0; Each < m_Reports.size();) {
      if (m_Reports[Each].m_At > m_Now) {
        ++Each;
        continue;
      }
      const Late Due = m_Reports[Each];
      m_Reports.erase(m_Reports.begin() + static_cast<std::ptrdiff_t>(Each));
      if (Due.m_Sound != 0)
        applySoundTrait(m_Control, Due.m_Sound, m_Now);
      else
        applyTraitCrash(m_Control, Due.m_Crash, m_Now);
    }
  }

  Play m_Play;
  Random m_Rng;
  TimePoint m_Now = TimePoint() + 1h;
  TraitTable m_Control;
  TraitTracker m_Entry; ///< A content comes back to the same entry.
  std::vector<TimePoint> m_UpAt;
  std::vector<int> m_Incarnations;
  std::vector<Stream> m_Streams;
  std::vector<Late> m_Reports;
  std::optional<TimePoint> m_ThirdCrashAt;
  bool m_GuiltyRuns = false;
};

} // namespace

// Guards against endless resumes of a request that crashes each target after
// its first event (review case 10), and against blame of the streams beside it.
TEST_CASE("a request that crashes targets after its answer has begun is "
          "quarantined, and no stream beside it") {
  const std::size_t Targets = GENERATE(3, 6, 18);
  const std::size_t StreamsEach = GENERATE(1, 40);
  const std::uint64_t Place = GENERATE(1, 5, 50);
  const bool CountsAnswer = GENERATE(false, true);
  int Late = 0;
  int Refused = 0;
  int Broken = 0;
  int MostLate = 0;
  int MostCrashes = 0;
  for (std::uint64_t Seed = 1; Seed <= seeds(5); ++Seed) {
    Play Options;
    Options.m_Targets = Targets;
    Options.m_StreamsEach = StreamsEach;
    Options.m_Place = Place;
    Options.m_CountsAnswer = CountsAnswer;
    Service Played(Options, Seed);
    Played.run(60s);
    Late += Played.m_LateRetries;
    MostLate = std::max(MostLate, Played.m_LateRetries);
    MostCrashes = std::max(MostCrashes, Played.m_GuiltyCrashes);
    Refused += Played.m_RefusedBystanders;
    Broken += Played.m_Bystanders;
  }
  CAPTURE(Targets, StreamsEach, Place, CountsAnswer, Late, MostLate,
          MostCrashes, Broken);
  CHECK(MostLate <= MaxLateRetries);
  CHECK(Refused == 0);
}

TEST_CASE("no stream is blamed for a rack whose targets fail one by one") {
  const std::size_t StreamsEach = GENERATE(1, 40);
  const std::size_t Targets = GENERATE(3, 6, 18);
  const bool HasGuilty = GENERATE(false, true);
  int Refused = 0;
  int MostLate = 0;
  for (std::uint64_t Seed = 1; Seed <= seeds(20); ++Seed) {
    Play Options;
    Options.m_Targets = Targets;
    Options.m_StreamsEach = StreamsEach;
    Options.m_HasGuilty = HasGuilty;
    Options.m_Rack = std::min<std::size_t>(Targets, 6);
    Service Played(Options, Seed);
    Played.run(20s);
    Refused += Played.m_RefusedBystanders;
    MostLate = std::max(MostLate, Played.m_LateRetries);
  }
  CAPTURE(Targets, StreamsEach, HasGuilty);
  CHECK(Refused == 0);
  CHECK(MostLate <= MaxLateRetries);
}

namespace {

struct Reports {
  TraitTable m_Table;
  TimePoint m_Now = TimePoint() + 1h;
  int m_Crashes = 0;

  void crash(const std::vector<BegunRun> &Runs, Duration After = 2s) {
    m_Now += After;
    applyTraitCrash(
        m_Table, {{"i-" + std::to_string(++m_Crashes)}, "1", {}, Runs}, m_Now);
  }
  void settle() {
    m_Now += 1s;
    expireTraits(m_Table, m_Now);
  }
  bool refuses(Trait Content) const {
    return quarantinedUntil(m_Table.m_Quarantines, {Content, {}}, m_Now)
        .has_value();
  }
};

BegunRun run(Trait Content, std::uint64_t Events) {
  return {Content, 5, Events, Events, 100ms};
}

} // namespace

SCENARIO("begun runs speak against a content by their places") {
  Reports Seen;
  GIVEN("a content that ended at one place at three crashes") {
    Seen.crash({run(7, 3), run(8, 40)});
    Seen.crash({run(7, 4), run(8, 20)});
    Seen.crash({run(7, 3), run(9, 2)});
    Seen.settle();
    CHECK_FALSE(Seen.refuses(7));
    WHEN("it does so a fourth time") {
      Seen.crash({run(7, 4)});
      CHECK_FALSE(Seen.refuses(7));
      Seen.settle();
      THEN("it is quarantined, once others had time to report") {
        CHECK(Seen.refuses(7));
        CHECK_FALSE(Seen.refuses(8));
        CHECK_FALSE(Seen.refuses(9));
      }
    }
    WHEN("a report of the same crash names another with one place") {
      Seen.crash({run(7, 4)});
      applyTraitCrash(Seen.m_Table, {{"i-1"}, "1", {}, {run(6, 2)}},
                      Seen.m_Now);
      Seen.settle();
      THEN("it changes nothing unless the other was at each crash") {
        CHECK(Seen.refuses(7));
      }
    }
    WHEN("it ends elsewhere the fourth time") {
      Seen.crash({run(7, 30)});
      Seen.settle();
      THEN("it is not quarantined") { CHECK_FALSE(Seen.refuses(7)); }
    }
    WHEN("one of its runs completes before the fourth crash") {
      applySoundTrait(Seen.m_Table, 7, Seen.m_Now);
      Seen.crash({run(7, 3)});
      Seen.settle();
      THEN("it is not quarantined") { CHECK_FALSE(Seen.refuses(7)); }
    }
    WHEN("its run at the fourth crash had begun before the third") {
      Seen.crash({{7, 5, 3, 3, 3500ms}});
      Seen.settle();
      THEN("it is not quarantined: equal requests run at many targets") {
        CHECK_FALSE(Seen.refuses(7));
      }
    }
    WHEN("as many targets crashed without it meanwhile") {
      for (int Each = 0; Each < 4; ++Each)
        Seen.crash({run(20, 10)}, 100ms);
      Seen.crash({run(7, 3)});
      Seen.settle();
      THEN("it is not quarantined") { CHECK_FALSE(Seen.refuses(7)); }
    }
  }
  GIVEN("two contents that ended together at the same places") {
    for (int Each = 0; Each < 4; ++Each)
      Seen.crash({run(7, 3), run(8, 3)});
    Seen.settle();
    THEN("neither is quarantined") {
      CHECK_FALSE(Seen.refuses(7));
      CHECK_FALSE(Seen.refuses(8));
    }
    WHEN("a further crash shows only one of them") {
      Seen.crash({run(7, 3)});
      Seen.settle();
      THEN("that one is quarantined") {
        CHECK(Seen.refuses(7));
        CHECK_FALSE(Seen.refuses(8));
      }
    }
  }
}

SCENARIO("what is kept of begun runs is bounded") {
  Reports Seen;
  for (Trait Content = 0; Content < 200; ++Content) {
    std::vector<BegunRun> Runs;
    for (Trait Each = 0; Each < 600; ++Each)
      Runs.push_back(run(Content * 1000 + Each, 1));
    Seen.crash(Runs, 10ms);
  }
  CHECK(Seen.m_Table.m_BegunCrashes.size() ==
        Seen.m_Table.m_Settings.m_MaxBegunCrashes);
  for (const auto &[Key, Crash] : Seen.m_Table.m_BegunCrashes)
    CHECK(Crash.m_Runs.size() == Seen.m_Table.m_Settings.m_MaxBegunRuns);
  Seen.m_Now += Seen.m_Table.m_Settings.m_EvidenceDuration;
  Seen.settle();
  CHECK(Seen.m_Table.m_BegunCrashes.empty());
}
