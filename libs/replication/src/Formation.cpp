#include "Formation.h"

#include <algorithm>

namespace wasabivale::replication {

static bool hasAllReports(const Formation &State) {
  return std::all_of(
      State.m_Listed.begin(), State.m_Listed.end(), [&](const NodeId &Member) {
        return Member == State.m_Self || State.m_Others.count(Member) != 0;
      });
}

static FormationStep stepAfterPromise(const Formation &State) {
  bool IsComplete = hasAllReports(State);
  for (const auto &[Id, Other] : State.m_Others) {
    const bool IsSame = Other.m_Promise == State.m_Own.m_Promise;
    // A member forms the cluster only once all members have promised the same.
    if (Other.m_Formed && IsSame)
      return FormationStep::Form;
    if (Other.m_Formed || (!Other.m_Promise.empty() && !IsSame))
      return FormationStep::Stalled;
    IsComplete = IsComplete && IsSame;
  }
  return IsComplete ? FormationStep::Form : FormationStep::Wait;
}

static std::vector<NodeId> promisedMembers(const std::string &Promise) {
  std::vector<NodeId> Members;
  if (const auto Decoded = consensus::decodeMembership(Promise);
      !failed(Decoded))
    for (const consensus::Member &Member : valueOf(Decoded).m_Members)
      Members.push_back(Member.m_Id);
  return Members;
}

void applyOrigin(Formation &State, const store::Origin &Recorded,
                 ListKind Kind) {
  if (Kind == ListKind::Seeds) {
    if (!State.m_Own.m_Promise.empty()) {
      State.m_Listed = promisedMembers(State.m_Own.m_Promise);
    } else if (Recorded.m_Kind != store::StartKind::Unknown) {
      State.m_MayForm = Recorded.m_Kind == store::StartKind::First;
      State.m_Listed = Recorded.m_Seeds;
    }
  }
  std::sort(State.m_Listed.begin(), State.m_Listed.end());
}

FormationStep nextStep(const Formation &State) {
  const bool IsListed = std::find(State.m_Listed.begin(), State.m_Listed.end(),
                                  State.m_Self) != State.m_Listed.end();
  if (!IsListed || (!State.m_MayForm && State.m_Own.m_Promise.empty()))
    return FormationStep::Passive;
  if (!State.m_Own.m_Promise.empty())
    return stepAfterPromise(State);
  for (const auto &[Id, Other] : State.m_Others)
    if (Other.m_Formed)
      return FormationStep::Passive;
  return hasAllReports(State) ? FormationStep::Promise : FormationStep::Wait;
}

std::string proposedMembership(const Formation &State) {
  consensus::Membership Proposed;
  for (const NodeId &Member : State.m_Listed) {
    const FormationReport &Report =
        Member == State.m_Self ? State.m_Own : State.m_Others.at(Member);
    Proposed.m_Members.push_back(
        {Member, Report.m_Incarnation, true, "", {}, {}});
  }
  return consensus::encodeMembership(Proposed);
}

wire::Formation toWire(const Formation &State) {
  wire::Formation Wire;
  Wire.set_cluster(State.m_Cluster);
  for (const NodeId &Member : State.m_Listed)
    Wire.add_listed(Member.m_Value);
  if (!State.m_Own.m_Promise.empty())
    Wire.mutable_promised()->ParseFromString(State.m_Own.m_Promise);
  Wire.set_formed(State.m_Own.m_Formed);
  return Wire;
}

bool recordReport(Formation &State, const NodeId &Sender,
                  const std::string &Incarnation,
                  const wire::Formation &Report) {
  const bool IsListed = std::find(State.m_Listed.begin(), State.m_Listed.end(),
                                  Sender) != State.m_Listed.end();
  if (Report.cluster() != State.m_Cluster || !IsListed || Incarnation.empty() ||
      Sender == State.m_Self)
    return false;
  if (!Report.formed()) {
    std::vector<NodeId> Listed;
    for (const std::string &Member : Report.listed())
      Listed.push_back({Member});
    if (Listed != State.m_Listed)
      return false;
  }
  FormationReport Received{Incarnation, "", Report.formed()};
  if (Report.has_promised())
    Received.m_Promise = Report.promised().SerializeAsString();
  State.m_Others[Sender] = Received;
  return true;
}

} // namespace wasabivale::replication
