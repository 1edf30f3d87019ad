/// \file
/// Protobuf messages over ZeroMQ between the system's own processes.
///
/// A `Hub` listens on one address and connects to known peers. Every peer
/// proves its identity with a CURVE key; a key that is not in the settings gets
/// no further than the handshake, and a message whose sender differs from the
/// identity of its key is dropped. Without keys of its own a hub speaks in the
/// clear and takes each peer's word for its identity: for private networks
/// where nobody hands out keys. Nothing waits in a socket for a peer that is
/// not connected, and queues are bounded: a message that cannot go out at once
/// is dropped, counted, and the sender is told.
///
/// A hub runs on the libevent loop that it is given and is not thread-safe.

#ifndef WASABIVALE_WIRE_WIRE_H
#define WASABIVALE_WIRE_WIRE_H

#include "base/base.h"
#include "metrics/metrics.h"
#include "wire.pb.h"

#include <event2/event.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wasabivale::wire {

/// Version of the messages that this build sends. It understands this and the
/// one before.
inline constexpr std::uint32_t ProtocolVersion = 1;

/// Largest message accepted or sent, in bytes.
inline constexpr std::size_t LargestMessageBytes = 16U << 20U;

/// A CURVE key pair in Z85 text (40 characters each).
struct KeyPair {
  std::string m_Public;
  std::string m_Secret;
};

/// Makes a fresh key pair.
Result<KeyPair> generateKeys();

/// A process that may connect, or be connected to.
struct Peer {
  NodeId m_Id;
  std::string m_PublicKey;
  std::string m_Address; ///< `ip:port`; empty if this side never connects.
};

struct HubOptions {
  NodeId m_Self;
  RegionId m_Region;
  ZoneId m_Zone;
  KeyPair m_Keys;              ///< Both empty: no authentication.
  std::string m_ListenAddress; ///< `ip:port`; empty to connect only.
  std::vector<Peer> m_Peers;
  int m_QueueMessages = 256; ///< Bound of each peer's queue, both ways.
};

class Hub {
public:
  using OnMessage = std::function<void(const NodeId &From, const Envelope &)>;

  /// Opens the sockets. \p Loop and \p Registry must outlive the hub.
  static Result<std::unique_ptr<Hub>> open(event_base *Loop, HubOptions Options,
                                           metrics::Registry &Registry,
                                           OnMessage Handler);
  ~Hub();
  Hub(const Hub &) = delete;
  Hub &operator=(const Hub &) = delete;

  /// Sends \p Message, whose version, sender, session, sequence, region and
  /// zone are filled in here. \returns an error when it was dropped: unknown
  /// or unconnected peer, full queue, or too large.
  Status send(const NodeId &To, Envelope Message);

  /// Connects to a peer that was found after the start, or to its new address.
  /// Does nothing when it is connected to there already.
  Status connect(const Peer &To);
  /// Drops the connection that was made to a peer.
  void disconnect(const NodeId &To);

  /// Random number of this start of the process.
  [[nodiscard]] std::uint64_t session() const;

private:
  struct State;
  explicit Hub(std::unique_ptr<State> Owned);
  std::unique_ptr<State> m_State;
};

} // namespace wasabivale::wire

#endif // WASABIVALE_WIRE_WIRE_H
