#include "Formation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <set>
#include <unordered_set>

using namespace wasabivale;
using namespace wasabivale::replication;

namespace {

/// A rule of formation: its next step, and the membership that it promises.
struct Rule {
  FormationStep (*m_Next)(const Formation &);
  std::string (*m_Propose)(const Formation &);
  /// Whether a disk that came empty later is kept from forming a group also
  /// after a restart.
  bool m_RemembersLateDisks;
};

/// The members whose reports are there, as listed members.
Formation withKnownOnly(const Formation &State) {
  Formation Known = State;
  Known.m_Listed.clear();
  for (const NodeId &Member : State.m_Listed)
    if (Member == State.m_Self || State.m_Others.count(Member) != 0)
      Known.m_Listed.push_back(Member);
  return Known;
}

/// A rule that is not in use: any majority that has made one promise forms it.
FormationStep nextStepOfMajority(const Formation &State) {
  const std::size_t Majority = State.m_Listed.size() / 2 + 1;
  Formation Known = withKnownOnly(State);
  const std::string &Own = State.m_Own.m_Promise;
  if (Own.empty())
    return Known.m_Listed.size() < Majority ? FormationStep::Wait
                                            : nextStep(Known);
  const auto Members = consensus::decodeMembership(Own);
  std::size_t Same = 0;
  for (const consensus::Member &Promised : valueOf(Members).m_Members) {
    const auto Other = State.m_Others.find(Promised.m_Id);
    const bool IsSame =
        Promised.m_Id == State.m_Self ||
        (Other != State.m_Others.end() && Other->second.m_Promise == Own);
    Same += IsSame ? 1 : 0;
  }
  return Same == valueOf(Members).m_Members.size() ? FormationStep::Form
                                                   : FormationStep::Wait;
}

std::string proposeKnown(const Formation &State) {
  return proposedMembership(withKnownOnly(State));
}

/// All seeds, what each has ever reported, and the groups that were formed.
struct World {
  std::vector<Formation> m_Seeds;
  std::vector<std::vector<FormationReport>> m_Sent;
  std::set<std::string> m_Groups;
  std::size_t m_Losses = 0;
};

World firstStart(std::size_t Seeds) {
  World Fresh;
  std::vector<NodeId> Listed;
  for (std::size_t Seed = 0; Seed < Seeds; ++Seed)
    Listed.push_back({"c" + std::to_string(Seed)});
  for (const NodeId &Member : Listed) {
    Formation State;
    State.m_Self = Member;
    State.m_Listed = Listed;
    State.m_Own.m_Incarnation = Member.m_Value + "-0";
    Fresh.m_Seeds.push_back(State);
    Fresh.m_Sent.push_back({State.m_Own});
  }
  return Fresh;
}

std::string describeReport(const FormationReport &Report) {
  return Report.m_Incarnation + (Report.m_Formed ? "!" : "?") +
         Report.m_Promise + ";";
}

std::string encode(const World &State) {
  std::string Key = std::to_string(State.m_Losses);
  for (const Formation &Seed : State.m_Seeds) {
    Key += Seed.m_MayForm ? "/y" : "/n";
    Key += describeReport(Seed.m_Own);
  }
  for (const auto &Sent : State.m_Sent)
    for (const FormationReport &Report : Sent)
      Key += describeReport(Report);
  for (const std::string &Group : State.m_Groups)
    Key += "#" + Group;
  return Key;
}

void report(World &State, std::size_t Seed) {
  State.m_Sent[Seed].push_back(State.m_Seeds[Seed].m_Own);
}

/// Adds what \p Seed does when it has received any of the reports of the others
/// from \p Other on. As it may be restarted at any moment, it may know any
/// report that was ever sent, or none.
void addSteps(const World &State, std::size_t Seed, std::size_t Other,
              Formation &View, const Rule &Tested, std::vector<World> &Next) {
  if (Other < State.m_Seeds.size()) {
    const NodeId &Id = State.m_Seeds[Other].m_Self;
    addSteps(State, Seed, Other + 1, View, Tested, Next);
    if (Other == Seed)
      return;
    for (const FormationReport &Received : State.m_Sent[Other]) {
      View.m_Others[Id] = Received;
      addSteps(State, Seed, Other + 1, View, Tested, Next);
    }
    View.m_Others.erase(Id);
    return;
  }
  const FormationStep Step = Tested.m_Next(View);
  if (Step != FormationStep::Promise && Step != FormationStep::Form)
    return;
  World After = State;
  FormationReport &Own = After.m_Seeds[Seed].m_Own;
  if (Step == FormationStep::Promise)
    Own.m_Promise = Tested.m_Propose(View);
  else
    Own.m_Formed = true;
  if (Own.m_Formed)
    After.m_Groups.insert(Own.m_Promise);
  report(After, Seed);
  Next.push_back(std::move(After));
}

/// The states that one event at \p Seed leads to.
std::vector<World> eventsAt(const World &State, std::size_t Seed,
                            const Rule &Tested, std::size_t MostLosses) {
  std::vector<World> Next;
  const Formation &Now = State.m_Seeds[Seed];
  if (!Now.m_Own.m_Formed) {
    Formation View = Now;
    addSteps(State, Seed, 0, View, Tested, Next);
  }
  if (!Now.m_MayForm && !Tested.m_RemembersLateDisks) {
    World Restarted = State;
    Restarted.m_Seeds[Seed].m_MayForm = true;
    Next.push_back(std::move(Restarted));
  }
  if (State.m_Losses < MostLosses) {
    World Lost = State;
    ++Lost.m_Losses;
    Formation &Empty = Lost.m_Seeds[Seed];
    Empty.m_MayForm = false;
    Empty.m_Own = {Empty.m_Own.m_Incarnation + "'", "", false};
    report(Lost, Seed);
    Next.push_back(std::move(Lost));
  }
  return Next;
}

struct Explored {
  std::size_t m_States = 0;
  bool m_FormsTwoGroups = false;
  bool m_FormsWithoutSeed = false; ///< With a seed that never reports.
  bool m_Stalls =
      false; ///< Nothing can happen any more, and no group is there.
  bool m_IsComplete = true;
};

Explored explore(const Rule &Tested, std::size_t Seeds, std::size_t MostLosses,
                 std::size_t MostStates, bool LastIsSilent = false) {
  Explored Result;
  std::unordered_set<std::string> Seen;
  std::deque<World> Waiting = {firstStart(Seeds)};
  if (LastIsSilent)
    Waiting.front().m_Sent.back().clear();
  Seen.insert(encode(Waiting.front()));
  while (!Waiting.empty()) {
    const World State = std::move(Waiting.front());
    Waiting.pop_front();
    Result.m_FormsWithoutSeed |= LastIsSilent && !State.m_Groups.empty();
    if (State.m_Groups.size() > 1) {
      Result.m_FormsTwoGroups = true;
      break;
    }
    const std::size_t Acting = Seeds - (LastIsSilent ? 1 : 0);
    bool IsLast = true;
    for (std::size_t Seed = 0; Seed < Acting; ++Seed)
      for (World &After : eventsAt(State, Seed, Tested, MostLosses)) {
        IsLast = false;
        if (Seen.insert(encode(After)).second)
          Waiting.push_back(std::move(After));
      }
    Result.m_Stalls |= IsLast && State.m_Groups.empty();
    if (Seen.size() > MostStates) {
      Result.m_IsComplete = false;
      break;
    }
  }
  Result.m_States = Seen.size();
  return Result;
}

} // namespace

TEST_CASE("no order of reports, restarts and lost disks forms two groups") {
  const Rule InUse = {nextStep, proposedMembership, false};
  const Rule Majority = {nextStepOfMajority, proposeKnown, false};
  const Rule RememberingMajority = {nextStepOfMajority, proposeKnown, true};
  constexpr std::size_t MostStates = 20000;

  SECTION("the rule in use forms one group, and needs every seed") {
    for (std::size_t Losses = 0; Losses <= 2; ++Losses) {
      const Explored Found = explore(InUse, 3, Losses, MostStates);
      INFO(Losses << " losses, " << Found.m_States << " states");
      CHECK_FALSE(Found.m_FormsTwoGroups);
      CHECK(Found.m_IsComplete);
    }
    CHECK_FALSE(explore(InUse, 3, 0, MostStates).m_Stalls);
    CHECK_FALSE(explore(InUse, 3, 0, MostStates, true).m_FormsWithoutSeed);
  }
  SECTION("the model finds the two groups that a majority of disks can form") {
    const Explored Found = explore(Majority, 3, 1, MostStates);
    INFO(Found.m_States << " states");
    CHECK(Found.m_FormsTwoGroups);
    CHECK(explore(Majority, 3, 0, MostStates, true).m_FormsWithoutSeed);
  }
  SECTION("a majority of first disks forms one group, but may stall") {
    for (std::size_t Losses = 0; Losses <= 2; ++Losses) {
      const Explored Found =
          explore(RememberingMajority, 3, Losses, MostStates);
      INFO(Losses << " losses, " << Found.m_States << " states");
      CHECK_FALSE(Found.m_FormsTwoGroups);
      CHECK(Found.m_IsComplete);
    }
    CHECK(explore(RememberingMajority, 3, 0, MostStates).m_Stalls);
  }
}
