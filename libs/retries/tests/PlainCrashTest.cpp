// Requests without common parts that crash the few targets of a service.

#include "retries/retries.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace wasabivale;
using namespace wasabivale::retries;
using namespace std::chrono_literals;

namespace {

constexpr Trait Route = 7;

/// Entries before three targets that start again at their addresses, in virtual
/// time. Callers repeat a failed request once, at another entry.
struct ServiceRun {
  static constexpr std::size_t Entries = 6;
  static constexpr std::size_t Targets = 3;
  static constexpr Duration Tick = 10ms;
  static constexpr Duration StartTime = 3300ms;
  static constexpr Duration ContactTime = 3s;
  static constexpr Duration RunTime = 90ms;
  static constexpr Duration RepeatDelay = 60ms;
  static constexpr Duration NoticeDelay = 30ms;
  struct Job {
    RequestTraits m_Request;
    bool m_IsGuilty = false;
    bool m_IsRepeat = false;
    std::size_t m_Entry = 0;
    std::size_t m_Target = 0;
    TimePoint m_SentAt;
    TimePoint m_EndsAt;
  };
  struct Target {
    int m_Incarnation = 1;
    TimePoint m_UpAt{0s};
  };

  Random m_Rng;
  bool m_EntriesRetry = false;
  TraitTable m_Control;
  std::vector<TraitTracker> m_Trackers{Entries};
  std::vector<Target> m_Targets{Targets};
  std::vector<Job> m_Jobs;
  std::vector<Job> m_Repeats; ///< Sent when their time has come.
  std::vector<TimePoint> m_NoticesAt;
  TimePoint m_Now{1000s};
  int m_Crashes = 0;
  std::map<Trait, int> m_Sends; ///< Of guilty requests, by content.
  std::map<Trait, int> m_CrashesBy;
  TimePoint m_KnownAt = TimePoint::max(); ///< One request crashed three.
  int m_SentLate = 0;
  std::map<Trait, int> m_SendsOnceKnown;
  int m_Sound = 0;
  int m_SoundRefused = 0;
  Trait m_Content = 1'000'000;

  ServiceRun(std::uint64_t Seed, bool EntriesRetry)
      : m_Rng(Seed), m_EntriesRetry(EntriesRetry) {}

  RequestTraits fresh() {
    RequestTraits Made{++m_Content, {}};
    Made.m_Route = Route;
    return Made;
  }

  void arrive(const RequestTraits &Request, bool IsGuilty, bool IsRepeat) {
    Job New;
    New.m_Request = Request;
    New.m_IsGuilty = IsGuilty;
    New.m_IsRepeat = IsRepeat;
    New.m_Entry = m_Rng() % Entries;
    m_Sound += IsGuilty ? 0 : 1;
    if (quarantinedUntil(m_Trackers[New.m_Entry], Request, m_Now)) {
      m_SoundRefused += IsGuilty ? 0 : 1;
      return;
    }
    send(New);
  }

  void send(Job New) {
    std::vector<std::size_t> Up;
    for (std::size_t I = 0; I < Targets; ++I)
      if (m_Targets[I].m_UpAt <= m_Now)
        Up.push_back(I);
    if (Up.empty())
      return;
    New.m_Target = Up[m_Rng() % Up.size()];
    New.m_SentAt = m_Now;
    New.m_EndsAt = m_Now + (New.m_IsGuilty ? RunTime : RunTime / 3);
    if (New.m_IsGuilty) {
      ++m_Sends[New.m_Request.m_Content];
      if (m_KnownAt != TimePoint::max() && m_Now > m_KnownAt + ContactTime) {
        ++m_SentLate;
        if (!m_CrashesBy.contains(New.m_Request.m_Content))
          m_SendsOnceKnown[New.m_Request.m_Content] = 0;
      }
      if (m_SendsOnceKnown.contains(New.m_Request.m_Content))
        ++m_SendsOnceKnown[New.m_Request.m_Content];
    }
    m_Jobs.push_back(New);
  }

  void crash(std::size_t Index) {
    ++m_Crashes;
    Target &Ended = m_Targets[Index];
    const std::string Incarnation = std::to_string(Ended.m_Incarnation++);
    Ended.m_UpAt = m_Now + StartTime;
    std::vector<Job> Waiting;
    std::erase_if(m_Jobs, [&](const Job &Each) {
      if (Each.m_Target == Index)
        Waiting.push_back(Each);
      return Each.m_Target == Index;
    });
    for (Job &Each : Waiting) {
      TraitTracker &Tracker = m_Trackers[Each.m_Entry];
      Each.m_Request.m_Waited = m_Now - Each.m_SentAt;
      applyTraitCrash(m_Control,
                      recordWaitingAtCrash(Tracker, {std::to_string(Index)},
                                           Incarnation, Each.m_Request, m_Now),
                      m_Now);
      if (Each.m_IsGuilty && ++m_CrashesBy[Each.m_Request.m_Content] == 3)
        m_KnownAt = std::min(m_KnownAt, m_Now);
      const bool MayRetry = m_EntriesRetry && !Each.m_Request.m_SentAgain &&
                            mayRetryAfterCrash(Tracker, Each.m_Request);
      Each.m_Request.m_SentAgain = true;
      if (MayRetry) {
        send(Each);
      } else if (!Each.m_IsRepeat) {
        Each.m_SentAt = m_Now + RepeatDelay;
        m_Repeats.push_back(Each);
      }
    }
    m_NoticesAt.push_back(m_Now + NoticeDelay);
  }

  void step() {
    m_Now += Tick;
    const std::vector<Job> Due = m_Jobs;
    for (const Job &Each : Due)
      if (Each.m_IsGuilty && Each.m_EndsAt <= m_Now &&
          m_Targets[Each.m_Target].m_UpAt <= m_Now)
        crash(Each.m_Target);
    std::erase_if(m_Jobs, [&](const Job &Each) {
      if (Each.m_EndsAt > m_Now)
        return false;
      recordSound(m_Trackers[Each.m_Entry], Each.m_Request, m_Now);
      return true;
    });
    std::vector<Job> Repeated;
    std::erase_if(m_Repeats, [&](const Job &Each) {
      if (Each.m_SentAt <= m_Now)
        Repeated.push_back(Each);
      return Each.m_SentAt <= m_Now;
    });
    for (Job &Each : Repeated) {
      Each.m_Request.m_SentAgain = false;
      Each.m_Request.m_Waited.reset();
      arrive(Each.m_Request, Each.m_IsGuilty, true);
    }
    std::erase_if(m_NoticesAt, [&](TimePoint At) {
      if (At > m_Now)
        return false;
      for (TraitTracker &Tracker : m_Trackers)
        notify(Tracker);
      return true;
    });
    const auto Turn = static_cast<std::size_t>(m_Now.time_since_epoch() / Tick);
    if (Turn % 100 < Entries)
      notify(m_Trackers[Turn % 100]);
  }

  /// Applies what control has decided.
  void notify(TraitTracker &Tracker) {
    for (const Trait Value : std::exchange(Tracker.m_Sound, {}))
      applySoundTrait(m_Control, Value, m_Now);
    Tracker.m_Evidence = m_Control.m_Evidence;
    Tracker.m_Quarantines = m_Control.m_Quarantines;
  }
};

} // namespace

TEST_CASE("a request that crashes all targets of a service within 500 ms is "
          "quarantined") {
  const auto Seed = GENERATE(range(std::uint64_t(1), std::uint64_t(21)));
  const bool EntriesRetry = GENERATE(false, true);
  ServiceRun On(Seed, EntriesRetry);
  const RequestTraits Guilty = On.fresh();
  for (int Turn = 0; Turn < 2500; ++Turn) {
    if (Turn % 3 == 0)
      On.arrive(On.fresh(), false, false);
    // Several callers send it, whenever the service is up.
    if (Turn % 10 == 0)
      On.arrive(Guilty, true, false);
    On.step();
  }
  INFO("seed " << Seed << ", entries retry " << EntriesRetry);
  CHECK(On.m_SentLate <= 3);
  CHECK(On.m_Crashes <= 6);
  CHECK(On.m_SoundRefused <= On.m_Sound / 100);
}

TEST_CASE("requests of one route that crash targets are not sent again") {
  const auto Seed = GENERATE(range(std::uint64_t(1), std::uint64_t(21)));
  const bool EntriesRetry = GENERATE(false, true);
  ServiceRun On(Seed, EntriesRetry);
  for (int Turn = 0; Turn < 6000; ++Turn) {
    if (Turn % 3 == 0)
      On.arrive(On.fresh(), false, false);
    if (On.m_Rng() % 250 == 0)
      On.arrive(On.fresh(), true, false);
    On.step();
  }
  INFO("seed " << Seed << ", entries retry " << EntriesRetry);
  for (const auto &[Content, Sends] : On.m_SendsOnceKnown)
    CHECK(Sends <= 1);
  CHECK(On.m_SoundRefused <= On.m_Sound / 100);
}

TEST_CASE("an equal request at all targets of a rack that fails is not "
          "quarantined") {
  ServiceRun On(1, false);
  const RequestTraits Popular = On.fresh();
  for (int Turn = 0; Turn < 100; ++Turn) {
    On.arrive(Popular, false, false);
    On.step();
  }
  for (int Times = 0; Times < 3; ++Times) {
    for (std::size_t Index = 0; Index < ServiceRun::Targets; ++Index)
      On.crash(Index);
    for (int Turn = 0; Turn < 400; ++Turn) {
      On.arrive(Popular, false, false);
      On.step();
    }
  }
  CHECK(On.m_SoundRefused == 0);
}
