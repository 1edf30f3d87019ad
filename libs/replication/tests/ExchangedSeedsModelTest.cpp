// Plays formation with seeds that are exchanged after the first start, machines
// that are added, restarts and lost disks, in every order.

#include "Formation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <set>
#include <unordered_set>

using namespace wasabivale;
using namespace wasabivale::replication;

namespace {

struct Machine {
  NodeId m_Id;
  std::string m_Incarnation;
  store::Origin m_Origin;
  std::string m_Promise;
  bool m_Formed = false;
  // Of the settings at its last start.
  std::vector<NodeId> m_Seeds;
  bool m_MayForm = false;
};

/// What a start makes of a disk and of the settings.
using Begin = std::function<void(Formation &, const Machine &)>;

struct SentReport {
  FormationReport m_Report;
  std::vector<NodeId> m_Listed;
};

struct World {
  std::vector<Machine> m_Machines;
  std::vector<std::vector<SentReport>> m_Sent; ///< By machine, ever.
  std::set<std::string> m_Groups;
  std::size_t m_Losses = 0;
};

std::vector<NodeId> seeds(std::initializer_list<const char *> Names) {
  std::vector<NodeId> Nodes;
  for (const char *Name : Names)
    Nodes.push_back({Name});
  return Nodes;
}

// Two seeds, of which all must agree, keep the number of states small.
const std::vector<NodeId> FirstSeeds = seeds({"a", "b"});
/// Seeds that later settings may name.
const std::vector<std::vector<NodeId>> LaterSeeds = {seeds({"x", "y"}),
                                                     seeds({"a", "x"})};

Machine machine(const char *Name, store::Origin Origin, bool MayForm) {
  Machine Started;
  Started.m_Id = {Name};
  Started.m_Incarnation = std::string(Name) + "0";
  Started.m_Origin = std::move(Origin);
  Started.m_Seeds = FirstSeeds;
  Started.m_MayForm = MayForm;
  return Started;
}

Formation begin(const Machine &Started, const Begin &Start) {
  Formation State;
  State.m_Self = Started.m_Id;
  State.m_Listed = Started.m_Seeds;
  State.m_MayForm = Started.m_MayForm;
  State.m_Own = {Started.m_Incarnation, Started.m_Promise, Started.m_Formed};
  Start(State, Started);
  return State;
}

void sendReport(World &State, std::size_t Sender, const Begin &Start) {
  const Formation Now = begin(State.m_Machines[Sender], Start);
  State.m_Sent[Sender].push_back({Now.m_Own, Now.m_Listed});
}

World firstStart(const std::vector<Machine> &Machines, const Begin &Start) {
  World Fresh;
  Fresh.m_Machines = Machines;
  Fresh.m_Sent.resize(Machines.size());
  for (std::size_t Sender = 0; Sender < Machines.size(); ++Sender)
    sendReport(Fresh, Sender, Start);
  return Fresh;
}

std::string describe(const std::vector<NodeId> &Nodes) {
  std::string Text;
  for (const NodeId &Node : Nodes)
    Text += Node.m_Value;
  return Text + ";";
}

std::string encode(const World &State) {
  std::string Key = std::to_string(State.m_Losses);
  for (std::size_t Each = 0; Each < State.m_Machines.size(); ++Each) {
    const Machine &Now = State.m_Machines[Each];
    Key += "/" + Now.m_Incarnation + (Now.m_MayForm ? "y" : "n") +
           (Now.m_Formed ? "!" : "?") + describe(Now.m_Seeds) + Now.m_Promise;
    std::set<std::string> Sent;
    for (const auto &[Report, Listed] : State.m_Sent[Each])
      Sent.insert(Report.m_Incarnation + (Report.m_Formed ? "!" : "?") +
                  describe(Listed) + Report.m_Promise);
    for (const std::string &Report : Sent)
      Key += "," + Report;
  }
  for (const std::string &Group : State.m_Groups)
    Key += "#" + Group;
  return Key;
}

/// Adds what \p Acting does with any combination of the reports that its listed
/// members ever sent, or without them.
void addSteps(const World &State, std::size_t Acting, std::size_t Other,
              Formation &View, const Begin &Start, std::vector<World> &Next) {
  if (Other < State.m_Machines.size()) {
    addSteps(State, Acting, Other + 1, View, Start, Next);
    const NodeId &Id = State.m_Machines[Other].m_Id;
    if (Other == Acting || std::find(View.m_Listed.begin(), View.m_Listed.end(),
                                     Id) == View.m_Listed.end())
      return;
    for (const auto &[Report, Listed] : State.m_Sent[Other]) {
      if (!Report.m_Formed && Listed != View.m_Listed)
        continue;
      View.m_Others[Id] = Report;
      addSteps(State, Acting, Other + 1, View, Start, Next);
    }
    View.m_Others.erase(Id);
    return;
  }
  const FormationStep Step = nextStep(View);
  if (Step != FormationStep::Promise && Step != FormationStep::Form)
    return;
  World After = State;
  Machine &Changed = After.m_Machines[Acting];
  if (Step == FormationStep::Promise)
    Changed.m_Promise = proposedMembership(View);
  else
    Changed.m_Formed = true;
  if (Changed.m_Formed)
    After.m_Groups.insert(Changed.m_Promise);
  sendReport(After, Acting, Start);
  Next.push_back(std::move(After));
}

std::vector<World> eventsAt(const World &State, std::size_t Acting,
                            const Begin &Start, std::size_t MaxLosses) {
  std::vector<World> Next;
  const Machine &Now = State.m_Machines[Acting];
  if (!Now.m_Formed) {
    Formation View = begin(Now, Start);
    addSteps(State, Acting, 0, View, Start, Next);
    for (const std::vector<NodeId> &Seeds : LaterSeeds) {
      World Restarted = State;
      Restarted.m_Machines[Acting].m_Seeds = Seeds;
      Restarted.m_Machines[Acting].m_MayForm = false;
      sendReport(Restarted, Acting, Start);
      Next.push_back(std::move(Restarted));
    }
  }
  if (State.m_Losses < MaxLosses) {
    World Lost = State;
    ++Lost.m_Losses;
    Machine Empty =
        machine(Now.m_Id.m_Value.c_str(), {store::StartKind::Later, {}}, false);
    Empty.m_Incarnation = Now.m_Incarnation + "'";
    Lost.m_Machines[Acting] = Empty;
    sendReport(Lost, Acting, Start);
    Next.push_back(std::move(Lost));
  }
  return Next;
}

struct Explored {
  std::size_t m_States = 0;
  bool m_FormsGroup = false;
  bool m_FormsTwoGroups = false;
  bool m_IsComplete = true;
};

Explored explore(const std::vector<Machine> &Machines, const Begin &Start,
                 std::size_t MaxLosses) {
  constexpr std::size_t MaxStates = 1'000'000;
  Explored Result;
  std::unordered_set<std::string> Seen;
  std::deque<World> Waiting = {firstStart(Machines, Start)};
  Seen.insert(encode(Waiting.front()));
  while (!Waiting.empty() && !Result.m_FormsTwoGroups) {
    const World State = std::move(Waiting.front());
    Waiting.pop_front();
    Result.m_FormsGroup |= !State.m_Groups.empty();
    Result.m_FormsTwoGroups = State.m_Groups.size() > 1;
    for (std::size_t Acting = 0; Acting < Machines.size(); ++Acting)
      for (World &After : eventsAt(State, Acting, Start, MaxLosses))
        if (Seen.insert(encode(After)).second)
          Waiting.push_back(std::move(After));
    if (Seen.size() > MaxStates) {
      Result.m_IsComplete = false;
      break;
    }
  }
  Result.m_States = Seen.size();
  return Result;
}

/// The seeds of the first start, and two machines outside the first group.
std::vector<Machine> machines(const store::Origin &OfSeeds,
                              const store::Origin &OfOthers) {
  std::vector<Machine> All;
  for (const char *Name : {"a", "b"})
    All.push_back(machine(Name, OfSeeds, true));
  for (const char *Name : {"x", "y"})
    All.push_back(
        machine(Name, OfOthers, OfOthers.m_Kind == store::StartKind::First));
  return All;
}

} // namespace

// Guards against a second group of machines that were formatted after the first
// start, or that were not seeds of it (review case 6).
TEST_CASE("machines outside the first group never form a second one") {
  const store::Origin First = {store::StartKind::First, FirstSeeds};
  const store::Origin Later = {store::StartKind::Later, {}};
  const store::Origin Unknown = {};
  const Begin InUse = [](Formation &State, const Machine &Started) {
    applyOrigin(State, Started.m_Origin, ListKind::Seeds);
  };

  SECTION("any disk that is not empty may form: two groups are found") {
    const Begin AnyDisk = [](Formation &State, const Machine & /*Started*/) {
      State.m_MayForm = true;
      std::sort(State.m_Listed.begin(), State.m_Listed.end());
    };
    CHECK(explore(machines(First, Later), AnyDisk, 0).m_FormsTwoGroups);
  }
  SECTION("the mark without the seeds of the first start: two groups of disks "
          "that all have the mark") {
    const Begin MarkOnly = [](Formation &State, const Machine &Started) {
      State.m_MayForm = Started.m_Origin.m_Kind == store::StartKind::First;
      std::sort(State.m_Listed.begin(), State.m_Listed.end());
    };
    CHECK(explore(machines(First, First), MarkOnly, 0).m_FormsTwoGroups);
  }
  SECTION("the rule in use") {
    struct Row {
      const char *m_Name;
      std::vector<Machine> m_Machines;
    };
    const std::vector<Row> Table = {
        {"added machines", machines(First, Later)},
        {"machines of the first start that were not its seeds",
         machines(First, First)},
        {"added machines of an older build", machines(First, Unknown)},
        {"a first start of an older build", machines(Unknown, Unknown)},
    };
    for (const Row &Case : Table)
      for (std::size_t Losses = 0; Losses <= 2; ++Losses) {
        const Explored Found = explore(Case.m_Machines, InUse, Losses);
        INFO(Case.m_Name << ", " << Losses << " losses, " << Found.m_States
                         << " states");
        CHECK(Found.m_FormsGroup);
        CHECK_FALSE(Found.m_FormsTwoGroups);
        CHECK(Found.m_IsComplete);
      }
  }
}
