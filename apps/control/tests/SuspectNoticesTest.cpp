#include "SuspectNotices.h"
#include "StateMachine.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::control;
using namespace std::chrono_literals;

namespace {

constexpr Duration Lease = 2040ms;
constexpr std::uint64_t Poison = 13;

/// An entry as the grants leave it.
struct EntryStand {
  std::uint64_t m_Revision = 0;
  wire::ControlGrant m_Last;
  std::map<std::uint64_t, wire::SuspectNotice> m_Known;
};

/// A leader, its state and two entries. What is proposed is committed at once.
struct Stage {
  Replicated m_State;
  SuspectNotices m_Notices;
  TimePoint m_Now{1000s};
  std::map<std::string, EntryStand> m_Entries;
  std::vector<std::string> m_Proposed;
  bool m_Commits = true;

  Stage() { startTerm(m_Notices, m_Now - Lease, Lease); }

  const wire::ControlGrant &report(const std::string &Name,
                                   wire::EntryReport Said = {}) {
    EntryStand &Entry = m_Entries[Name];
    Said.set_suspects_revision(Entry.m_Revision);
    const retries::SuspectTable &Known = m_State.m_Fleet.m_Suspicion;
    const auto Due =
        takeReport(m_Notices, Known, {Name}, Said, m_Now + Lease, m_Now);
    Entry.m_Last = {};
    fillGrant(m_Notices, Known, {Name}, Said, m_Now, m_Now, Entry.m_Last);
    for (fleet::Propose Each : Due) {
      m_Proposed.push_back(Each.m_Key);
      Each.m_Command.set_log_time_ns(
          static_cast<std::uint64_t>(m_Now.time_since_epoch().count()));
      if (m_Commits)
        REQUIRE(applyPayload(m_State, Each.m_Command.SerializeAsString())
                    .refusal() == 0);
    }
    if (Entry.m_Last.suspects_revision() != Entry.m_Revision) {
      Entry.m_Revision = Entry.m_Last.suspects_revision();
      Entry.m_Known.clear();
      for (const wire::SuspectNotice &Each : Entry.m_Last.suspects())
        Entry.m_Known[Each.fingerprint()] = Each;
    }
    m_Now += 100ms;
    return Entry.m_Last;
  }
};

wire::EntryReport crashed(const std::string &Target,
                          const std::string &Incarnation = "a") {
  wire::EntryReport Out;
  wire::CrashReport &Crash = *Out.add_crashes();
  Crash.set_target(Target);
  Crash.set_incarnation(Incarnation);
  Crash.add_fingerprints(Poison);
  return Out;
}

wire::EntryReport rerun(const std::string &State, const std::string &Target) {
  wire::EntryReport Out;
  wire::RerunReport &Rerun = *Out.add_reruns();
  Rerun.set_fingerprint(Poison);
  Rerun.set_target(Target);
  Rerun.set_state(State);
  return Out;
}

} // namespace

SCENARIO("the revision of notices") {
  struct Row {
    std::uint64_t m_Revision;
    bool m_Settled;
  };
  std::uint64_t Before = 1;
  for (const Row &Each : {Row{0, false}, Row{0, true}, Row{1, false},
                          Row{1, true}, Row{77, false}}) {
    const std::uint64_t Sent = noticeRevision(Each.m_Revision, Each.m_Settled);
    CHECK(Sent > Before);
    CHECK(stateRevision(Sent) == Each.m_Revision);
    Before = Sent;
  }
  CHECK(stateRevision(0) == 0);
}

SCENARIO("a crash becomes known to every entry") {
  Stage On;
  CHECK(On.report("entry-1").crashes_settled());
  On.report("entry-2");
  CHECK(On.m_Entries["entry-1"].m_Last.suspects_revision() != 0);

  GIVEN("one entry reports a crash, again and again") {
    CHECK_FALSE(On.report("entry-1", crashed("t1")).crashes_settled());
    CHECK_FALSE(On.report("entry-1", crashed("t1")).crashes_settled());
    CHECK(On.m_Entries["entry-1"].m_Known.count(Poison) == 1);
    THEN("it is committed once") {
      On.report("entry-1", crashed("t1"));
      CHECK(On.m_Proposed == std::vector<std::string>{"crash/entry-1/t1/a"});
    }
    THEN("it is settled once the other entry has applied it") {
      On.report("entry-2");
      CHECK(On.m_Entries["entry-2"].m_Known.count(Poison) == 1);
      CHECK_FALSE(On.report("entry-1", crashed("t1")).crashes_settled());
      On.report("entry-2");
      const std::uint64_t Before = On.m_Entries["entry-1"].m_Revision;
      CHECK(On.report("entry-1", crashed("t1")).crashes_settled());
      CHECK(On.m_Entries["entry-1"].m_Revision != Before);
    }
    THEN("it is settled once the other entry has lost its lease") {
      On.m_Now += Lease;
      CHECK(On.report("entry-1", crashed("t1")).crashes_settled());
    }
    THEN("a new leader waits out its predecessor's leases") {
      startTerm(On.m_Notices, On.m_Now, Lease);
      CHECK_FALSE(On.report("entry-1", crashed("t1")).crashes_settled());
      On.m_Now += Lease;
      CHECK(On.report("entry-1", crashed("t1")).crashes_settled());
    }
    WHEN("the other entry's target crashes as well") {
      On.report("entry-2", crashed("t2"));
      On.report("entry-2");
      On.report("entry-1");
      THEN("both refuse the request") {
        for (auto &[Name, Entry] : On.m_Entries) {
          REQUIRE(Entry.m_Known.count(Poison) == 1);
          CHECK(Entry.m_Known[Poison].quarantined());
          CHECK(Entry.m_Last.quarantines_size() == 1);
        }
      }
      THEN("a snapshot keeps it") {
        auto Back = fromSnapshot(takeSnapshot(On.m_State));
        REQUIRE_FALSE(failed(Back));
        CHECK(takeSnapshot(valueOf(Back)) == takeSnapshot(On.m_State));
        CHECK(
            valueOf(Back).m_Fleet.m_Suspicion.m_Suspects.at(Poison).m_Verdict ==
            retries::Verdict::Quarantined);
      }
    }
  }
  GIVEN("a crash that cannot be committed") {
    On.m_Commits = false;
    for (int I = 0; I < 3; ++I)
      CHECK_FALSE(On.report("entry-1", crashed("t1")).crashes_settled());
    CHECK(On.m_Proposed.size() == 3);
  }
}

SCENARIO("a suspect is run alone by permission") {
  Stage On;
  On.report("entry-1", crashed("t1"));
  On.report("entry-1", rerun("wanted", "t2"));
  On.report("entry-1");
  On.report("entry-2", rerun("wanted", "t3"));
  GIVEN("the first entry has it") {
    const wire::SuspectNotice &Told = On.m_Entries["entry-1"].m_Known[Poison];
    CHECK(Told.rerun_permitted());
    CHECK(Told.rerun_at() == "t2");
    CHECK(Told.rerun_left_ns() > 0);
    CHECK(Told.rerun_left_ns() <= nanosecondsOf(std::chrono::seconds(60)));
    CHECK_FALSE(On.m_Entries["entry-2"].m_Known[Poison].rerun_permitted());
    CHECK(On.m_Proposed.size() == 2);
  }
  struct Row {
    const char *m_State;
    std::size_t m_Suspects;
  };
  for (const Row &Each : {Row{"completed", 0}, Row{"failed", 1}}) {
    WHEN(std::string("the run ends: ") + Each.m_State) {
      On.report("entry-2", rerun(Each.m_State, "t2"));
      CHECK(On.m_Proposed.size() == 2);
      On.report("entry-1", rerun(Each.m_State, "t2"));
      CHECK(On.m_State.m_Fleet.m_Suspicion.m_Suspects.size() ==
            Each.m_Suspects);
    }
  }
  WHEN("the target crashes under it") {
    wire::EntryReport Ending = rerun("failed", "t2");
    *Ending.add_crashes() = crashed("t2").crashes(0);
    On.report("entry-1", Ending);
    On.report("entry-2");
    CHECK(On.m_Entries["entry-2"].m_Known[Poison].quarantined());
  }
}
