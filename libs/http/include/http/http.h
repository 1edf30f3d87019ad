/// \file
/// HTTP/1.1 server and client on libevent's `evhttp`, with what this system
/// needs beside it: bounded bodies and headers, notice of a caller that has
/// gone, the bytes that a slow reader has not taken yet, and a client that
/// never sends a request twice and knows whether its first byte has left.
/// Requests whose length two readers could take differently are refused before
/// the handler sees them; responses that are malformed fail their call.
///
/// `listen` and `call` make the process ignore SIGPIPE: a peer that has closed
/// its connection is an error of that connection only.
///
/// Everything runs on the thread of the loop that is passed in. Callbacks are
/// called from the loop only, never from within a call of this library, except
/// where said.

#ifndef WASABIVALE_HTTP_HTTP_H
#define WASABIVALE_HTTP_HTTP_H

#include "base/base.h"

#include <array>
#include <charconv>
#include <event2/event.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct evhttp_request;

namespace wasabivale::http {

/// Header names in lower case with their values. A repeated header keeps its
/// first value.
using Headers = std::map<std::string, std::string>;

/// Header fields as they were sent: in their order, each repeated one too.
using Fields = std::vector<std::pair<std::string, std::string>>;

/// \returns the first value of \p Name in any case, or an empty view.
std::string_view field(const Fields &In, std::string_view Name);
/// \returns the decimal number that a field's whole value is, or nothing if it
/// is anything else or does not fit.
template <typename Number>
std::optional<Number> parseNumber(std::string_view Text) {
  Number Value{};
  const auto Read =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Text.empty() || Read.ec != std::errc() ||
      Read.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}
/// Whether two names of fields are equal but for the case of letters.
bool isSameName(std::string_view One, std::string_view Other);
/// Whether a field concerns one connection only (RFC 9110, 7.6.1), or states
/// the length of a message that is written anew.
bool isHopByHop(std::string_view Name);

/// IPv4 address and port.
struct Address {
  std::string m_Host;
  std::uint16_t m_Port = 0;

  bool operator==(const Address &) const = default;
};

/// Parses `ip:port`. Names are refused: processes are known by IP numbers.
Result<Address> parseAddress(std::string_view Text);
std::string printAddress(const Address &Value);

struct Request {
  std::string m_Method; ///< GET, POST, PUT, DELETE, HEAD, OPTIONS or PATCH.
  std::string m_Path;   ///< Without the query.
  std::string m_Query;
  std::string m_Target; ///< Path and query, byte for byte.
  Headers m_Headers;
  Fields m_Fields;
  std::string m_Body;
  std::string m_PeerAddress;
};

struct Response {
  int m_Status = 0;
  Headers m_Headers;
  Fields m_Fields;
  std::string m_Body; ///< Empty when the body was taken by `OnChunk`.
};

/// \returns the value of header \p Name (lower case), or an empty view.
std::string_view header(const Headers &In, const std::string &Name);

// --- Server ---------------------------------------------------------------

/// One request that waits for its answer. Exactly one of `reply` and
/// `startStream` ... `finish` answers it; dropping the last reference without
/// an answer closes the connection. After the caller has gone every call is
/// harmless; a whole answer is still sent, since a caller that only stopped
/// sending may read it.
class Exchange {
public:
  virtual ~Exchange() = default;

  [[nodiscard]] virtual const Request &request() const = 0;
  /// Sends a whole answer.
  virtual void reply(int Status, const Headers &With,
                     std::string_view Body) = 0;
  /// Sends a whole answer with the fields of another server.
  virtual void relay(int Status, const Fields &With, std::string_view Body) = 0;
  /// Starts an answer of unknown length (chunked).
  virtual void startStream(int Status, const Headers &With) = 0;
  virtual void startRelay(int Status, const Fields &With) = 0;
  /// The connection ends after the answer. Call before the answer begins.
  virtual void closeAfter() = 0;
  /// The connection ends after the answer, unless the caller's next request has
  /// begun to arrive: closing would reset the connection, and the caller could
  /// lose this answer. Call before the answer begins.
  virtual void closeAfterLast() = 0;
  virtual void write(std::string_view Piece) = 0;
  /// Ends a stream in order.
  virtual void finish() = 0;
  /// Breaks the connection, so that the caller sees that a stream is not
  /// whole.
  virtual void abort() = 0;
  /// Bytes written here that the caller's connection has not taken yet.
  [[nodiscard]] virtual std::size_t pendingBytes() const = 0;
  [[nodiscard]] virtual bool isGone() const = 0;
  /// How that was found out: `hangup` (it has closed its connection, or at
  /// least stopped sending), `reset`, or the name of a `CloseReason`. Empty
  /// while the caller is there.
  [[nodiscard]] virtual std::string_view goneReason() const = 0;
  /// When the caller's connection was accepted.
  [[nodiscard]] virtual TimePoint acceptedAt() const = 0;
  /// Called once when the caller's connection ends before the answer did.
  virtual void onGone(std::function<void()> Callback) = 0;
};

// --- Memory of clients ------------------------------------------------------

/// Shares of a process's memory budget. None is used for another, so that what
/// one kind of client fills leaves the rest to the others.
enum class MemoryPart : std::uint8_t {
  Connections, ///< Open connections with a first read of each.
  Requests,    ///< Heads, and the start of each body.
  Bodies,      ///< The rest of long bodies.
  Answers,     ///< Answers that their callers have not taken.
};
inline constexpr std::size_t MemoryParts = 4;

/// Why a client was refused or its connection was closed to keep the budget.
enum class MemoryRefusal : std::uint8_t {
  TooManyConnections,
  SilentConnection, ///< It made room for a new connection.
  SlowRequest,      ///< It made room for others (408).
  RequestWaited,    ///< No memory came free for it in time (503).
  AnswersUnread,    ///< Others' answers fill their part (503).
  UnreadAnswer,     ///< Its answer was not read, and the part was full.
};
inline constexpr std::size_t MemoryRefusals = 6;

/// Names in metrics and log lines, in lower case.
std::string_view memoryPartName(MemoryPart Value);
std::string_view memoryRefusalName(MemoryRefusal Value);

struct MemoryShares {
  /// Most bytes of each part.
  std::array<std::size_t, MemoryParts> m_Most{};
  /// Of `Bodies`, kept for one request at a time, which is whole with it. Long
  /// bodies that each hold a part of the rest can't block one another.
  std::size_t m_OneBody = 0;
};

/// Memory of a machine whose settings don't name it: that of the smallest
/// entries, so that the budget fits any machine in service.
inline constexpr std::size_t DefaultMachineMegabytes = 120;

/// Shares for a process that may use \p MachineBytes and \p Descriptors, and
/// takes bodies of up to \p BodyBytes.
MemoryShares sharesOf(std::size_t MachineBytes, std::size_t Descriptors,
                      std::size_t BodyBytes);

/// Memory that a process lends to its clients over all its listeners. Its users
/// take before they read or hold.
class MemoryBudget {
public:
  explicit MemoryBudget(const MemoryShares &Shares) : m_Shares(Shares) {}

  /// Takes all of it or nothing. \param Whose the one body for which
  /// `m_OneBody` is kept may use it, if \p Whose was the first to claim it.
  bool take(MemoryPart Of, std::size_t Bytes, const void *Whose = nullptr);
  /// Takes it even if that is more than there is.
  void charge(MemoryPart Of, std::size_t Bytes);
  void give(MemoryPart Of, std::size_t Bytes);
  /// Whether more is held than the part has.
  [[nodiscard]] bool isOver(MemoryPart Of) const;
  [[nodiscard]] std::size_t held(MemoryPart Of) const;
  [[nodiscard]] const MemoryShares &shares() const { return m_Shares; }

  /// \returns whether \p Who has `m_OneBody` now.
  bool claimOneBody(const void *Who);
  void releaseOneBody(const void *Who);
  [[nodiscard]] bool hasOneBody(const void *Who) const {
    return Who != nullptr && m_OneBodyOf == Who;
  }

  void noteRefusal(MemoryRefusal Why);
  [[nodiscard]] std::uint64_t refusals(MemoryRefusal Why) const;
  /// \returns whether refusals are to be logged now: at most once a second, and
  /// only after new ones.
  bool takeLogTurn(TimePoint Now);

private:
  [[nodiscard]] static std::size_t index(MemoryPart Of) {
    return static_cast<std::size_t>(Of);
  }

  MemoryShares m_Shares;
  std::array<std::size_t, MemoryParts> m_Held{};
  std::array<std::uint64_t, MemoryRefusals> m_Refusals{};
  const void *m_OneBodyOf = nullptr;
  bool m_HasNews = false;
  TimePoint m_NextLog;
};

/// The budget of a process on a machine with that much memory, for bodies of up
/// to \p BodyBytes and no less than the default of `ServerLimits`.
std::shared_ptr<MemoryBudget> makeBudget(std::size_t MachineMegabytes,
                                         std::size_t BodyBytes);

struct ServerLimits {
  std::size_t m_HeaderBytes = 16U << 10U;
  std::size_t m_BodyBytes = 4U << 20U;
  /// Longest silence of a connection, reading or writing.
  std::chrono::milliseconds m_Silence{30'000};
  /// Longest time from a request's first byte to its last.
  std::chrono::milliseconds m_FirstRequest{10'000};
  std::size_t m_Connections = 20'000;
  /// Shared by all listeners of the process; null: without bound.
  std::shared_ptr<MemoryBudget> m_Memory;
};

using Handler = std::function<void(std::shared_ptr<Exchange>)>;

/// Answer to a request that is too malformed to reach the handler. The
/// status is 400 malformed, 413 body too large, 431 headers too large, or 501
/// unknown method; the page may choose another. The connection is closed after
/// it.
using ErrorPage = std::function<Response(int Status)>;

/// Why a connection to a server ended.
enum class CloseReason : std::uint8_t {
  PeerClosed,  ///< The peer closed or reset it.
  Answered,    ///< Its last answer is written, and one side asked to close.
  Idle,        ///< `Server::closeIdle`.
  Silent,      ///< Nothing moved for `ServerLimits::m_Silence`.
  SlowSender,  ///< A request took longer than `ServerLimits::m_FirstRequest`.
  TooMany,     ///< There were more than `ServerLimits::m_Connections`.
  Dropped,     ///< An exchange was given up before its answer was whole.
  Protocol,    ///< What was received is not HTTP, or is too large.
  ServerEnded, ///< The server was destroyed.
  Memory,      ///< It held memory that others needed.
};

/// Name of a reason in log lines, in lower case.
std::string_view closeReasonName(CloseReason Value);

struct ClosedConnection {
  CloseReason m_Reason = CloseReason::PeerClosed;
  std::string m_Peer; ///< IP address; empty if it is not known.
  TimePoint m_AcceptedAt;
  std::size_t m_Requests = 0;    ///< Received whole on it.
  bool m_IsAnswerDue = false;    ///< The last of them has no whole answer.
  bool m_HasUnread = false;      ///< Bytes of the peer were not read.
  std::size_t m_UnsentBytes = 0; ///< Of answers.
};

class Server {
public:
  virtual ~Server() = default;
  /// Connections that are open now.
  [[nodiscard]] virtual std::size_t connections() const = 0;
  /// Requests received whole on them whose answer has not been handed over.
  [[nodiscard]] virtual std::size_t exchanges() const = 0;
  /// Connections closed for being over `m_Connections` or too slow to send a
  /// request.
  [[nodiscard]] virtual std::uint64_t refusedConnections() const = 0;
  [[nodiscard]] virtual std::uint64_t slowSenders() const = 0;
  /// Stops accepting connections; those that are open go on.
  virtual void stopAccepting() = 0;
  /// Closes the connections on which nothing is under way: no request is being
  /// received or answered, and no byte waits to be read or written.
  virtual void closeIdle() = 0;
  /// \p Callback hears of each connection that ends, just before it is closed,
  /// and must not use the server.
  virtual void onConnectionClosed(
      std::function<void(const ClosedConnection &)> Callback) = 0;
};

/// Listens on \p At. \p Loop must outlive the server. Exchanges that outlive
/// the server count as gone. \p OnMalformed replaces evhttp's own error pages.
Result<std::unique_ptr<Server>> listen(event_base *Loop, const Address &At,
                                       const ServerLimits &Limits,
                                       Handler OnRequest,
                                       ErrorPage OnMalformed = nullptr);

// --- Client ---------------------------------------------------------------

/// Why a response is none of HTTP/1.1 (RFC 9110, 5; RFC 9112, 2.2 and 4 to 7).
/// Such a response ends its call with an error, for which `isMalformedResponse`
/// holds, and its connection. Nothing is passed on of a malformed head.
enum class ResponseFault : std::uint8_t {
  StatusLine,       ///< No `HTTP/1.x`, status of three digits and reason.
  StatusCode,       ///< Not within 100 to 599, or 101, which is not asked for.
  FieldLine,        ///< Without a colon, or it continues the line before it.
  FieldName,        ///< Empty, or with characters that no name has.
  FieldValue,       ///< Holds a control character other than a tab.
  LineEnd,          ///< A CR within a line, or CRLF and LF in one response.
  ContentLength,    ///< No decimal number, several, or where none may stand.
  TransferEncoding, ///< Not `chunked` once, or where none may stand.
  ChunkSize,        ///< No hexadecimal number, or a malformed extension.
  ChunkEnd,         ///< No line end behind a chunk's bytes.
  TooLong,          ///< A head, size of a chunk or trailer over `m_HeadBytes`.
};
inline constexpr std::size_t ResponseFaults = 11;

/// Name in metrics and log lines, in lower case.
std::string_view responseFaultName(ResponseFault Value);
/// Malformed responses that this process has received.
std::uint64_t malformedResponses(ResponseFault Fault);
/// Whether a call has failed because its peer's response is malformed. The peer
/// was reached, and may have acted on the request.
bool isMalformedResponse(const Error &Failure);

struct ClientRequest {
  Address m_To;
  std::string m_Method = "POST";
  std::string m_Path; ///< With the query.
  Headers m_Headers;
  /// Sent as they are, with no others but the length. Used in place of
  /// `m_Headers` when they are not empty.
  Fields m_Fields;
  std::string m_Body;
  /// When the call ends with an error if the answer is not complete.
  TimePoint m_Deadline;
  /// Most bytes of the answer's body that are held here: all of it when it is
  /// collected, otherwise one chunk, or the length that the peer has stated.
  /// The call ends with an error above it.
  std::size_t m_AnswerBytes = 16U << 20U;
  /// Most bytes of the answer's head, and of the framing within its body.
  std::size_t m_HeadBytes = 64U << 10U;
  /// Whether a pool must open a connection for it.
  bool m_FreshConnection = false;
  std::string m_LogId; ///< `request=` in log lines; may be empty.
};

struct ClientHandlers {
  /// Status and headers have arrived. Optional.
  std::function<void(int Status, const Headers &)> m_OnHead;
  /// The same with the fields as they were sent. Optional.
  std::function<void(int Status, const Fields &)> m_OnFields;
  /// A piece of the body has arrived. When unset, the body is collected.
  std::function<void(std::string_view Piece)> m_OnChunk;
  /// The call has ended: the answer is complete, or it failed. Called once,
  /// last, and not at all after `cancel`.
  std::function<void(Result<Response>)> m_OnDone;
};

/// One request on a connection that serves no other meanwhile. It is sent at
/// most once.
class ClientCall {
public:
  virtual ~ClientCall() = default;
  /// Whether any byte of the request has been handed to the kernel. While it
  /// is false the peer can't have seen the request.
  [[nodiscard]] virtual bool hasSent() const = 0;
  /// Whether the connection has carried an earlier request. What arrives on it
  /// may then be a late or repeated answer to that one.
  [[nodiscard]] virtual bool isReused() const = 0;
  /// Ends the call and closes its connection; no callback follows. May be
  /// called from within a callback, which then runs to its end.
  virtual void cancel() = 0;
  /// Stops and resumes reading from the connection; the kernel's buffers then
  /// slow the peer down.
  virtual void pause() = 0;
  virtual void resume() = 0;
};

/// Starts a call. The call lives until its end even when the reference that is
/// returned is dropped; to stop it, `cancel` it.
std::shared_ptr<ClientCall> call(event_base *Loop, ClientRequest What,
                                 ClientHandlers Handlers);

struct PoolSettings {
  /// Idle time after which a connection is closed when its peer states none.
  std::chrono::milliseconds m_Idle{8'000};
  /// A connection is given up this long before its peer would close it.
  std::chrono::milliseconds m_IdleMargin{700};
  /// Longest idle time of a connection that a request takes which must not be
  /// repeated: a peer that closes as we write leaves its fate unknown.
  std::chrono::milliseconds m_FreshIdle{1'500};
  /// Longest wait for a new connection. Nothing has been sent by then.
  std::chrono::milliseconds m_Connect{500};
  /// Longest time that sent bytes stay unacknowledged by the peer's kernel.
  std::chrono::milliseconds m_Unacknowledged{1'000};
};

/// What the calls of a pool learn of connections. All are called from within
/// the pool and must not use it.
struct PoolObserver {
  /// A new connection was made.
  std::function<void(const Address &)> m_OnConnected;
  /// A connection could not be made, or broke under a call; nothing was
  /// received on it since \p SilentSince.
  std::function<void(const Address &, TimePoint SilentSince)> m_OnFailure;
  /// Bytes of an answer have arrived.
  std::function<void()> m_OnReceived;
};

/// Kept connections to servers: at most one request at a time on each. A
/// connection is kept only after a whole answer with nothing behind it that
/// began once the whole request had been written. Bytes that arrive while no
/// request is open close it; those that arrive before a request is sent end
/// the call, and nothing is sent.
class Pool {
public:
  Pool(event_base *Loop, PoolSettings Settings);
  ~Pool();
  Pool(const Pool &) = delete;
  Pool &operator=(const Pool &) = delete;

  /// Starts a call on a kept connection, or on a new one.
  /// \param Repeatable false: only a connection that was used just now.
  std::shared_ptr<ClientCall> call(ClientRequest What, ClientHandlers Handlers,
                                   bool Repeatable);
  /// Replaces the observer; an empty one ends the observation.
  void observe(PoolObserver Observer);
  /// Closes the idle connections to a server that is not used any longer.
  void forget(const Address &Server);
  [[nodiscard]] std::size_t idle() const;
  [[nodiscard]] std::uint64_t opened() const;
  /// Calls that have not ended.
  [[nodiscard]] std::size_t underWay() const;

  struct State; ///< Shared with the calls under way.

private:
  std::shared_ptr<State> m_State;
};

enum class ListenerState : std::uint8_t {
  Listening, ///< The connection was made; it is closed again.
  Refused,   ///< The peer's kernel answers that nobody listens.
  Failed,    ///< Another error, such as a reset.
  Unknown,   ///< No answer in time.
};

/// Finds out whether a process listens on an address, without sending anything
/// to it. Ends when it is destroyed.
class ListenerProbe {
public:
  /// \p Done is called once, not from here; it may destroy the probe.
  ListenerProbe(event_base *Loop, const Address &Server, TimePoint Deadline,
                std::function<void(ListenerState)> Done);
  ~ListenerProbe();
  ListenerProbe(const ListenerProbe &) = delete;
  ListenerProbe &operator=(const ListenerProbe &) = delete;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

// --- Timers ---------------------------------------------------------------

/// A timer on a loop; stops when it is destroyed.
class Timer {
public:
  /// Calls \p Callback every \p Interval, or once after it.
  Timer(event_base *Loop, std::chrono::milliseconds Interval, bool Repeats,
        std::function<void()> Callback);
  ~Timer();
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

private:
  std::function<void()> m_Callback;
  event *m_Event;
};

} // namespace wasabivale::http

#endif // WASABIVALE_HTTP_HTTP_H
