// Which membership change brings the group back to its size.

#include "replication/replication.h"

#include <algorithm>

namespace wasabivale::replication {

namespace {

using consensus::MembershipChange;

struct Group {
  const GroupState &m_Facts;
  const RepairSettings &m_Rules;
  TimePoint m_Now;

  [[nodiscard]] bool answers(const MemberStatus &Which) const {
    if (Which.m_Member.m_Id == m_Facts.m_Self)
      return true;
    // A new leader has not heard from anybody yet.
    const TimePoint Since = std::max(Which.m_HeardAt, m_Facts.m_LeaderSince);
    return m_Now - Since < m_Rules.m_SilenceTimeout;
  }

  [[nodiscard]] const MemberStatus *find(const NodeId &Name) const {
    for (const MemberStatus &Each : m_Facts.m_Members)
      if (Each.m_Member.m_Id == Name)
        return &Each;
    return nullptr;
  }

  [[nodiscard]] std::size_t voters() const {
    return static_cast<std::size_t>(std::count_if(
        m_Facts.m_Members.begin(), m_Facts.m_Members.end(),
        [](const MemberStatus &Each) { return Each.m_Member.m_Voter; }));
  }

  /// Whether a quorum of the voters without \p Leaving answers.
  [[nodiscard]] bool commitsWithout(const NodeId &Leaving) const {
    std::size_t Left = 0;
    std::size_t Answering = 0;
    for (const MemberStatus &Each : m_Facts.m_Members) {
      if (!Each.m_Member.m_Voter || Each.m_Member.m_Id == Leaving)
        continue;
      ++Left;
      Answering += answers(Each) ? 1 : 0;
    }
    return Left > 0 && Answering >= Left / 2 + 1;
  }

  /// The member that has been silent for longest, or null.
  [[nodiscard]] const MemberStatus *gone(bool Voter) const {
    const MemberStatus *Found = nullptr;
    for (const MemberStatus &Each : m_Facts.m_Members)
      if (Each.m_Member.m_Voter == Voter && !answers(Each) &&
          (Found == nullptr || Each.m_HeardAt < Found->m_HeardAt))
        Found = &Each;
    return Found;
  }
};

/// A member that came back with another disk.
std::optional<MembershipChange> replaceDisk(const Group &Of) {
  for (const auto &[Name, Incarnation] : Of.m_Facts.m_Newcomers)
    if (Of.find(Name) != nullptr && Of.commitsWithout(Name))
      return consensus::ReplaceMember{Name, Incarnation};
  return std::nullopt;
}

std::optional<MembershipChange> admit(const Group &Of) {
  const std::size_t Members = Of.m_Facts.m_Members.size();
  const bool Short = Members < Of.m_Rules.m_VoterCount;
  const bool Replaces =
      Members == Of.m_Rules.m_VoterCount && Of.gone(true) != nullptr;
  if ((!Short && !Replaces) || !Of.commitsWithout({}))
    return std::nullopt;
  for (const auto &[Name, Incarnation] : Of.m_Facts.m_Newcomers) {
    if (Of.find(Name) != nullptr)
      continue;
    consensus::Member Made;
    Made.m_Id = Name;
    Made.m_Incarnation = Incarnation;
    return consensus::AddLearner{Made};
  }
  return std::nullopt;
}

std::optional<MembershipChange> removeGone(const Group &Of) {
  if (const MemberStatus *Learner = Of.gone(false))
    return consensus::RemoveMember{Learner->m_Member.m_Id};
  if (Of.voters() <= Of.m_Rules.m_VoterCount)
    return std::nullopt;
  const MemberStatus *Voter = Of.gone(true);
  if (Voter == nullptr || !Of.commitsWithout(Voter->m_Member.m_Id))
    return std::nullopt;
  return consensus::RemoveMember{Voter->m_Member.m_Id};
}

} // namespace

std::string describe(const MembershipChange &Change) {
  struct Print {
    std::string operator()(const consensus::AddLearner &Of) const {
      return "add_learner " + Of.m_Member.m_Id.m_Value;
    }
    std::string operator()(const consensus::ReplaceMember &Of) const {
      return "replace_disk " + Of.m_Id.m_Value;
    }
    std::string operator()(const consensus::PromoteMember &Of) const {
      return "promote " + Of.m_Id.m_Value;
    }
    std::string operator()(const consensus::RemoveMember &Of) const {
      return "remove " + Of.m_Id.m_Value;
    }
  };
  return std::visit(Print{}, Change);
}

std::optional<MembershipChange> nextRepair(const GroupState &Facts,
                                           const RepairSettings &Rules,
                                           TimePoint Now) {
  const Group Of{Facts, Rules, Now};
  for (const auto Step : {replaceDisk, removeGone, admit})
    if (auto Next = Step(Of))
      return Next;
  return std::nullopt;
}

} // namespace wasabivale::replication
