#include "ErrorPages.h"
#include "Headers.h"
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

class ServerExchange;

/// A caller's connection, known from its accept to its close.
struct Connection {
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
  /// Arrival of the first byte of a request that is not whole yet.
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
        m_Request(toRequest(Raw)) {
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
  bool m_Gone = false;
  std::string_view m_GoneReason;
  bool m_IsCut = false; ///< Pieces were not written.
  bool m_ClosesAfterLast = false;
  std::function<void()> m_OnGone;
};

constexpr std::chrono::milliseconds SweepInterval{250};

class ServerState final : public Server {
public:
  ServerState(event_base *Loop, const ServerLimits &Limits, Handler OnRequest,
              ErrorPage OnMalformed)
      : m_Loop(Loop), m_Limits(Limits), m_OnRequest(std::move(OnRequest)),
        m_OnMalformed(std::move(OnMalformed)),
        m_Sweep(Loop, SweepInterval, true, [this] { closeSlowSenders(); }) {}

  ~ServerState() override {
    for (const auto &[Raw, Known] : std::exchange(m_Open, {})) {
      Known->m_Closing = CloseReason::ServerEnded;
      report(Raw, *Known);
      if (Known->m_Current != nullptr)
        Known->m_Current->detach();
    }
    if (m_Http != nullptr)
      evhttp_free(m_Http);
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
    Self.adopt(Raw);
    if (Self.m_Open.size() <= Self.m_Limits.m_Connections)
      return;
    ++Self.m_Refused;
    Self.close(Raw, CloseReason::TooMany);
  }

  /// \returns what is known of a connection, from now on if it is new.
  std::shared_ptr<Connection> adopt(evhttp_connection *Raw) {
    auto &Known = m_Open[Raw];
    if (Known != nullptr)
      return Known;
    bufferevent *Buffer = evhttp_connection_get_bufferevent(Raw);
    Known = std::make_shared<Connection>();
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

  static void onInput(evbuffer *, const evbuffer_cb_info *Info,
                      void *Argument) {
    auto &Known = *static_cast<Connection *>(Argument);
    if (Known.m_Current == nullptr)
      Known.m_Received += Info->n_added;
    if (Info->n_added == 0)
      return;
    Known.m_MovedAt = BootClock::now();
    if (Known.m_Current == nullptr && Known.m_FirstByte == TimePoint::max())
      Known.m_FirstByte = Known.m_MovedAt;
  }

  static void onClosed(evhttp_connection *Raw, void *Argument) {
    auto &Self = *static_cast<ServerState *>(Argument);
    const auto Found = Self.m_Open.find(Raw);
    if (Found == Self.m_Open.end())
      return;
    const std::shared_ptr<Connection> Known = Found->second;
    Self.report(Raw, *Known);
    Self.m_Open.erase(Found);
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
    if (isAmbiguous(Made->request().m_Method, Made->request().m_Fields))
      return Self.refuseAmbiguous(*Made);
    Self.m_OnRequest(std::move(Made));
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
    for (const auto &[Raw, Known] : m_Open)
      if (Known->m_FirstByte < Oldest)
        Slow.push_back(Raw);
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
