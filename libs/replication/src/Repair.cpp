// Selects membership changes that restore the size of the group.

#include "replication/replication.h"

#include <algorithm>

namespace wasabivale::replication {

namespace {

using consensus::MembershipChange;

struct Group {
  const GroupState &m_State;
  const RepairSettings &m_Settings;
  TimePoint m_Now;

  [[nodiscard]] bool isResponsive(const MemberStatus &Member) const {
    if (Member.m_Member.m_Id == m_State.m_Self)
      return true;
    // A new leader has not received any replies yet.
    const TimePoint LastContact =
        std::max(Member.m_HeardAt, m_State.m_LeaderSince);
    return m_Now - LastContact < m_Settings.m_SilenceTimeout;
  }

  [[nodiscard]] const MemberStatus *findMember(const NodeId &Name) const {
    for (const MemberStatus &Member : m_State.m_Members)
      if (Member.m_Member.m_Id == Name)
        return &Member;
    return nullptr;
  }

  [[nodiscard]] std::size_t voterCount() const {
    return static_cast<std::size_t>(std::count_if(
        m_State.m_Members.begin(), m_State.m_Members.end(),
        [](const MemberStatus &Member) { return Member.m_Member.m_Voter; }));
  }

  /// Whether a quorum of the voters other than \p Excluded is responsive.
  [[nodiscard]] bool canCommitWithout(const NodeId &Excluded) const {
    std::size_t Voters = 0;
    std::size_t Responsive = 0;
    for (const MemberStatus &Member : m_State.m_Members) {
      if (!Member.m_Member.m_Voter || Member.m_Member.m_Id == Excluded)
        continue;
      ++Voters;
      Responsive += isResponsive(Member) ? 1 : 0;
    }
    return Voters > 0 && Responsive >= Voters / 2 + 1;
  }

  /// \returns the member that has been silent longest, or null.
  [[nodiscard]] const MemberStatus *findSilent(bool Voter) const {
    const MemberStatus *Longest = nullptr;
    for (const MemberStatus &Member : m_State.m_Members)
      if (Member.m_Member.m_Voter == Voter && !isResponsive(Member) &&
          (Longest == nullptr || Member.m_HeardAt < Longest->m_HeardAt))
        Longest = &Member;
    return Longest;
  }
};

/// Replaces the disk of a member that returned with another incarnation.
std::optional<MembershipChange> replaceDisk(const Group &Group) {
  for (const auto &[Name, Incarnation] : Group.m_State.m_Newcomers)
    if (Group.findMember(Name) != nullptr && Group.canCommitWithout(Name))
      return consensus::ReplaceMember{Name, Incarnation};
  return std::nullopt;
}

std::optional<MembershipChange> admitNewcomer(const Group &Group) {
  const std::size_t Members = Group.m_State.m_Members.size();
  const bool IsIncomplete = Members < Group.m_Settings.m_VoterCount;
  const bool HasSilentVoter = Members == Group.m_Settings.m_VoterCount &&
                              Group.findSilent(true) != nullptr;
  if ((!IsIncomplete && !HasSilentVoter) || !Group.canCommitWithout({}))
    return std::nullopt;
  for (const auto &[Name, Incarnation] : Group.m_State.m_Newcomers) {
    if (Group.findMember(Name) != nullptr)
      continue;
    consensus::Member Newcomer;
    Newcomer.m_Id = Name;
    Newcomer.m_Incarnation = Incarnation;
    return consensus::AddLearner{Newcomer};
  }
  return std::nullopt;
}

std::optional<MembershipChange> removeSilent(const Group &Group) {
  if (const MemberStatus *Learner = Group.findSilent(false))
    return consensus::RemoveMember{Learner->m_Member.m_Id};
  if (Group.voterCount() <= Group.m_Settings.m_VoterCount)
    return std::nullopt;
  const MemberStatus *Voter = Group.findSilent(true);
  if (Voter == nullptr || !Group.canCommitWithout(Voter->m_Member.m_Id))
    return std::nullopt;
  return consensus::RemoveMember{Voter->m_Member.m_Id};
}

} // namespace

std::string describe(const MembershipChange &Change) {
  struct Print {
    std::string operator()(const consensus::AddLearner &Addition) const {
      return "add_learner " + Addition.m_Member.m_Id.m_Value;
    }
    std::string operator()(const consensus::ReplaceMember &Replacement) const {
      return "replace_disk " + Replacement.m_Id.m_Value;
    }
    std::string operator()(const consensus::PromoteMember &Promotion) const {
      return "promote " + Promotion.m_Id.m_Value;
    }
    std::string operator()(const consensus::RemoveMember &Removal) const {
      return "remove " + Removal.m_Id.m_Value;
    }
  };
  return std::visit(Print{}, Change);
}

std::optional<MembershipChange> nextRepair(const GroupState &State,
                                           const RepairSettings &Settings,
                                           TimePoint Now) {
  const Group Current{State, Settings, Now};
  for (const auto Repair : {replaceDisk, removeSilent, admitNewcomer})
    if (auto Next = Repair(Current))
      return Next;
  return std::nullopt;
}

} // namespace wasabivale::replication
