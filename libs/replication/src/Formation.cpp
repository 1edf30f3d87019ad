#include "Formation.h"

#include <algorithm>

namespace wasabivale::replication {

static bool hasHeardAll(const Formation &Of) {
  return std::all_of(Of.m_Listed.begin(), Of.m_Listed.end(),
                     [&](const NodeId &Each) {
                       return Each == Of.m_Self || Of.m_Others.count(Each) != 0;
                     });
}

static FormationStep stepAfterPromise(const Formation &Of) {
  bool All = hasHeardAll(Of);
  for (const auto &[Id, Other] : Of.m_Others) {
    const bool Same = Other.m_Promise == Of.m_Own.m_Promise;
    // A member forms only after it knows that all have promised.
    if (Other.m_Formed && Same)
      return FormationStep::Form;
    if (Other.m_Formed || (!Other.m_Promise.empty() && !Same))
      return FormationStep::Stalled;
    All = All && Same;
  }
  return All ? FormationStep::Form : FormationStep::Wait;
}

FormationStep nextStep(const Formation &Of) {
  const bool IsListed = std::find(Of.m_Listed.begin(), Of.m_Listed.end(),
                                  Of.m_Self) != Of.m_Listed.end();
  if (!IsListed || (!Of.m_MayForm && Of.m_Own.m_Promise.empty()))
    return FormationStep::Passive;
  if (!Of.m_Own.m_Promise.empty())
    return stepAfterPromise(Of);
  for (const auto &[Id, Other] : Of.m_Others)
    if (Other.m_Formed)
      return FormationStep::Passive;
  return hasHeardAll(Of) ? FormationStep::Promise : FormationStep::Wait;
}

std::string proposedMembership(const Formation &Of) {
  consensus::Membership Made;
  for (const NodeId &Each : Of.m_Listed) {
    const FormationView &View =
        Each == Of.m_Self ? Of.m_Own : Of.m_Others.at(Each);
    Made.m_Members.push_back({Each, View.m_Incarnation, true, "", {}, {}});
  }
  return consensus::encodeMembership(Made);
}

wire::Formation toWire(const Formation &Of) {
  wire::Formation Made;
  Made.set_cluster(Of.m_Cluster);
  for (const NodeId &Each : Of.m_Listed)
    Made.add_listed(Each.m_Value);
  if (!Of.m_Own.m_Promise.empty())
    Made.mutable_promised()->ParseFromString(Of.m_Own.m_Promise);
  Made.set_formed(Of.m_Own.m_Formed);
  return Made;
}

bool note(Formation &Into, const NodeId &From, const std::string &Incarnation,
          const wire::Formation &Said) {
  const bool IsListed = std::find(Into.m_Listed.begin(), Into.m_Listed.end(),
                                  From) != Into.m_Listed.end();
  if (Said.cluster() != Into.m_Cluster || !IsListed || Incarnation.empty() ||
      From == Into.m_Self)
    return false;
  if (!Said.formed()) {
    std::vector<NodeId> Listed;
    for (const std::string &Each : Said.listed())
      Listed.push_back({Each});
    if (Listed != Into.m_Listed)
      return false;
  }
  FormationView View{Incarnation, "", Said.formed()};
  if (Said.has_promised())
    View.m_Promise = Said.promised().SerializeAsString();
  Into.m_Others[From] = View;
  return true;
}

} // namespace wasabivale::replication
