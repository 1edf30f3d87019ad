#include "StateDigests.h"

#include <algorithm>

namespace wasabivale::replication {

namespace {

/// Bounds how far a member may lag and still be compared.
constexpr std::size_t MaxOwnDigests = 16;

} // namespace

void recordOwn(StateDigests &Digests, const StateDigest &Own) {
  Digests.m_Own.push_back(Own);
  if (Digests.m_Own.size() > MaxOwnDigests)
    Digests.m_Own.pop_front();
}

void forgetOwn(StateDigests &Digests) { Digests.m_Own.clear(); }

void keepMembers(StateDigests &Digests,
                 const consensus::Membership &Membership) {
  std::erase_if(Digests.m_Compared, [&](const auto &Compared) {
    return consensus::findMember(Membership, Compared.first) == nullptr;
  });
}

DigestComparison compare(StateDigests &Digests, const NodeId &Member,
                         const StateDigest &Reported) {
  const auto Own = std::find_if(Digests.m_Own.begin(), Digests.m_Own.end(),
                                [&](const StateDigest &Each) {
                                  return Each.m_Index == Reported.m_Index &&
                                         Each.m_Format == Reported.m_Format;
                                });
  consensus::Index &Compared = Digests.m_Compared[Member];
  if (Own == Digests.m_Own.end() || Reported.m_Index <= Compared)
    return DigestComparison::Skipped;
  Compared = Reported.m_Index;
  return Own->m_Value == Reported.m_Value ? DigestComparison::Equal
                                          : DigestComparison::Different;
}

} // namespace wasabivale::replication
