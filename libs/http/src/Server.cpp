#include "ErrorPages.h"
#include "Headers.h"
#include "MemoryCost.h"
#include "events/events.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <event2/bufferevent.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>

namespace wasabivale::http {

namespace {

constexpr int AnyMethod = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                          EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                          EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

std::string methodName(evhttp_cmd_type Method) {
  switch (Method) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_HEAD:
    return "HEAD";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  case EVHTTP_REQ_OPTIONS:
    return "OPTIONS";
  case EVHTTP_REQ_PATCH:
    return "PATCH";
  default:
    return "OTHER";
  }
}

Request toRequest(evhttp_request *From) {
  Request Made;
  Made.m_Method = methodName(evhttp_request_get_command(From));
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(From);
  const char *Path = Uri == nullptr ? nullptr : evhttp_uri_get_path(Uri);
  const char *Query = Uri == nullptr ? nullptr : evhttp_uri_get_query(Uri);
  Made.m_Path = Path == nullptr ? "" : Path;
  Made.m_Query = Query == nullptr ? "" : Query;
  const char *Target = evhttp_request_get_uri(From);
  Made.m_Target = Target == nullptr ? "" : Target;
  Made.m_Headers = toHeaders(evhttp_request_get_input_headers(From));
  Made.m_Fields = toFields(evhttp_request_get_input_headers(From));
  Made.m_Body = takeBody(evhttp_request_get_input_buffer(From));
  if (evhttp_connection *Connection = evhttp_request_get_connection(From)) {
    char *Host = nullptr;
    ev_uint16_t Port = 0;
    evhttp_connection_get_peer(Connection, &Host, &Port);
    Made.m_PeerAddress = Host == nullptr ? "" : Host;
  }
  return Made;
}

/// Whether bytes of the peer wait to be read, here or in the kernel.
bool hasUnread(evhttp_connection *Raw) {
  bufferevent *Buffer = evhttp_connection_get_bufferevent(Raw);
  if (evbuffer_get_length(bufferevent_get_input(Buffer)) > 0)
    return true;
  char Byte = 0;
  return recv(bufferevent_getfd(Buffer), &Byte, sizeof(Byte),
              MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool hasUnsent(evhttp_connection *Raw) {
  bufferevent *Buffer = evhttp_connection_get_bufferevent(Raw);
  return evbuffer_get_length(bufferevent_get_output(Buffer)) > 0;
}

enum class PeerState : std::uint8_t {
  Open,
  Closed, ///< It has closed at least its sending side, and may still read.
  Lost,   ///< Reset, or failed.
};

/// Bytes of the peer that wait unread make no difference.
PeerState peerState(evutil_socket_t Socket) {
  char Byte = 0;
  const ssize_t Count =
      recv(Socket, &Byte, sizeof(Byte), MSG_PEEK | MSG_DONTWAIT);
  if (Count == 0)
    return PeerState::Closed;
  if (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
    return PeerState::Lost;
  pollfd Asked{Socket, POLLRDHUP, 0};
  if (poll(&Asked, 1, 0) <= 0)
    return PeerState::Open;
  if ((Asked.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0)
    return PeerState::Lost;
  return (Asked.revents & POLLRDHUP) != 0 ? PeerState::Closed : PeerState::Open;
}

timeval toTimeval(std::chrono::milliseconds Value) {
  return {Value.count() / 1000,
          static_cast<suseconds_t>(Value.count() % 1000 * 1000)};
}

/// Between two looks for a caller that has left with bytes unread.
constexpr std::chrono::milliseconds LookInterval{100};

/// Reads while the start of a request arrives, which `MemoryCost::Connection`
/// covers, and while a long body does.
constexpr std::size_t ShortRead = 4U << 10U;
constexpr std::size_t LongRead = 16U << 10U;

/// Memory of the budget that one client holds; given back when this ends.
class Held {
public:
  Held(std::shared_ptr<MemoryBudget> From, MemoryPart Of)
      : m_From(std::move(From)), m_Of(Of) {}
  ~Held() { shrink(0); }
  Held(const Held &) = delete;
  Held &operator=(const Held &) = delete;
  /// \returns what is held, which is no longer held here.
  Held handOver() { return {m_From, m_Of, std::exchange(m_Bytes, 0)}; }

  bool take(std::size_t Bytes, const void *Whose = nullptr) {
    if (m_From != nullptr && !m_From->take(m_Of, Bytes, Whose))
      return false;
    m_Bytes += Bytes;
    return true;
  }
  void charge(std::size_t Bytes) {
    if (m_From != nullptr)
      m_From->charge(m_Of, Bytes);
    m_Bytes += Bytes;
  }
  void shrink(std::size_t To) {
    if (To >= m_Bytes)
      return;
    if (m_From != nullptr)
      m_From->give(m_Of, m_Bytes - To);
    m_Bytes = To;
  }
  [[nodiscard]] std::size_t bytes() const { return m_Bytes; }

private:
  Held(std::shared_ptr<MemoryBudget> From, MemoryPart Of, std::size_t Bytes)
      : m_From(std::move(From)), m_Of(Of), m_Bytes(Bytes) {}

  std::shared_ptr<MemoryBudget> m_From;
  MemoryPart m_Of;
  std::size_t m_Bytes = 0;
};

class ServerExchange;
class ServerState;

/// A caller's connection, known from its accept to its close.
struct Connection {
  explicit Connection(const std::shared_ptr<MemoryBudget> &Memory)
      : m_Place(Memory, MemoryPart::Connections),
        m_Short(Memory, MemoryPart::Requests),
        m_Long(Memory, MemoryPart::Bodies),
        m_Unread(Memory, MemoryPart::Answers) {}

  ServerState *m_Server = nullptr;
  bufferevent *m_Buffer = nullptr;
  Held m_Place;
  /// Accepted beyond the budget: it is given a place once it sends something.
  bool m_IsWaiting = false;
  Held m_Short;  ///< Of the request that is not whole yet.
  Held m_Long;   ///< The same.
  Held m_Unread; ///< What the output holds.
  HeadScan m_Head;
  /// Read and kept from evhttp until the budget has memory for it.
  std::string m_HeldBack;
  std::size_t m_HeldBackCost = 0;
  TimePoint m_WaitsSince = TimePoint::max(); ///< While something is held back.
  Duration m_Waited{0};                      ///< Before that, in this request.
  bool m_PuttingBack = false;
  /// When the caller last took bytes of an answer, or one was begun.
  TimePoint m_TakenAt;
  /// When it was refused, and nothing is read any longer.
  TimePoint m_RefusedAt = TimePoint::max();
  TimePoint m_AcceptedAt;
  /// When bytes were last received, or an answer was handed to it.
  TimePoint m_MovedAt;
  std::size_t m_Requests = 0;
  ServerExchange *m_Current = nullptr;
  /// Whether what is being written comes from an exchange.
  bool m_Answering = false;
  /// Set before the server closes it.
  std::optional<CloseReason> m_Closing;
  std::unique_ptr<ErrorPages> m_Pages;
  /// Arrival of the first byte of a request that is not whole yet; if it came
  /// ahead, the end of the answer before it, which may not have been written.
  TimePoint m_FirstByte = TimePoint::max();
  std::size_t m_Received = 0; ///< Bytes of that request so far.
};

/// An exchange owns its evhttp request until it is answered. evhttp keeps a
/// request whose connection broke until it is answered, so that every path
/// below answers exactly once.
class ServerExchange final : public Exchange {
public:
  ServerExchange(event_base *Loop, evhttp_request *Raw,
                 const std::shared_ptr<Connection> &Arrival)
      : m_Raw(Raw), m_Connection(Arrival), m_AcceptedAt(Arrival->m_AcceptedAt),
        m_Request(toRequest(Raw)), m_Short(Arrival->m_Short.handOver()),
        m_Long(Arrival->m_Long.handOver()) {
    // What was received is copied and freed by now.
    constexpr std::size_t Copies = 3;
    m_Short.shrink(m_Short.bytes() / Copies * (Copies - 1));
    m_Long.shrink(m_Long.bytes() / Copies * (Copies - 1));
    // evhttp does not read while a request is being answered, and would not
    // notice that the caller has gone until a write fails.
    bufferevent *Buffer =
        evhttp_connection_get_bufferevent(evhttp_request_get_connection(Raw));
    m_Socket = bufferevent_getfd(Buffer);
    // libevent reports a reset as readable and never as closed.
    m_Hangup = event_new(Loop, m_Socket, EV_CLOSED | EV_READ, onHangup, this);
    m_Look = evtimer_new(Loop, onLook, this);
    event_add(m_Hangup, nullptr);
  }

  ~ServerExchange() override {
    m_OnGone = nullptr;
    if (m_Raw != nullptr)
      abort();
  }

  [[nodiscard]] const Request &request() const override { return m_Request; }

  void reply(int Status, const Headers &With, std::string_view Body) override {
    if (m_Raw == nullptr)
      return;
    addHeaders(evhttp_request_get_output_headers(m_Raw), With);
    send(Status, Body);
  }

  void relay(int Status, const Fields &With, std::string_view Body) override {
    if (m_Raw == nullptr)
      return;
    addFields(evhttp_request_get_output_headers(m_Raw), With);
    send(Status, Body);
  }

  void startRelay(int Status, const Fields &With) override {
    if (m_Raw == nullptr)
      return;
    addFields(evhttp_request_get_output_headers(m_Raw), With);
    decideClose();
    evhttp_send_reply_start(m_Raw, Status, nullptr);
    stopReading(evhttp_request_get_connection(m_Raw));
  }

  void closeAfterLast() override { m_ClosesAfterLast = true; }

  void closeAfter() override {
    if (m_Raw != nullptr)
      evhttp_add_header(evhttp_request_get_output_headers(m_Raw), "Connection",
                        "close");
  }

  void send(int Status, std::string_view Body) {
    decideClose();
    evbuffer *Buffer = evbuffer_new();
    evbuffer_add(Buffer, Body.data(), Body.size());
    evhttp_request *Raw = release();
    evhttp_connection *Connection = evhttp_request_get_connection(Raw);
    evhttp_send_reply(Raw, Status, nullptr, Buffer);
    stopReading(Connection);
    evbuffer_free(Buffer);
    noteAnswered();
  }

  void startStream(int Status, const Headers &With) override {
    if (m_Raw == nullptr)
      return;
    addHeaders(evhttp_request_get_output_headers(m_Raw), With);
    decideClose();
    evhttp_send_reply_start(m_Raw, Status, nullptr);
    stopReading(evhttp_request_get_connection(m_Raw));
  }

  void write(std::string_view Piece) override {
    if (m_Raw == nullptr || Piece.empty())
      return;
    if (m_Gone) {
      m_IsCut = true;
      return;
    }
    evbuffer *Buffer = evbuffer_new();
    evbuffer_add(Buffer, Piece.data(), Piece.size());
    evhttp_send_reply_chunk(m_Raw, Buffer);
    stopReading(evhttp_request_get_connection(m_Raw));
    evbuffer_free(Buffer);
  }

  void finish() override {
    if (m_Raw == nullptr)
      return;
    // The end would make what was written look whole.
    if (m_IsCut)
      return abort();
    evhttp_request *Raw = release();
    evhttp_connection *Connection = evhttp_request_get_connection(Raw);
    evhttp_send_reply_end(Raw);
    // With nothing left to write the connection reads on already, or has ended.
    if (!m_Connection.expired() && hasUnsent(Connection))
      stopReading(Connection);
    noteAnswered();
  }

  void abort() override {
    if (m_Raw == nullptr)
      return;
    if (const auto Known = m_Connection.lock())
      Known->m_Closing = CloseReason::Dropped;
    evhttp_request *Raw = release();
    evhttp_connection *Closing = evhttp_request_get_connection(Raw);
    if (Closing == nullptr) {
      evhttp_request_free(Raw);
      return;
    }
    // The connection takes the request with it.
    evhttp_connection_free(Closing);
  }

  [[nodiscard]] std::size_t pendingBytes() const override {
    if (m_Raw == nullptr || m_Gone)
      return 0;
    evhttp_connection *Connection = evhttp_request_get_connection(m_Raw);
    if (Connection == nullptr)
      return 0;
    bufferevent *Buffer = evhttp_connection_get_bufferevent(Connection);
    return evbuffer_get_length(bufferevent_get_output(Buffer));
  }

  [[nodiscard]] bool isGone() const override { return m_Gone; }
  [[nodiscard]] std::string_view goneReason() const override {
    return m_GoneReason;
  }
  [[nodiscard]] TimePoint acceptedAt() const override { return m_AcceptedAt; }

  void onGone(std::function<void()> Callback) override {
    m_OnGone = std::move(Callback);
  }

  /// The connection has ended, or its caller has left, before the answer did.
  void noteGone(std::string_view Reason) {
    if (m_Gone || m_Raw == nullptr)
      return;
    m_Gone = true;
    m_GoneReason = Reason;
    stopWatching();
    if (auto Callback = std::exchange(m_OnGone, nullptr))
      Callback();
  }

  /// The connection is no longer the server's.
  void forgetConnection() { m_Connection.reset(); }

  /// The server ends and takes the request with it.
  void detach() {
    forgetConnection();
    release();
    if (std::exchange(m_Gone, true))
      return;
    m_GoneReason = closeReasonName(CloseReason::ServerEnded);
    // It may end this exchange.
    if (const auto Callback = std::exchange(m_OnGone, nullptr))
      Callback();
  }

private:
  void decideClose() {
    evhttp_connection *Connection = evhttp_request_get_connection(m_Raw);
    if (m_ClosesAfterLast && Connection != nullptr && !hasUnread(Connection))
      closeAfter();
  }

  /// evhttp reads while it writes, and ends the connection when it reads the
  /// end of a caller that still takes its answer. It reads on once the answer
  /// is written.
  static void stopReading(evhttp_connection *Connection) {
    if (Connection != nullptr)
      bufferevent_disable(evhttp_connection_get_bufferevent(Connection),
                          EV_READ);
  }

  /// The whole answer has been handed to the connection.
  void noteAnswered() {
    if (const auto Known = m_Connection.lock()) {
      Known->m_Answering = false;
      Known->m_MovedAt = BootClock::now();
      // evhttp goes on with these in a later turn, without reading anything.
      Known->m_Received =
          evbuffer_get_length(bufferevent_get_input(Known->m_Buffer));
      if (Known->m_Received > 0)
        Known->m_FirstByte = Known->m_MovedAt;
    }
  }

  /// Called just before the request is answered or given up.
  evhttp_request *release() {
    stopWatching();
    if (const auto Known = m_Connection.lock();
        Known != nullptr && Known->m_Current == this)
      Known->m_Current = nullptr;
    return std::exchange(m_Raw, nullptr);
  }

  void stopWatching() {
    for (event **One : {&m_Hangup, &m_Look})
      if (*One != nullptr)
        event_free(std::exchange(*One, nullptr));
  }

  /// \param IsClose the kernel has reported a close.
  void look(bool IsClose) {
    switch (peerState(m_Socket)) {
    case PeerState::Closed:
      return noteGone("hangup");
    case PeerState::Lost:
      return noteGone("reset");
    case PeerState::Open:
      break;
    }
    if (IsClose)
      events::emit(events::Event::HangupNotConfirmed,
                   {{"peer", m_Request.m_PeerAddress}});
    // An event for bytes that wait would come again and again.
    const timeval Interval = toTimeval(LookInterval);
    event_add(m_Look, &Interval);
  }

  static void onHangup(evutil_socket_t, short What, void *Argument) {
    static_cast<ServerExchange *>(Argument)->look((What & EV_CLOSED) != 0);
  }

  static void onLook(evutil_socket_t, short, void *Argument) {
    static_cast<ServerExchange *>(Argument)->look(false);
  }

  evhttp_request *m_Raw;
  std::weak_ptr<Connection> m_Connection;
  TimePoint m_AcceptedAt;
  evutil_socket_t m_Socket = -1;
  event *m_Hangup = nullptr;
  event *m_Look = nullptr; ///< Once bytes of the peer wait.
  Request m_Request;
  Held m_Short; ///< For `m_Request` and its copies.
  Held m_Long;
  bool m_Gone = false;
  std::string_view m_GoneReason;
  bool m_IsCut = false; ///< Pieces were not written.
  bool m_ClosesAfterLast = false;
  std::function<void()> m_OnGone;
};

constexpr std::chrono::milliseconds SweepInterval{250};
/// Between two attempts to go on with requests that wait for memory.
constexpr std::chrono::milliseconds RetryInterval{10};
/// Longest wait of a request for memory, in all.
constexpr std::chrono::seconds LongestWait{5};
/// Age from which a silent connection, one whose request is not whole, one
/// that has been answered, or one with an unread answer makes room.
constexpr std::chrono::milliseconds SilentAge{500};
constexpr std::chrono::milliseconds ReceivingAge{1'000};
constexpr std::chrono::milliseconds IdleAge{5'000};
constexpr std::chrono::milliseconds UnreadAge{500};
/// Time that a refused caller has to read why.
constexpr std::chrono::milliseconds RefusedTime{500};
/// Connections that each listener takes beyond the budget, so that a crowd at
/// one listener doesn't lock out the others.
constexpr std::size_t ReservedConnections = 16;
/// Connections of each listener that wait for a place, so that their clients
/// have time to send the first bytes of a request.
constexpr std::size_t WaitingConnections = 32;
constexpr int StatusTimeout = 408;
constexpr int StatusUnavailable = 503;

/// A whole answer to a request that has not reached the handler.
std::string refusalPage(int Status) {
  const std::string Body =
      Status == StatusTimeout
          ? R"({"reason":"slow_request","outcome":"not_run"})"
          : R"({"reason":"no_memory","outcome":"not_run"})";
  return "HTTP/1.1 " + std::to_string(Status) +
         " Refused\r\nContent-Type: application/json\r\nRetry-After: 1\r\n"
         "Connection: close\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

class ServerState final : public Server {
public:
  ServerState(event_base *Loop, const ServerLimits &Limits, Handler OnRequest,
              ErrorPage OnMalformed)
      : m_Loop(Loop), m_Limits(Limits), m_OnRequest(std::move(OnRequest)),
        m_OnMalformed(std::move(OnMalformed)),
        m_Sweep(Loop, SweepInterval, true, [this] { sweep(); }),
        m_Retry(evtimer_new(Loop, onRetry, this)) {}

  ~ServerState() override {
    for (const auto &[Raw, Known] : std::exchange(m_Open, {})) {
      Known->m_Closing = CloseReason::ServerEnded;
      report(Raw, *Known);
      stopObserving(*Known);
      if (Known->m_Current != nullptr)
        Known->m_Current->detach();
    }
    if (m_Http != nullptr)
      evhttp_free(m_Http);
    event_free(m_Retry);
  }

  Status open(const Address &At) {
    m_Http = evhttp_new(m_Loop);
    evhttp_set_max_headers_size(
        m_Http, static_cast<ev_ssize_t>(m_Limits.m_HeaderBytes));
    evhttp_set_max_body_size(m_Http,
                             static_cast<ev_ssize_t>(m_Limits.m_BodyBytes));
    evhttp_set_allowed_methods(m_Http, AnyMethod);
    const timeval Silence = toTimeval(m_Limits.m_Silence);
    evhttp_set_timeout_tv(m_Http, &Silence);
    evhttp_set_gencb(m_Http, onRequest, this);
    evhttp_set_bevcb(m_Http, onAccept, this);
    m_Socket =
        evhttp_bind_socket_with_handle(m_Http, At.m_Host.c_str(), At.m_Port);
    if (m_Socket == nullptr)
      return Error{"http.listen", printAddress(At),
                   evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())};
    return std::monostate{};
  }

  [[nodiscard]] std::size_t connections() const override {
    return m_Open.size();
  }
  [[nodiscard]] std::size_t exchanges() const override {
    return static_cast<std::size_t>(
        std::count_if(m_Open.begin(), m_Open.end(), [](const auto &Each) {
          return Each.second->m_Current != nullptr;
        }));
  }
  [[nodiscard]] std::uint64_t refusedConnections() const override {
    return m_Refused;
  }
  [[nodiscard]] std::uint64_t slowSenders() const override {
    return m_SlowSenders;
  }
  void stopAccepting() override {
    if (m_Socket != nullptr)
      evhttp_del_accept_socket(m_Http, std::exchange(m_Socket, nullptr));
  }

  void closeIdle() override {
    std::vector<evhttp_connection *> Idle;
    for (const auto &[Raw, Known] : m_Open)
      if (isIdle(Raw, *Known))
        Idle.push_back(Raw);
    for (evhttp_connection *Raw : Idle)
      close(Raw, CloseReason::Idle);
  }

  void onConnectionClosed(
      std::function<void(const ClosedConnection &)> Callback) override {
    m_OnConnectionClosed = std::move(Callback);
  }

private:
  static bool isIdle(evhttp_connection *Raw, const Connection &Known) {
    if (Known.m_Current != nullptr || Known.m_FirstByte != TimePoint::max())
      return false;
    // Unread bytes would be lost, and reset the connection.
    return !hasUnsent(Raw) && !hasUnread(Raw);
  }

  /// \pre The connection is open.
  void close(evhttp_connection *Raw, CloseReason Reason) {
    m_Open.at(Raw)->m_Closing = Reason;
    evhttp_connection_free(Raw);
  }

  [[nodiscard]] CloseReason closeReason(evhttp_connection *Raw,
                                        const Connection &Known) const {
    if (Known.m_Closing)
      return *Known.m_Closing;
    const evutil_socket_t Socket =
        bufferevent_getfd(evhttp_connection_get_bufferevent(Raw));
    if (peerState(Socket) != PeerState::Open)
      return CloseReason::PeerClosed;
    if (BootClock::now() - Known.m_MovedAt >= m_Limits.m_Silence)
      return CloseReason::Silent;
    const bool IsAnswered = Known.m_Requests > 0 &&
                            Known.m_Current == nullptr &&
                            Known.m_FirstByte == TimePoint::max();
    return IsAnswered ? CloseReason::Answered : CloseReason::Protocol;
  }

  void report(evhttp_connection *Raw, const Connection &Known) const {
    if (!m_OnConnectionClosed)
      return;
    ClosedConnection Ended;
    Ended.m_Reason = closeReason(Raw, Known);
    char *Host = nullptr;
    ev_uint16_t Port = 0;
    evhttp_connection_get_peer(Raw, &Host, &Port);
    Ended.m_Peer = Host == nullptr ? "" : Host;
    Ended.m_AcceptedAt = Known.m_AcceptedAt;
    Ended.m_Requests = Known.m_Requests;
    Ended.m_IsAnswerDue =
        Known.m_Current != nullptr || Known.m_Closing == CloseReason::Dropped;
    Ended.m_HasUnread = hasUnread(Raw);
    Ended.m_UnsentBytes = evbuffer_get_length(
        bufferevent_get_output(evhttp_connection_get_bufferevent(Raw)));
    m_OnConnectionClosed(Ended);
  }

  struct Accepted {
    ServerState *m_Owner;
    bufferevent *m_Buffer;
  };

  static bufferevent *onAccept(event_base *Loop, void *Argument) {
    bufferevent *Buffer =
        bufferevent_socket_new(Loop, -1, BEV_OPT_CLOSE_ON_FREE);
    auto *Made = new Accepted{static_cast<ServerState *>(Argument), Buffer};
    // evhttp makes its connection right after this call; it is known as the
    // argument of the buffer's callbacks before any byte can be read.
    const timeval AtOnce{0, 0};
    event_base_once(Loop, -1, EV_TIMEOUT, onAccepted, Made, &AtOnce);
    return Buffer;
  }

  static void onAccepted(evutil_socket_t, short, void *Argument) {
    const std::unique_ptr<Accepted> Made(static_cast<Accepted *>(Argument));
    void *Owner = nullptr;
    bufferevent_getcb(Made->m_Buffer, nullptr, nullptr, nullptr, &Owner);
    if (Owner == nullptr)
      return;
    auto *Raw = static_cast<evhttp_connection *>(Owner);
    ServerState &Self = *Made->m_Owner;
    const std::shared_ptr<Connection> Known = Self.adopt(Raw);
    if (Self.hasRoomFor(*Known) || Self.waitForPlace(*Known))
      return;
    Self.noteTooMany();
    Self.close(Raw, CloseReason::TooMany);
  }

  void noteTooMany() {
    ++m_Refused;
    if (m_Limits.m_Memory != nullptr)
      m_Limits.m_Memory->noteRefusal(MemoryRefusal::TooManyConnections);
  }

  /// Takes the memory of a connection that has none, if need be from another
  /// one.
  bool hasRoomFor(Connection &New) {
    if (m_Limits.m_Memory == nullptr)
      return m_Open.size() <= m_Limits.m_Connections;
    if (m_Open.size() > m_Limits.m_Connections && !closeOneForRoom(New))
      return false;
    if (New.m_Place.take(MemoryCost::Connection) ||
        (closeOneForRoom(New) && New.m_Place.take(MemoryCost::Connection)))
      return true;
    if (m_Open.size() > ReservedConnections)
      return false;
    New.m_Place.charge(MemoryCost::Connection);
    return true;
  }

  /// Keeps a new connection without a place. If too many wait, one that has
  /// sent nothing is closed, or one that has been refused; the oldest first.
  bool waitForPlace(Connection &New) {
    if (m_Limits.m_Memory == nullptr)
      return false;
    using Rank = std::pair<bool, TimePoint>;
    std::vector<std::pair<Rank, evhttp_connection *>> Waiting;
    for (const auto &[Raw, Known] : m_Open)
      if (Known->m_IsWaiting)
        Waiting.push_back({{isRefused(*Known), Known->m_AcceptedAt}, Raw});
    if (Waiting.size() >= WaitingConnections) {
      std::sort(Waiting.begin(), Waiting.end());
      const auto Found =
          std::find_if(Waiting.begin(), Waiting.end(), [](const auto &Each) {
            return Each.first.first || !hasUnread(Each.second);
          });
      if (Found == Waiting.end())
        return false;
      if (!Found->first.first)
        noteTooMany();
      close(Found->second, CloseReason::TooMany);
    }
    New.m_IsWaiting = true;
    return true;
  }

  /// Gives places that came free to connections that wait for one, and closes
  /// those that were silent for too long.
  void closeWaiting() {
    const TimePoint Latest = BootClock::now() - SilentAge;
    std::vector<evhttp_connection *> Over;
    for (const auto &[Raw, Known] : m_Open) {
      // `closeRefused` closes the refused ones.
      if (!Known->m_IsWaiting || isRefused(*Known))
        continue;
      if (Known->m_Place.take(MemoryCost::Connection))
        Known->m_IsWaiting = false;
      else if (Known->m_AcceptedAt <= Latest && !hasUnread(Raw))
        Over.push_back(Raw);
    }
    for (evhttp_connection *Raw : Over) {
      noteTooMany();
      close(Raw, CloseReason::TooMany);
    }
  }

  /// A connection with a place that may be closed for another one.
  struct Removable {
    int m_Rank = 0;
    TimePoint m_Since;
    evhttp_connection *m_Raw = nullptr;

    bool operator<(const Removable &Other) const {
      return std::pair(m_Rank, m_Since) <
             std::pair(Other.m_Rank, Other.m_Since);
    }
  };

  /// Closes the connection that needs its place least: one that never sent
  /// anything, before one that is slow with a request, before one that has been
  /// answered. Those that are too young make no room, except silent ones for a
  /// client that sends. \returns whether there was one.
  bool closeOneForRoom(const Connection &New) {
    constexpr int SilentRank = 0;
    constexpr int SlowRank = 1;
    constexpr int AnsweredRank = 2;
    const TimePoint Now = BootClock::now();
    const bool IsSending = New.m_FirstByte != TimePoint::max();
    std::vector<Removable> Found;
    for (const auto &[Raw, Known] : m_Open) {
      if (Known.get() == &New || Known->m_IsWaiting ||
          Known->m_Current != nullptr || hasUnsent(Raw))
        continue;
      if (Known->m_FirstByte != TimePoint::max()) {
        if (Now - Known->m_FirstByte >= ReceivingAge)
          Found.push_back({SlowRank, Known->m_FirstByte, Raw});
      } else if (Known->m_Requests == 0) {
        if (IsSending || Now - Known->m_AcceptedAt >= SilentAge)
          Found.push_back({SilentRank, Known->m_AcceptedAt, Raw});
      } else if (Now - Known->m_MovedAt >= IdleAge) {
        Found.push_back({AnsweredRank, Known->m_MovedAt, Raw});
      }
    }
    std::sort(Found.begin(), Found.end());
    // The first bytes of a request may not have been read yet.
    const auto Best =
        std::find_if(Found.begin(), Found.end(), [](const Removable &Each) {
          return Each.m_Rank == SlowRank || !hasUnread(Each.m_Raw);
        });
    if (Best == Found.end())
      return false;
    const bool IsSlow = Best->m_Rank == SlowRank;
    m_Limits.m_Memory->noteRefusal(IsSlow ? MemoryRefusal::SlowRequest
                                          : MemoryRefusal::SilentConnection);
    if (IsSlow)
      sendPage(*m_Open.at(Best->m_Raw), StatusTimeout);
    close(Best->m_Raw, CloseReason::TooMany);
    return true;
  }

  /// \returns what is known of a connection, from now on if it is new.
  std::shared_ptr<Connection> adopt(evhttp_connection *Raw) {
    auto &Known = m_Open[Raw];
    if (Known != nullptr)
      return Known;
    bufferevent *Buffer = evhttp_connection_get_bufferevent(Raw);
    Known = std::make_shared<Connection>(m_Limits.m_Memory);
    Known->m_Server = this;
    Known->m_Buffer = Buffer;
    if (m_Limits.m_Memory != nullptr) {
      bufferevent_set_max_single_read(Buffer, ShortRead);
      evbuffer_add_cb(bufferevent_get_output(Buffer), onOutput, Known.get());
    }
    Known->m_AcceptedAt = Known->m_MovedAt = BootClock::now();
    evhttp_connection_set_closecb(Raw, onClosed, this);
    evbuffer_add_cb(bufferevent_get_input(Buffer), onInput, Known.get());
    if (m_OnMalformed)
      Known->m_Pages = std::make_unique<ErrorPages>(
          m_Loop, Buffer,
          [this, Here = Known.get()](int Status) {
            return malformed(*Here, Status);
          },
          [Here = Known.get()] { return Here->m_Answering; });
    return Known;
  }

  Response malformed(const Connection &By, int Status) const {
    constexpr int BadRequest = 400;
    constexpr int HeadersTooLarge = 431;
    // evhttp does not tell headers that are too large from malformed ones.
    const bool Large = By.m_Received > m_Limits.m_HeaderBytes;
    return m_OnMalformed(Status == BadRequest && Large ? HeadersTooLarge
                                                       : Status);
  }

  static void onInput(evbuffer *Input, const evbuffer_cb_info *Info,
                      void *Argument) {
    auto &Known = *static_cast<Connection *>(Argument);
    if (Known.m_PuttingBack)
      return;
    if (Known.m_Current == nullptr)
      Known.m_Received += Info->n_added;
    if (Info->n_added == 0)
      return;
    Known.m_MovedAt = BootClock::now();
    if (Known.m_Current == nullptr && Known.m_FirstByte == TimePoint::max())
      Known.m_FirstByte = Known.m_MovedAt;
    if (Known.m_Server->m_Limits.m_Memory != nullptr)
      Known.m_Server->admit(Known, Input, Info->n_added);
  }

  /// Its buffers live a little longer than what is known of a connection.
  static void stopObserving(Connection &Known) {
    evbuffer_remove_cb(bufferevent_get_input(Known.m_Buffer), onInput, &Known);
    evbuffer_remove_cb(bufferevent_get_output(Known.m_Buffer), onOutput,
                       &Known);
  }

  static void onOutput(evbuffer *, const evbuffer_cb_info *Info,
                       void *Argument) {
    auto &Known = *static_cast<Connection *>(Argument);
    if (Info->n_deleted > 0 || Info->orig_size == 0)
      Known.m_TakenAt = BootClock::now();
    Known.m_Unread.shrink(
        Known.m_Unread.bytes() -
        std::min<std::size_t>(Known.m_Unread.bytes(), Info->n_deleted));
    Known.m_Unread.charge(Info->n_added);
  }

  /// Whether a request that is not whole has been refused, by this server or by
  /// a page of evhttp that is being written.
  static bool isRefused(const Connection &Known) {
    if (Known.m_RefusedAt != TimePoint::max())
      return true;
    if (Known.m_Current != nullptr || Known.m_Answering)
      return false;
    constexpr std::size_t ClassAt = 9; // After "HTTP/1.x ".
    char Start[ClassAt + 1] = {};
    const ev_ssize_t Length = evbuffer_copyout(
        bufferevent_get_output(Known.m_Buffer), Start, sizeof(Start));
    // An answer of class 1 asks for the body.
    return Length == sizeof(Start) && Start[ClassAt] >= '4';
  }

  /// Takes memory for bytes that were just read, before evhttp sees them, or
  /// keeps them from it. A read is no longer than `MemoryCost::Connection` or
  /// the memory that a long body has already taken covers.
  void admit(Connection &Known, evbuffer *Input, std::size_t Added) {
    if (isRefused(Known)) {
      bufferevent_disable(Known.m_Buffer, EV_READ);
      evbuffer_drain(Input, evbuffer_get_length(Input));
      return;
    }
    if (Known.m_IsWaiting && !hasRoomFor(Known)) {
      ++m_Refused;
      refuse(Known, StatusUnavailable, MemoryRefusal::TooManyConnections);
      evbuffer_drain(Input, evbuffer_get_length(Input));
      return;
    }
    Known.m_IsWaiting = false;
    // It is scanned once that request has been answered.
    if (Known.m_Current != nullptr)
      return;
    const std::size_t Cost = scan(Known, Input, Added);
    if (Known.m_HeldBack.empty() && take(Known, Cost))
      return;
    holdBack(Known, Input, Added);
    Known.m_HeldBackCost += Cost;
    if (Known.m_WaitsSince == TimePoint::max())
      Known.m_WaitsSince = Known.m_MovedAt;
    bufferevent_disable(Known.m_Buffer, EV_READ);
    retryLater();
  }

  /// Takes the last \p Added bytes out of an input; evhttp may leave the others
  /// there until a body is whole.
  static void holdBack(Connection &Known, evbuffer *Input, std::size_t Added) {
    Known.m_PuttingBack = true;
    evbuffer *Former = evbuffer_new();
    evbuffer_remove_buffer(Input, Former, evbuffer_get_length(Input) - Added);
    const std::size_t Before = Known.m_HeldBack.size();
    Known.m_HeldBack.resize(Before + Added);
    evbuffer_remove(Input, Known.m_HeldBack.data() + Before, Added);
    evbuffer_prepend_buffer(Input, Former);
    evbuffer_free(Former);
    Known.m_PuttingBack = false;
  }

  /// Cost of the last \p Added bytes of an input.
  static std::size_t scan(Connection &Known, evbuffer *Input,
                          std::size_t Added) {
    std::string Bytes(Added, '\0');
    evbuffer_ptr From;
    evbuffer_ptr_set(Input, &From, evbuffer_get_length(Input) - Added,
                     EVBUFFER_PTR_SET);
    evbuffer_copyout_from(Input, &From, Bytes.data(), Added);
    return Known.m_Head.scan(Bytes);
  }

  bool take(Connection &Known, std::size_t Cost) {
    const bool IsLong = Known.m_Head.isDone() &&
                        Known.m_Short.bytes() + Cost > MemoryCost::ShortRequest;
    if (!IsLong && Known.m_Short.take(Cost)) {
      // What is paid covers more than what was received by the next read.
      if (Known.m_Head.isDone() && Known.m_Short.bytes() >= 2 * LongRead)
        bufferevent_set_max_single_read(Known.m_Buffer, LongRead);
      return true;
    }
    // Bodies go on with the other part, so that those that each hold some of
    // this one don't block one another.
    if (!Known.m_Head.isDone())
      return false;
    if (!Known.m_Long.take(Cost, &Known)) {
      // Only a body that could go on alone may have the part kept for one.
      if (Known.m_Long.bytes() + Cost > m_Limits.m_Memory->shares().m_OneBody ||
          !m_Limits.m_Memory->claimOneBody(&Known) ||
          !Known.m_Long.take(Cost, &Known))
        return false;
    }
    bufferevent_set_max_single_read(Known.m_Buffer, LongRead);
    return true;
  }

  void retryLater() {
    const timeval Interval = toTimeval(RetryInterval);
    if (!evtimer_pending(m_Retry, nullptr))
      event_add(m_Retry, &Interval);
  }

  static void onRetry(evutil_socket_t, short, void *Argument) {
    static_cast<ServerState *>(Argument)->retry();
  }

  /// Goes on with the requests that wait for memory, the oldest first.
  void retry() {
    std::vector<std::pair<TimePoint, evhttp_connection *>> Waiting;
    for (const auto &[Raw, Known] : m_Open)
      if (!Known->m_HeldBack.empty() && Known->m_RefusedAt == TimePoint::max())
        Waiting.emplace_back(m_Limits.m_Memory->hasOneBody(Known.get())
                                 ? TimePoint::min()
                                 : Known->m_FirstByte,
                             Raw);
    std::sort(Waiting.begin(), Waiting.end());
    const TimePoint Now = BootClock::now();
    bool HasStuck[MemoryParts] = {};
    for (const auto &[Since, Raw] : Waiting) {
      const auto Found = m_Open.find(Raw);
      if (Found == m_Open.end())
        continue;
      const std::shared_ptr<Connection> Known = Found->second;
      const bool IsLong = Known->m_Head.isDone() &&
                          Known->m_Short.bytes() + Known->m_HeldBackCost >
                              MemoryCost::ShortRequest;
      const auto Part = IsLong ? MemoryPart::Bodies : MemoryPart::Requests;
      bool &IsStuck = HasStuck[static_cast<std::size_t>(Part)];
      // The younger don't overtake, or a crowd of short reads could.
      if (!IsStuck && take(*Known, Known->m_HeldBackCost)) {
        goOn(*Known, Now);
        continue;
      }
      const bool IsTooLarge =
          IsLong && Known->m_Long.bytes() + Known->m_HeldBackCost >
                        m_Limits.m_Memory->shares().m_OneBody;
      if (IsTooLarge ||
          Known->m_Waited + (Now - Known->m_WaitsSince) >= LongestWait) {
        refuse(*Known, StatusUnavailable, MemoryRefusal::RequestWaited);
        continue;
      }
      if (!IsStuck)
        makeRoom(*Known, Part, Now);
      IsStuck = true;
      retryLater();
    }
  }

  /// Hands evhttp what was kept from it, and reads on.
  static void goOn(Connection &Known, TimePoint Now) {
    Known.m_Waited += Now - std::exchange(Known.m_WaitsSince, TimePoint::max());
    Known.m_HeldBackCost = 0;
    const std::string Bytes = std::exchange(Known.m_HeldBack, {});
    evbuffer *Input = bufferevent_get_input(Known.m_Buffer);
    Known.m_PuttingBack = true;
    // A bufferevent keeps the end of its input to itself.
    evbuffer_unfreeze(Input, 0);
    evbuffer_add(Input, Bytes.data(), Bytes.size());
    evbuffer_freeze(Input, 0);
    Known.m_PuttingBack = false;
    bufferevent_enable(Known.m_Buffer, EV_READ);
    // It may end the connection.
    bufferevent_trigger(Known.m_Buffer, EV_READ, BEV_TRIG_IGNORE_WATERMARKS);
  }

  /// Refuses the oldest requests that are not whole until \p For has memory.
  void makeRoom(const Connection &For, MemoryPart Part, TimePoint Now) {
    std::vector<std::pair<TimePoint, Connection *>> Old;
    std::size_t Freed = 0;
    const auto HeldBy = [Part](const Connection &Which) {
      return Part == MemoryPart::Bodies ? Which.m_Long.bytes()
                                        : Which.m_Short.bytes();
    };
    for (const auto &[Raw, Known] : m_Open) {
      // Refused ones give theirs back when they are closed.
      if (Known->m_RefusedAt != TimePoint::max())
        Freed += HeldBy(*Known);
      // To refuse a request would cut an answer that is being written.
      if (Known->m_FirstByte == TimePoint::max() || Known.get() == &For ||
          Known->m_RefusedAt != TimePoint::max() || hasUnsent(Raw))
        continue;
      Candidate Who;
      Who.m_Since = Known->m_FirstByte;
      Who.m_IsWaiting = Known->m_WaitsSince != TimePoint::max();
      Who.m_Waited = Known->m_Waited;
      if (Who.m_IsWaiting)
        Who.m_Waited += Now - Known->m_WaitsSince;
      Who.m_Received = Known->m_Received;
      Who.m_HasHead = Known->m_Head.isDone();
      Who.m_HoldsBody = Known->m_Long.bytes() > 0;
      if (mayGoForOthers(Who, Part, Now))
        Old.emplace_back(Known->m_FirstByte, Known.get());
    }
    std::sort(Old.begin(), Old.end());
    for (const auto &[Since, Known] : Old) {
      if (Freed >= For.m_HeldBackCost)
        return;
      Freed += HeldBy(*Known);
      refuse(*Known, StatusTimeout, MemoryRefusal::SlowRequest);
    }
  }

  static void sendPage(const Connection &Known, int Status) {
    if (evbuffer_get_length(bufferevent_get_output(Known.m_Buffer)) > 0)
      return;
    const std::string Page = refusalPage(Status);
    // A page that the kernel does not take at once is not waited for.
    static_cast<void>(::send(bufferevent_getfd(Known.m_Buffer), Page.data(),
                             Page.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
  }

  /// Answers a request that is not whole, and reads nothing more of it. The
  /// connection is closed a little later, so that its caller can read the
  /// answer.
  void refuse(Connection &Known, int Status, MemoryRefusal Why) {
    m_Limits.m_Memory->noteRefusal(Why);
    m_Limits.m_Memory->releaseOneBody(&Known);
    Known.m_RefusedAt = BootClock::now();
    bufferevent_disable(Known.m_Buffer, EV_READ);
    Known.m_HeldBack = {};
    Known.m_HeldBackCost = 0;
    Known.m_WaitsSince = TimePoint::max();
    sendPage(Known, Status);
    ::shutdown(bufferevent_getfd(Known.m_Buffer), SHUT_WR);
  }

  void closeRefused() {
    const TimePoint Latest = BootClock::now() - RefusedTime;
    std::vector<evhttp_connection *> Over;
    for (const auto &[Raw, Known] : m_Open)
      if (Known->m_RefusedAt <= Latest)
        Over.push_back(Raw);
    for (evhttp_connection *Raw : Over)
      close(Raw, CloseReason::Memory);
  }

  /// Closes callers that take nothing of their answers, the largest first.
  void closeUnread() {
    if (!m_Limits.m_Memory->isOver(MemoryPart::Answers))
      return;
    const TimePoint Latest = BootClock::now() - UnreadAge;
    std::vector<std::pair<std::size_t, evhttp_connection *>> Unread;
    for (const auto &[Raw, Known] : m_Open)
      if (Known->m_Unread.bytes() > 0 && Known->m_TakenAt <= Latest)
        Unread.emplace_back(Known->m_Unread.bytes(), Raw);
    std::sort(Unread.rbegin(), Unread.rend());
    for (const auto &[Bytes, Raw] : Unread) {
      if (!m_Limits.m_Memory->isOver(MemoryPart::Answers))
        return;
      if (m_Open.find(Raw) == m_Open.end())
        continue;
      m_Limits.m_Memory->noteRefusal(MemoryRefusal::UnreadAnswer);
      close(Raw, CloseReason::Memory);
    }
  }

  void sweep() {
    closeSlowSenders();
    if (m_Limits.m_Memory == nullptr)
      return;
    closeRefused();
    closeWaiting();
    closeUnread();
    logRefusals();
  }

  void logRefusals() const {
    MemoryBudget &Memory = *m_Limits.m_Memory;
    if (!Memory.takeLogTurn(BootClock::now()))
      return;
    const auto Count = [&](MemoryRefusal Why) { return Memory.refusals(Why); };
    events::emit(
        events::Event::ClientsRefused,
        {{"too_many_connections", Count(MemoryRefusal::TooManyConnections)},
         {"silent_connection", Count(MemoryRefusal::SilentConnection)},
         {"slow_request", Count(MemoryRefusal::SlowRequest)},
         {"request_waited", Count(MemoryRefusal::RequestWaited)},
         {"answers_unread", Count(MemoryRefusal::AnswersUnread)},
         {"unread_answer", Count(MemoryRefusal::UnreadAnswer)},
         {"connections", Memory.held(MemoryPart::Connections)},
         {"requests", Memory.held(MemoryPart::Requests)},
         {"bodies", Memory.held(MemoryPart::Bodies)},
         {"answers", Memory.held(MemoryPart::Answers)}});
  }

  static void onClosed(evhttp_connection *Raw, void *Argument) {
    auto &Self = *static_cast<ServerState *>(Argument);
    const auto Found = Self.m_Open.find(Raw);
    if (Found == Self.m_Open.end())
      return;
    const std::shared_ptr<Connection> Known = Found->second;
    Self.report(Raw, *Known);
    Self.m_Open.erase(Found);
    stopObserving(*Known);
    if (Self.m_Limits.m_Memory != nullptr)
      Self.m_Limits.m_Memory->releaseOneBody(Known.get());
    // It watches a buffer that ends with the connection.
    Known->m_Pages.reset();
    ServerExchange *Current = Known->m_Current;
    if (Current == nullptr)
      return;
    const CloseReason Reason = Self.closeReason(Raw, *Known);
    // It may outlive the server, which no longer knows of it.
    Current->forgetConnection();
    Current->noteGone(closeReasonName(Reason));
  }

  static void onRequest(evhttp_request *Raw, void *Argument) {
    auto &Self = *static_cast<ServerState *>(Argument);
    const std::shared_ptr<Connection> Known =
        Self.adopt(evhttp_request_get_connection(Raw));
    auto Made = std::make_shared<ServerExchange>(Self.m_Loop, Raw, Known);
    Known->m_Current = Made.get();
    Known->m_FirstByte = TimePoint::max();
    Known->m_Received = 0;
    Known->m_Answering = true;
    ++Known->m_Requests;
    if (Self.m_Limits.m_Memory != nullptr)
      Self.startNext(*Known);
    if (isAmbiguous(Made->request().m_Method, Made->request().m_Fields))
      return Self.refuseAmbiguous(*Made);
    if (Self.m_Limits.m_Memory != nullptr &&
        Self.m_Limits.m_Memory->isOver(MemoryPart::Answers)) {
      Self.m_Limits.m_Memory->noteRefusal(MemoryRefusal::AnswersUnread);
      Made->closeAfter();
      return Made->reply(StatusUnavailable, {{"Retry-After", "1"}}, "");
    }
    Self.m_OnRequest(std::move(Made));
  }

  /// A request is whole. What its caller sent ahead, less than one read, is
  /// paid for here, since evhttp goes on with it once the answer is written.
  void startNext(Connection &Known) const {
    m_Limits.m_Memory->releaseOneBody(&Known);
    Known.m_Head = {};
    Known.m_Waited = {};
    bufferevent_set_max_single_read(Known.m_Buffer, ShortRead);
    evbuffer *Input = bufferevent_get_input(Known.m_Buffer);
    if (const std::size_t Ahead = evbuffer_get_length(Input); Ahead > 0)
      Known.m_Short.charge(scan(Known, Input, Ahead));
  }

  /// What follows on the connection may be a body that was taken for a
  /// request, so it ends here.
  void refuseAmbiguous(Exchange &Arrived) const {
    constexpr int BadRequest = 400;
    const Response Page = m_OnMalformed ? m_OnMalformed(BadRequest)
                                        : Response{BadRequest, {}, {}, {}};
    Arrived.closeAfter();
    Arrived.reply(Page.m_Status, Page.m_Headers, Page.m_Body);
  }

  void closeSlowSenders() {
    const TimePoint Oldest = BootClock::now() - m_Limits.m_FirstRequest;
    std::vector<evhttp_connection *> Slow;
    for (const auto &[Raw, Known] : m_Open) {
      // Nothing is read meanwhile, so that the sender can't go on.
      if (Known->m_FirstByte != TimePoint::max() &&
          (Known->m_Current != nullptr || hasUnsent(Raw)))
        Known->m_FirstByte = BootClock::now();
      if (Known->m_FirstByte < Oldest)
        Slow.push_back(Raw);
    }
    for (evhttp_connection *Raw : Slow) {
      ++m_SlowSenders;
      close(Raw, CloseReason::SlowSender);
    }
  }

  event_base *m_Loop;
  ServerLimits m_Limits;
  Handler m_OnRequest;
  ErrorPage m_OnMalformed;
  evhttp *m_Http = nullptr;
  evhttp_bound_socket *m_Socket = nullptr;
  std::unordered_map<evhttp_connection *, std::shared_ptr<Connection>> m_Open;
  std::function<void(const ClosedConnection &)> m_OnConnectionClosed;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_SlowSenders = 0;
  Timer m_Sweep;
  event *m_Retry; ///< Pending while a request waits for memory.
};

} // namespace

std::string_view closeReasonName(CloseReason Value) {
  switch (Value) {
  case CloseReason::PeerClosed:
    return "peer_closed";
  case CloseReason::Answered:
    return "answered";
  case CloseReason::Idle:
    return "idle";
  case CloseReason::Silent:
    return "silent";
  case CloseReason::SlowSender:
    return "slow_sender";
  case CloseReason::TooMany:
    return "too_many";
  case CloseReason::Dropped:
    return "dropped";
  case CloseReason::Protocol:
    return "protocol";
  case CloseReason::ServerEnded:
    return "server_ended";
  case CloseReason::Memory:
    return "memory";
  }
  return "";
}

Result<std::unique_ptr<Server>> listen(event_base *Loop, const Address &At,
                                       const ServerLimits &Limits,
                                       Handler OnRequest,
                                       ErrorPage OnMalformed) {
  ignoreBrokenPipes();
  auto Made = std::make_unique<ServerState>(Loop, Limits, std::move(OnRequest),
                                            std::move(OnMalformed));
  if (Status Opened = Made->open(At); failed(Opened))
    return errorOf(Opened);
  return std::unique_ptr<Server>(std::move(Made));
}

} // namespace wasabivale::http
