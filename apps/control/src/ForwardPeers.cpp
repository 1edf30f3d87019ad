#include "ForwardPeers.h"

#include <fmt/format.h>

namespace wasabivale::control {

namespace {

/// Identifies what one entry is told; never zero.
std::uint64_t hashPeers(const std::vector<fleet::ForwardPeer> &Peers) {
  std::uint64_t Hash = 1;
  for (const fleet::ForwardPeer &Peer : Peers)
    Hash = hashBytes(fmt::format("{} {}", Peer.m_Entry.m_Value, Peer.m_Address),
                     Hash);
  return Hash == 0 ? 1 : Hash;
}

} // namespace

void fillForwardPeers(const fleet::ObservedState &Observed, const NodeId &Entry,
                      const wire::EntryReport &Report, TimePoint Now,
                      wire::ControlGrant &Grant) {
  if (Now < Observed.m_CompleteAt)
    return;
  const std::vector<fleet::ForwardPeer> Peers =
      fleet::chooseForwardPeers(Observed, Entry, Now);
  Grant.set_forward_peers_revision(hashPeers(Peers));
  if (Grant.forward_peers_revision() == Report.forward_peers_revision())
    return;
  for (const fleet::ForwardPeer &Peer : Peers) {
    wire::ForwardPeer &Row = *Grant.add_forward_peers();
    Row.set_entry(Peer.m_Entry.m_Value);
    Row.set_address(Peer.m_Address);
  }
}

} // namespace wasabivale::control
