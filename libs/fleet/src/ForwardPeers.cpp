#include "fleet/fleet.h"

#include <algorithm>

namespace wasabivale::fleet {

namespace {

struct Candidate {
  std::uint64_t m_Score = 0;
  std::size_t m_RankInZone = 0;
  const NodeId *m_Entry = nullptr;
  const EntryView *m_View = nullptr;
};

bool takesForwards(const EntryView &View, TimePoint Now) {
  return View.m_LeaseUntil > Now && !View.m_TargetsUnreachable &&
         !View.m_ForwardAddress.empty();
}

/// Candidates in the order of their scores, the highest first.
std::vector<Candidate> scoreCandidates(const ObservedState &Observed,
                                       const NodeId &Entry, TimePoint Now) {
  std::vector<Candidate> Scored;
  const std::uint64_t Seed = hashBytes(Entry.m_Value);
  for (const auto &[Id, View] : Observed.m_Entries)
    if (Id != Entry && takesForwards(View, Now))
      Scored.push_back({hashBytes(Id.m_Value, Seed), 0, &Id, &View});
  std::sort(Scored.begin(), Scored.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return Left.m_Score > Right.m_Score;
            });
  return Scored;
}

} // namespace

std::vector<ForwardPeer> chooseForwardPeers(const ObservedState &Observed,
                                            const NodeId &Entry,
                                            TimePoint Now) {
  std::vector<Candidate> Scored = scoreCandidates(Observed, Entry, Now);
  std::map<ZoneId, std::size_t> Ranks;
  // What cuts an entry often cuts all of its zone.
  if (const auto Own = Observed.m_Entries.find(Entry);
      Own != Observed.m_Entries.end())
    Ranks[Own->second.m_Zone] = 1;
  for (Candidate &Peer : Scored)
    Peer.m_RankInZone = Ranks[Peer.m_View->m_Zone]++;
  std::stable_sort(Scored.begin(), Scored.end(),
                   [](const Candidate &Left, const Candidate &Right) {
                     return Left.m_RankInZone < Right.m_RankInZone;
                   });
  Scored.resize(std::min(Scored.size(), MaxForwardPeers));
  std::vector<ForwardPeer> Chosen;
  Chosen.reserve(Scored.size());
  for (const Candidate &Peer : Scored)
    Chosen.push_back({*Peer.m_Entry, Peer.m_View->m_ForwardAddress});
  return Chosen;
}

} // namespace wasabivale::fleet
