#include "SuspectNotices.h"
#include "StateMachine.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::control;
using namespace std::chrono_literals;

namespace {

constexpr Duration Lease = 2040ms;
constexpr std::uint64_t Poison = 13;

/// State of an entry after its grants.
struct EntryView {
  std::uint64_t m_Revision = 0;
  wire::ControlGrant m_Last;
  std::map<std::uint64_t, wire::SuspectNotice> m_Known;
};

/// A leader, its state and two entries. Proposals are committed at once.
struct LeaderFixture {
  ReplicatedState m_State;
  SuspectNotices m_Notices;
  TimePoint m_Now{1000s};
  std::map<std::string, EntryView> m_Entries;
  std::vector<std::string> m_Proposed;
  bool m_Commits = true;

  LeaderFixture() { startTerm(m_Notices, m_Now - Lease, Lease); }

  const wire::ControlGrant &report(const std::string &Name,
                                   wire::EntryReport Report = {}) {
    EntryView &Entry = m_Entries[Name];
    Report.set_suspects_revision(Entry.m_Revision);
    const retries::SuspectTable &Known = m_State.m_Fleet.m_Suspicion;
    const auto Due =
        handleReport(m_Notices, Known, {Name}, Report, m_Now + Lease, m_Now);
    Entry.m_Last = {};
    fillGrant(m_Notices, Known, {Name}, Report, m_Now, m_Now, Entry.m_Last);
    for (fleet::Propose Proposal : Due) {
      m_Proposed.push_back(Proposal.m_Key);
      Proposal.m_Command.set_log_time_ns(
          static_cast<std::uint64_t>(m_Now.time_since_epoch().count()));
      if (m_Commits)
        REQUIRE(applyPayload(m_State, Proposal.m_Command.SerializeAsString())
                    .refusal() == 0);
    }
    if (Entry.m_Last.suspects_revision() != Entry.m_Revision) {
      Entry.m_Revision = Entry.m_Last.suspects_revision();
      Entry.m_Known.clear();
      for (const wire::SuspectNotice &Notice : Entry.m_Last.suspects())
        Entry.m_Known[Notice.fingerprint()] = Notice;
    }
    m_Now += 100ms;
    return Entry.m_Last;
  }
};

wire::EntryReport crashed(const std::string &Target,
                          const std::string &Incarnation = "a") {
  wire::EntryReport Report;
  wire::CrashReport &Crash = *Report.add_crashes();
  Crash.set_target(Target);
  Crash.set_incarnation(Incarnation);
  Crash.add_fingerprints(Poison);
  return Report;
}

wire::EntryReport rerun(const std::string &State, const std::string &Target) {
  wire::EntryReport Report;
  wire::RerunReport &Rerun = *Report.add_reruns();
  Rerun.set_fingerprint(Poison);
  Rerun.set_target(Target);
  Rerun.set_state(State);
  return Report;
}

} // namespace

SCENARIO("notice revisions increase and contain the state revision") {
  struct Row {
    std::uint64_t m_Revision;
    bool m_Settled;
  };
  std::uint64_t Before = 1;
  for (const Row &Case : {Row{0, false}, Row{0, true}, Row{1, false},
                          Row{1, true}, Row{77, false}}) {
    const std::uint64_t Sent = noticeRevision(Case.m_Revision, Case.m_Settled);
    CHECK(Sent > Before);
    CHECK(stateRevision(Sent) == Case.m_Revision);
    Before = Sent;
  }
  CHECK(stateRevision(0) == 0);
}

SCENARIO("a crash becomes known to every entry") {
  LeaderFixture Leader;
  CHECK(Leader.report("entry-1").crashes_settled());
  Leader.report("entry-2");
  CHECK(Leader.m_Entries["entry-1"].m_Last.suspects_revision() != 0);

  GIVEN("one entry reports a crash, again and again") {
    CHECK_FALSE(Leader.report("entry-1", crashed("t1")).crashes_settled());
    CHECK_FALSE(Leader.report("entry-1", crashed("t1")).crashes_settled());
    CHECK(Leader.m_Entries["entry-1"].m_Known.count(Poison) == 1);
    THEN("it is committed once") {
      Leader.report("entry-1", crashed("t1"));
      CHECK(Leader.m_Proposed ==
            std::vector<std::string>{"crash/entry-1/t1/a"});
    }
    THEN("it is settled once the other entry has applied it") {
      Leader.report("entry-2");
      CHECK(Leader.m_Entries["entry-2"].m_Known.count(Poison) == 1);
      CHECK_FALSE(Leader.report("entry-1", crashed("t1")).crashes_settled());
      Leader.report("entry-2");
      const std::uint64_t Before = Leader.m_Entries["entry-1"].m_Revision;
      CHECK(Leader.report("entry-1", crashed("t1")).crashes_settled());
      CHECK(Leader.m_Entries["entry-1"].m_Revision != Before);
    }
    THEN("it is settled once the other entry has lost its lease") {
      Leader.m_Now += Lease;
      CHECK(Leader.report("entry-1", crashed("t1")).crashes_settled());
    }
    THEN("a new leader waits out its predecessor's leases") {
      startTerm(Leader.m_Notices, Leader.m_Now, Lease);
      CHECK_FALSE(Leader.report("entry-1", crashed("t1")).crashes_settled());
      Leader.m_Now += Lease;
      CHECK(Leader.report("entry-1", crashed("t1")).crashes_settled());
    }
    WHEN("the other entry's target crashes as well") {
      Leader.report("entry-2", crashed("t2"));
      Leader.report("entry-2");
      Leader.report("entry-1");
      THEN("both refuse the request") {
        for (auto &[Name, Entry] : Leader.m_Entries) {
          REQUIRE(Entry.m_Known.count(Poison) == 1);
          CHECK(Entry.m_Known[Poison].quarantined());
          CHECK(Entry.m_Last.quarantines_size() == 1);
        }
      }
      THEN("a snapshot keeps it") {
        auto Restored = fromSnapshot(takeSnapshot(Leader.m_State));
        REQUIRE_FALSE(failed(Restored));
        CHECK(takeSnapshot(valueOf(Restored)) == takeSnapshot(Leader.m_State));
        CHECK(valueOf(Restored)
                  .m_Fleet.m_Suspicion.m_Suspects.at(Poison)
                  .m_Verdict == retries::Verdict::Quarantined);
      }
    }
  }
  GIVEN("a crash that cannot be committed") {
    Leader.m_Commits = false;
    for (int I = 0; I < 3; ++I)
      CHECK_FALSE(Leader.report("entry-1", crashed("t1")).crashes_settled());
    CHECK(Leader.m_Proposed.size() == 3);
  }
}

SCENARIO("a suspect is rerun alone by the entry that has permission") {
  LeaderFixture Leader;
  Leader.report("entry-1", crashed("t1"));
  Leader.report("entry-1", rerun("wanted", "t2"));
  Leader.report("entry-1");
  Leader.report("entry-2", rerun("wanted", "t3"));
  GIVEN("the first entry has the permission") {
    const wire::SuspectNotice &Notice =
        Leader.m_Entries["entry-1"].m_Known[Poison];
    CHECK(Notice.rerun_permitted());
    CHECK(Notice.rerun_at() == "t2");
    CHECK(Notice.rerun_left_ns() > 0);
    CHECK(Notice.rerun_left_ns() <= nanosecondsOf(std::chrono::seconds(60)));
    CHECK_FALSE(Leader.m_Entries["entry-2"].m_Known[Poison].rerun_permitted());
    CHECK(Leader.m_Proposed.size() == 2);
  }
  struct Row {
    const char *m_State;
    std::size_t m_Suspects;
  };
  for (const Row &Case : {Row{"completed", 0}, Row{"failed", 1}}) {
    WHEN(std::string("the run ends: ") + Case.m_State) {
      Leader.report("entry-2", rerun(Case.m_State, "t2"));
      CHECK(Leader.m_Proposed.size() == 2);
      Leader.report("entry-1", rerun(Case.m_State, "t2"));
      CHECK(Leader.m_State.m_Fleet.m_Suspicion.m_Suspects.size() ==
            Case.m_Suspects);
    }
  }
  WHEN("the target crashes under it") {
    wire::EntryReport Ending = rerun("failed", "t2");
    *Ending.add_crashes() = crashed("t2").crashes(0);
    Leader.report("entry-1", Ending);
    Leader.report("entry-2");
    CHECK(Leader.m_Entries["entry-2"].m_Known[Poison].quarantined());
  }
}

SCENARIO("traits that crash targets are known to every entry and new leader") {
  ReplicatedState State;
  TimePoint Now(1000s);
  const auto Report = [&](std::uint64_t Renewal, const std::string &Target) {
    wire::EntryReport Message;
    Message.set_renewal(Renewal);
    wire::TraitCrash &Crash = *Message.add_trait_crashes();
    Crash.set_target(Target);
    Crash.set_incarnation("1");
    Crash.add_waiting()->set_content(Renewal);
    Crash.mutable_waiting(0)->add_parts(7);
    Crash.mutable_waiting(0)->add_parts(9);
    return Message;
  };
  const auto Commit = [&](const wire::EntryReport &Message) {
    auto Due = proposeTraits(State.m_Fleet.m_Traits, {"entry-1"}, Message, Now);
    if (!Due)
      return false;
    Now += 1s;
    Due->m_Command.set_log_time_ns(
        static_cast<std::uint64_t>(Now.time_since_epoch().count()));
    REQUIRE(applyPayload(State, Due->m_Command.SerializeAsString()).refusal() ==
            0);
    return true;
  };
  for (std::uint64_t Renewal = 1; Renewal <= 3; ++Renewal) {
    const auto Message = Report(Renewal, "t-" + std::to_string(Renewal));
    CHECK(Commit(Message));
    CHECK_FALSE(Commit(Message));
  }
  const auto Grant = [&](const ReplicatedState &Leader,
                         std::uint64_t Revision) {
    wire::EntryReport Message;
    Message.set_traits_revision(Revision);
    wire::ControlGrant Answer;
    fillTraits(Leader.m_Fleet.m_Traits, Message, Now, Answer);
    return Answer;
  };
  THEN("an entry that knows nothing is told of the quarantine once") {
    const wire::ControlGrant First = Grant(State, 0);
    REQUIRE(First.trait_quarantines_size() == 1);
    CHECK(First.trait_quarantines(0).traits_size() == 2);
    CHECK(Grant(State, First.traits_revision()).trait_quarantines_size() == 0);
  }
  THEN("a leader that restores a snapshot tells the same") {
    const auto Restored = fromSnapshot(takeSnapshot(State));
    REQUIRE_FALSE(failed(Restored));
    CHECK(Grant(valueOf(Restored), 0).SerializeAsString() ==
          Grant(State, 0).SerializeAsString());
    CHECK(takeSnapshot(valueOf(Restored)) == takeSnapshot(State));
  }
  THEN("a part that ran elsewhere is left out of it") {
    wire::EntryReport Message;
    Message.add_sound_traits(7);
    CHECK(Commit(Message));
    REQUIRE(Grant(State, 0).trait_quarantines_size() == 1);
    CHECK(Grant(State, 0).trait_quarantines(0).traits_size() == 1);
    CHECK_FALSE(Commit(Message));
  }
}

// Guards against a new leader that forgets crashes of runs that had begun, and
// against decisions that no command triggers (review case 10).
SCENARIO("crashes of begun runs are decided on, also by a new leader") {
  ReplicatedState State;
  TimePoint Now(1000s);
  const auto Commit = [&](const wire::EntryReport &Message) {
    auto Due = proposeTraits(State.m_Fleet.m_Traits, {"entry-1"}, Message, Now);
    if (!Due)
      return false;
    Due->m_Command.set_log_time_ns(
        static_cast<std::uint64_t>(Now.time_since_epoch().count()));
    REQUIRE(applyPayload(State, Due->m_Command.SerializeAsString()).refusal() ==
            0);
    return true;
  };
  const auto Quarantines = [&] {
    wire::ControlGrant Answer;
    fillTraits(State.m_Fleet.m_Traits, {}, Now, Answer);
    return Answer.trait_quarantines_size();
  };
  for (int Crashed = 1; Crashed <= 4; ++Crashed) {
    Now += 2s;
    wire::EntryReport Message;
    wire::TraitCrash &Crash = *Message.add_trait_crashes();
    Crash.set_target("t-" + std::to_string(Crashed));
    Crash.set_incarnation("1");
    wire::BegunRun &Run = *Crash.add_begun();
    Run.set_content(7);
    Run.set_route(5);
    Run.set_events(1);
    Run.set_offset(static_cast<std::uint64_t>(Crashed));
    Run.set_ran_ns(40'000'000);
    CHECK(Commit(Message));
    CHECK_FALSE(Commit(Message));
  }
  CHECK(Quarantines() == 0);
  WHEN("entries have had time to report, and report nothing new") {
    Now += 1s;
    THEN("the leader decides") {
      CHECK(Commit({}));
      CHECK(Quarantines() == 1);
      CHECK_FALSE(Commit({}));
    }
  }
  WHEN("a new leader restores a snapshot before that") {
    auto Restored = fromSnapshot(takeSnapshot(State));
    REQUIRE_FALSE(failed(Restored));
    CHECK(takeSnapshot(valueOf(Restored)) == takeSnapshot(State));
    State = std::move(valueOf(Restored));
    Now += 1s;
    THEN("it decides") {
      CHECK(Commit({}));
      CHECK(Quarantines() == 1);
    }
  }
}

SCENARIO("a route that crashes targets is paused at every entry") {
  constexpr retries::Trait Route = 77;
  ReplicatedState State;
  TimePoint Now(1000s);
  const auto Commit = [&](wire::TraitReport Report) {
    wire::Command Command;
    *Command.mutable_trait_report() = std::move(Report);
    Command.set_log_time_ns(
        static_cast<std::uint64_t>(Now.time_since_epoch().count()));
    REQUIRE(applyPayload(State, Command.SerializeAsString()).refusal() == 0);
  };
  const auto Crash = [&](const std::string &Target, std::uint64_t Content) {
    Now += 1s;
    wire::TraitReport Report;
    wire::TraitCrash &Row = *Report.add_crashes();
    Row.set_target(Target);
    Row.set_incarnation("1");
    Row.add_waiting()->set_content(Content);
    Row.mutable_waiting(0)->set_route(Route);
    Commit(std::move(Report));
  };
  NotifiedTraits Notified;
  const auto NewNotice = [&] {
    return takeNewNotices(State.m_Fleet.m_Traits, Notified, Now);
  };
  Crash("t-1", 1);
  Crash("t-2", 1);
  Crash("t-3", 2);
  const auto Notice = [&](const ReplicatedState &Leader) {
    wire::ControlGrant Answer;
    fillTraits(Leader.m_Fleet.m_Traits, {}, Now, Answer);
    for (const wire::TraitNotice &Row : Answer.traits())
      if (Row.trait() == Route)
        return Row;
    return wire::TraitNotice{};
  };
  fleet::ObservedState Observed;
  for (int I = 0; I < 16; ++I)
    Observed.m_Entries[{"entry-" + std::to_string(I)}];
  const auto Permitted = [&] {
    std::set<std::string> Names;
    for (const auto &[Entry, View] : Observed.m_Entries) {
      wire::ControlGrant Answer;
      fillTrials(State.m_Fleet.m_Traits, Observed, Entry, Now, Now, Answer);
      if (Answer.trial_routes_size() > 0)
        Names.insert(Entry.m_Value);
    }
    return Names;
  };
  THEN("a new leader tells of the same pause") {
    CHECK(Notice(State).paused_ns() > 0);
    const auto Restored = fromSnapshot(takeSnapshot(State));
    REQUIRE_FALSE(failed(Restored));
    CHECK(Notice(valueOf(Restored)).SerializeAsString() ==
          Notice(State).SerializeAsString());
  }
  THEN("entries are told at once, and again when a later crash renews it") {
    REQUIRE(NewNotice());
    CHECK_FALSE(NewNotice());
    // A request that is quarantined already, and was under way.
    Now += 6s;
    (void)NewNotice();
    Crash("t-4", 1);
    const auto Renewed = NewNotice();
    REQUIRE(Renewed);
    CHECK(Renewed->quarantines().empty());
    REQUIRE(Renewed->routes_size() == 1);
    CHECK(Renewed->routes(0).paused_ns() > 0);
  }
  THEN("no entry runs its requests during the pause") {
    CHECK(Permitted().empty());
  }
  WHEN("the pause is over") {
    Now += 6s;
    THEN("few entries run them, others from turn to turn") {
      const auto First = Permitted();
      CHECK(First.size() == 2);
      std::set<std::string> All = First;
      for (int I = 0; I < 5; ++I) {
        Now += 10s;
        All.merge(Permitted());
      }
      CHECK(All.size() > 2);
    }
    THEN("a new leader permits no trials before it may know all entries") {
      const auto Former = Permitted();
      fleet::startTerm(Observed, State.m_Fleet, Now, Lease);
      std::set<std::string> All = Former;
      for (int I = 0; I < 16; ++I) {
        Observed.m_Entries[{"entry-" + std::to_string(I)}];
        All.merge(Permitted());
      }
      CHECK(All == Former);
      Now += Lease;
      CHECK(Permitted().size() == 2);
    }
    THEN("completed requests end the trial") {
      const std::uint32_t Runs = Notice(State).trial_runs();
      REQUIRE(Runs > 0);
      for (std::uint32_t I = 0; I < Runs; ++I) {
        CHECK_FALSE(Permitted().empty());
        wire::TraitReport Sound;
        Sound.add_sound(Route);
        Commit(std::move(Sound));
      }
      CHECK(Permitted().empty());
      CHECK(Notice(State).trial_runs() == 0);
      CHECK(Notice(State).crashes() > 0);
    }
  }
}
