#include "fleet/fleet.h"

#include <algorithm>
#include <tuple>

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

/// Inserts a candidate unless the list has enough better ones.
void keepBest(std::vector<Candidate> &Best, const Candidate &Peer) {
  const auto Position =
      std::upper_bound(Best.begin(), Best.end(), Peer,
                       [](const Candidate &Left, const Candidate &Right) {
                         return Left.m_Score > Right.m_Score;
                       });
  if (Position == Best.end() && Best.size() == MaxForwardPeers)
    return;
  Best.insert(Position, Peer);
  if (Best.size() > MaxForwardPeers)
    Best.pop_back();
}

/// The best candidates of each zone, the highest score first. Every report of
/// an entry asks for them, so they are not sorted whole.
std::map<ZoneId, std::vector<Candidate>>
bestByZone(const ObservedState &Observed, const NodeId &Entry, TimePoint Now) {
  std::map<ZoneId, std::vector<Candidate>> Best;
  const std::uint64_t Seed = hashBytes(Entry.m_Value);
  for (const auto &[Id, View] : Observed.m_Entries)
    if (Id != Entry && takesForwards(View, Now))
      keepBest(Best[View.m_Zone], {hashBytes(Id.m_Value, Seed), 0, &Id, &View});
  return Best;
}

} // namespace

std::vector<ForwardPeer> chooseForwardPeers(const ObservedState &Observed,
                                            const NodeId &Entry,
                                            TimePoint Now) {
  // What cuts an entry often cuts all of its zone.
  const auto Own = Observed.m_Entries.find(Entry);
  std::vector<Candidate> Scored;
  for (auto &[Zone, Peers] : bestByZone(Observed, Entry, Now)) {
    const bool IsOwnZone =
        Own != Observed.m_Entries.end() && Own->second.m_Zone == Zone;
    std::size_t Rank = IsOwnZone ? 1 : 0;
    for (Candidate Peer : Peers) {
      Peer.m_RankInZone = Rank++;
      Scored.push_back(Peer);
    }
  }
  std::sort(Scored.begin(), Scored.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return std::tuple(Left.m_RankInZone, Right.m_Score) <
                     std::tuple(Right.m_RankInZone, Left.m_Score);
            });
  Scored.resize(std::min(Scored.size(), MaxForwardPeers));
  std::vector<ForwardPeer> Chosen;
  Chosen.reserve(Scored.size());
  for (const Candidate &Peer : Scored)
    Chosen.push_back({*Peer.m_Entry, Peer.m_View->m_ForwardAddress});
  return Chosen;
}

} // namespace wasabivale::fleet
