#include "Socket.h"
#include "events/events.h"
#include "wire/wire.h"

#include <array>
#include <fmt/format.h>

namespace wasabivale::wire {

namespace {

constexpr std::string_view ZapAddress = "inproc://zeromq.zap.01";
/// A connection that has gone silent is replaced before a lease of two seconds
/// that depends on it runs out.
constexpr std::chrono::milliseconds HeartbeatInterval{500};
constexpr std::chrono::milliseconds HeartbeatTimeout{1500};
/// The kernel's own retries of a connect back off for minutes.
constexpr std::chrono::milliseconds ConnectTimeout{1000};
constexpr std::chrono::milliseconds FirstReconnect{50};
constexpr std::chrono::milliseconds LongestReconnect{1000};
/// How many messages one turn of the loop takes before other events run.
constexpr int MessagesPerTurn = 64;
constexpr std::size_t Z85KeyLength = 40;
constexpr std::size_t RawKeyBytes = 32;

std::string toZ85(const std::string &Raw) {
  std::array<char, Z85KeyLength + 1> Text{};
  if (Raw.size() != RawKeyBytes ||
      zmq_z85_encode(Text.data(),
                     reinterpret_cast<const std::uint8_t *>(Raw.data()),
                     Raw.size()) == nullptr)
    return "";
  return Text.data();
}

} // namespace

struct Hub::State {
  event_base *m_Loop = nullptr;
  HubOptions m_Options;
  metrics::Registry *m_Registry = nullptr;
  OnMessage m_Handler;
  std::uint64_t m_Session = 0;
  std::uint64_t m_Sequence = 0;
  std::map<std::string, NodeId> m_IdByKey;

  // A socket with its event; `m_From` is set where one peer is at the end.
  struct Watched {
    State *m_Owner = nullptr;
    std::unique_ptr<Socket> m_Socket;
    event *m_Event = nullptr;
    NodeId m_From;
    bool m_IsZap = false;

    ~Watched() {
      if (m_Event != nullptr)
        event_free(m_Event);
    }
  };
  Context m_Context;
  std::unique_ptr<Watched> m_Zap;
  std::unique_ptr<Watched> m_Listener;
  std::map<NodeId, std::unique_ptr<Watched>> m_Dealers;
  std::map<NodeId, std::string> m_DealerAddresses;
  /// Dropped within a callback of theirs; closed from a turn of their own.
  std::vector<std::unique_ptr<Watched>> m_Dropped;
  event *m_CloseDropped = nullptr;

  ~State() {
    if (m_CloseDropped != nullptr)
      event_free(m_CloseDropped);
  }

  [[nodiscard]] bool hasKeys() const {
    return !m_Options.m_Keys.m_Secret.empty();
  }
  void drop(const NodeId &Peer);

  std::unique_ptr<Watched> watch(int Type);
  void applyCommonOptions(Socket &On) const;
  Status openZap();
  Status openListener();
  Status connectTo(const Peer &To);
  void answerZap(const std::vector<Part> &Parts);
  void takeMessage(const Watched &At, const std::vector<Part> &Parts);
  void countDrop(const char *Reason, const std::string &PeerName) const;
  static void onReadable(evutil_socket_t, short, void *Argument);
};

void Hub::State::countDrop(const char *Reason,
                           const std::string &PeerName) const {
  m_Registry
      ->counter("wasabivale_wire_dropped_total", "Messages dropped by reason",
                {{"reason", Reason}})
      .add();
  if (std::string_view(Reason) == "bad_sender" ||
      std::string_view(Reason) == "bad_version")
    events::emit(events::Event::MessageDropped,
                 {{"reason", Reason}, {"peer", PeerName}});
}

void Hub::State::onReadable(evutil_socket_t, short, void *Argument) {
  auto &At = *static_cast<Watched *>(Argument);
  // ZMQ_FD is edge-triggered: read until nothing waits, or ask to be called
  // again.
  for (int Count = 0; Count < MessagesPerTurn; ++Count) {
    if (!At.m_Socket->readable())
      return;
    const std::vector<Part> Parts = At.m_Socket->receive();
    if (Parts.empty())
      return;
    if (At.m_IsZap)
      At.m_Owner->answerZap(Parts);
    else
      At.m_Owner->takeMessage(At, Parts);
  }
  event_active(At.m_Event, EV_READ, 0);
}

std::unique_ptr<Hub::State::Watched> Hub::State::watch(int Type) {
  auto Made = std::make_unique<Watched>();
  Made->m_Owner = this;
  Made->m_Socket = std::make_unique<Socket>(m_Context, Type);
  Made->m_Event = event_new(m_Loop, Made->m_Socket->fileDescriptor(),
                            EV_READ | EV_PERSIST, onReadable, Made.get());
  event_add(Made->m_Event, nullptr);
  event_active(Made->m_Event, EV_READ, 0);
  return Made;
}

void Hub::State::applyCommonOptions(Socket &On) const {
  On.set(ZMQ_LINGER, 0);
  On.set(ZMQ_SNDHWM, m_Options.m_QueueMessages);
  On.set(ZMQ_RCVHWM, m_Options.m_QueueMessages);
  On.set(ZMQ_HEARTBEAT_IVL, static_cast<int>(HeartbeatInterval.count()));
  On.set(ZMQ_HEARTBEAT_TIMEOUT, static_cast<int>(HeartbeatTimeout.count()));
  On.set(ZMQ_RECONNECT_IVL, static_cast<int>(FirstReconnect.count()));
  On.set(ZMQ_RECONNECT_IVL_MAX, static_cast<int>(LongestReconnect.count()));
  On.set(ZMQ_CONNECT_TIMEOUT, static_cast<int>(ConnectTimeout.count()));
  On.set(ZMQ_TCP_MAXRT, static_cast<int>(HeartbeatTimeout.count()));
  const auto Largest = static_cast<std::int64_t>(LargestMessageBytes);
  zmq_setsockopt(On.handle(), ZMQ_MAXMSGSIZE, &Largest, sizeof(Largest));
}

Status Hub::State::openZap() {
  m_Zap = watch(ZMQ_REP);
  m_Zap->m_IsZap = true;
  m_Zap->m_Socket->set(ZMQ_LINGER, 0);
  if (zmq_bind(m_Zap->m_Socket->handle(), ZapAddress.data()) != 0)
    return Error{"wire.authenticate", std::string(ZapAddress),
                 zmq_strerror(zmq_errno())};
  return std::monostate{};
}

Status Hub::State::openListener() {
  m_Listener = watch(ZMQ_ROUTER);
  Socket &On = *m_Listener->m_Socket;
  applyCommonOptions(On);
  On.set(ZMQ_ROUTER_MANDATORY, 1);
  On.set(ZMQ_ROUTER_HANDOVER, 1);
  if (hasKeys()) {
    On.set(ZMQ_CURVE_SERVER, 1);
    On.set(ZMQ_CURVE_SECRETKEY, m_Options.m_Keys.m_Secret);
    On.set(ZMQ_ZAP_DOMAIN, "wasabivale");
  }
  const std::string Address = "tcp://" + m_Options.m_ListenAddress;
  if (zmq_bind(On.handle(), Address.c_str()) != 0)
    return Error{"wire.listen", m_Options.m_ListenAddress,
                 zmq_strerror(zmq_errno())};
  return std::monostate{};
}

Status Hub::State::connectTo(const Peer &To) {
  auto Made = watch(ZMQ_DEALER);
  Made->m_From = To.m_Id;
  Socket &On = *Made->m_Socket;
  applyCommonOptions(On);
  On.set(ZMQ_IMMEDIATE, 1);
  On.set(ZMQ_ROUTING_ID, m_Options.m_Self.m_Value);
  if (hasKeys()) {
    On.set(ZMQ_CURVE_SERVERKEY, To.m_PublicKey);
    On.set(ZMQ_CURVE_PUBLICKEY, m_Options.m_Keys.m_Public);
    On.set(ZMQ_CURVE_SECRETKEY, m_Options.m_Keys.m_Secret);
  }
  const std::string Address = "tcp://" + To.m_Address;
  if (zmq_connect(On.handle(), Address.c_str()) != 0)
    return Error{"wire.connect", To.m_Id.m_Value, zmq_strerror(zmq_errno())};
  m_Dealers[To.m_Id] = std::move(Made);
  m_DealerAddresses[To.m_Id] = To.m_Address;
  return std::monostate{};
}

void Hub::State::drop(const NodeId &Peer) {
  const auto Found = m_Dealers.find(Peer);
  if (Found == m_Dealers.end())
    return;
  event_del(Found->second->m_Event);
  m_Dropped.push_back(std::move(Found->second));
  m_Dealers.erase(Found);
  m_DealerAddresses.erase(Peer);
  event_active(m_CloseDropped, EV_TIMEOUT, 0);
}

/// Answers one request of the ZeroMQ authentication protocol (RFC 27).
void Hub::State::answerZap(const std::vector<Part> &Parts) {
  constexpr std::size_t RequestParts = 7;
  constexpr std::size_t VersionPart = 0;
  constexpr std::size_t RequestIdPart = 1;
  constexpr std::size_t MechanismPart = 5;
  constexpr std::size_t KeyPart = 6;
  std::string UserId;
  if (Parts.size() == RequestParts && Parts[MechanismPart].m_Bytes == "CURVE") {
    const auto Found = m_IdByKey.find(toZ85(Parts[KeyPart].m_Bytes));
    if (Found != m_IdByKey.end())
      UserId = Found->second.m_Value;
  }
  // 300 makes the peer try again later, so that a key may be added to the
  // settings of this side after the peer was started; 400 would make it stop.
  const bool Known = !UserId.empty();
  if (!Known) {
    countDrop("unknown_key", "");
    events::emit(events::Event::PeerRefused, {{"reason", "unknown key"}});
  }
  const std::string Version = Parts.empty() ? "" : Parts[VersionPart].m_Bytes;
  const std::string RequestId =
      Parts.size() > RequestIdPart ? Parts[RequestIdPart].m_Bytes : "";
  if (!m_Zap->m_Socket->send({Version, RequestId, Known ? "200" : "300",
                              Known ? "OK" : "unknown key", UserId, ""}))
    countDrop("authentication_reply", UserId);
}

void Hub::State::takeMessage(const Watched &At,
                             const std::vector<Part> &Parts) {
  const Part &Body = Parts.back();
  Envelope Message;
  if (!Message.ParseFromString(Body.m_Bytes)) {
    countDrop("malformed", Body.m_UserId);
    return;
  }
  // The listener knows its peers by their keys; a dealer socket knows the one
  // server whose key it demanded.
  const std::string &Claimed =
      hasKeys() ? Body.m_UserId : Parts.front().m_Bytes;
  const NodeId From = At.m_From.empty() ? NodeId{Claimed} : At.m_From;
  const bool IsSender = Message.sender() == From.m_Value;
  const bool RoutesBack =
      !At.m_From.empty() || Parts.front().m_Bytes == From.m_Value;
  if (From.empty() || !IsSender || !RoutesBack) {
    countDrop("bad_sender", From.m_Value);
    return;
  }
  if (Message.version() + 1 < ProtocolVersion ||
      Message.version() > ProtocolVersion + 1) {
    countDrop("bad_version", From.m_Value);
    return;
  }
  m_Handler(From, Message);
}

Hub::Hub(std::unique_ptr<State> Owned) : m_State(std::move(Owned)) {}

Hub::~Hub() = default;

Result<std::unique_ptr<Hub>> Hub::open(event_base *Loop, HubOptions Options,
                                       metrics::Registry &Registry,
                                       OnMessage Handler) {
  auto Made = std::make_unique<State>();
  Made->m_Loop = Loop;
  Made->m_Options = std::move(Options);
  Made->m_Registry = &Registry;
  Made->m_Handler = std::move(Handler);
  Made->m_Session = randomFromSystem()() | 1U;
  for (const Peer &Known : Made->m_Options.m_Peers)
    Made->m_IdByKey[Known.m_PublicKey] = Known.m_Id;
  Made->m_CloseDropped = event_new(
      Loop, -1, 0,
      [](evutil_socket_t, short, void *Argument) {
        static_cast<State *>(Argument)->m_Dropped.clear();
      },
      Made.get());
  if (Made->hasKeys())
    if (Status Opened = Made->openZap(); failed(Opened))
      return errorOf(Opened);
  if (!Made->m_Options.m_ListenAddress.empty())
    if (Status Opened = Made->openListener(); failed(Opened))
      return errorOf(Opened);
  for (const Peer &Known : Made->m_Options.m_Peers) {
    if (Known.m_Address.empty() || Known.m_Id == Made->m_Options.m_Self)
      continue;
    if (Status Connected = Made->connectTo(Known); failed(Connected))
      return errorOf(Connected);
  }
  return std::unique_ptr<Hub>(new Hub(std::move(Made)));
}

Status Hub::send(const NodeId &To, Envelope Message) {
  State &Self = *m_State;
  Message.set_version(ProtocolVersion);
  Message.set_sender(Self.m_Options.m_Self.m_Value);
  Message.set_session(Self.m_Session);
  Message.set_sequence(++Self.m_Sequence);
  Message.set_region(Self.m_Options.m_Region.m_Value);
  Message.set_zone(Self.m_Options.m_Zone.m_Value);
  const std::string Bytes = Message.SerializeAsString();
  if (Bytes.size() > LargestMessageBytes) {
    Self.countDrop("too_large", To.m_Value);
    return Error{"wire.send", To.m_Value, "the message is too large"};
  }
  const auto Dealer = Self.m_Dealers.find(To);
  bool Sent = false;
  if (Dealer != Self.m_Dealers.end()) {
    Sent = Dealer->second->m_Socket->send({Bytes});
    event_active(Dealer->second->m_Event, EV_READ, 0);
  }
  // The peer may have connected to this side although it can't be connected to.
  if (!Sent && Self.m_Listener) {
    Sent = Self.m_Listener->m_Socket->send({To.m_Value, Bytes});
    event_active(Self.m_Listener->m_Event, EV_READ, 0);
  }
  if (Sent)
    return std::monostate{};
  Self.countDrop("not_connected_or_full", To.m_Value);
  return Error{"wire.send", To.m_Value, "not connected, or its queue is full"};
}

Status Hub::connect(const Peer &To) {
  State &Self = *m_State;
  if (To.m_Id == Self.m_Options.m_Self)
    return std::monostate{};
  const auto Known = Self.m_DealerAddresses.find(To.m_Id);
  if (Known != Self.m_DealerAddresses.end() && Known->second == To.m_Address)
    return std::monostate{};
  Self.drop(To.m_Id);
  return Self.connectTo(To);
}

void Hub::disconnect(const NodeId &To) { m_State->drop(To); }

std::uint64_t Hub::session() const { return m_State->m_Session; }

Result<KeyPair> generateKeys() {
  std::array<char, Z85KeyLength + 1> Public{};
  std::array<char, Z85KeyLength + 1> Secret{};
  if (zmq_curve_keypair(Public.data(), Secret.data()) != 0)
    return Error{"wire.generate_keys", "", zmq_strerror(zmq_errno())};
  return KeyPair{Public.data(), Secret.data()};
}

} // namespace wasabivale::wire
