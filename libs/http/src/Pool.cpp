#include "Pool.h"

#include "Headers.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <utility>

namespace wasabivale::http {

namespace {

constexpr std::chrono::milliseconds SweepInterval{250};

bool hasWord(std::string_view Value, std::string_view Word) {
  std::size_t At = 0;
  while (At <= Value.size()) {
    const std::size_t End = std::min(Value.find(',', At), Value.size());
    std::string_view Part = Value.substr(At, End - At);
    while (!Part.empty() && Part.front() == ' ')
      Part.remove_prefix(1);
    while (!Part.empty() && Part.back() == ' ')
      Part.remove_suffix(1);
    if (isSameName(Part, Word))
      return true;
    At = End + 1;
  }
  return false;
}

/// `timeout=N` of a `Keep-Alive` field, in whole seconds.
std::optional<std::chrono::seconds> statedIdle(const Fields &Answer) {
  constexpr std::string_view Mark = "timeout=";
  const std::string_view Value = field(Answer, "keep-alive");
  const std::size_t At = Value.find(Mark);
  if (At == Value.npos)
    return std::nullopt;
  const std::string_view Digits = Value.substr(At + Mark.size());
  unsigned Seconds = 0;
  const auto Read =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
  if (Read.ec != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

/// Whether the connection is open, all was written and nothing has arrived.
bool isQuiet(evhttp_connection *Of) {
  bufferevent *Buffer = evhttp_connection_get_bufferevent(Of);
  return evbuffer_get_length(bufferevent_get_output(Buffer)) == 0 &&
         hasNoInput(Of);
}

} // namespace

bool hasNoInput(evhttp_connection *Connection) {
  bufferevent *Buffer = evhttp_connection_get_bufferevent(Connection);
  const evutil_socket_t Socket = bufferevent_getfd(Buffer);
  if (Socket == -1 || evbuffer_get_length(bufferevent_get_input(Buffer)) != 0)
    return false;
  char Byte = 0;
  return recv(Socket, &Byte, sizeof(Byte), MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

evhttp_connection *openConnection(event_base *Loop, const Address &To) {
  bufferevent *Buffer = bufferevent_socket_new(Loop, -1, BEV_OPT_CLOSE_ON_FREE);
  evhttp_connection *Made = evhttp_connection_base_bufferevent_new(
      Loop, nullptr, Buffer, To.m_Host.c_str(), To.m_Port);
  evhttp_connection_set_retries(Made, 0);
  return Made;
}

Pool::State::State(event_base *Loop, PoolSettings Settings)
    : m_Loop(Loop), m_Settings(Settings) {
  m_Close = event_new(
      Loop, -1, 0,
      [](evutil_socket_t, short, void *Owner) {
        static_cast<State *>(Owner)->freeClosing();
      },
      this);
  m_Sweep = std::make_unique<Timer>(Loop, SweepInterval, true,
                                    [this] { closeIdle(BootClock::now()); });
}

Pool::State::~State() {
  event_free(m_Close);
  for (auto &[Server, Kept] : m_Idle)
    for (const Idle &Each : Kept) {
      evhttp_connection_set_closecb(Each.m_Connection, nullptr, nullptr);
      evhttp_connection_free(Each.m_Connection);
    }
  freeClosing();
}

Pool::State::Taken Pool::State::take(const ClientRequest &Request,
                                     bool Repeatable) {
  const TimePoint Now = BootClock::now();
  auto &Kept = m_Idle[printAddress(Request.m_To)];
  while (!Kept.empty() && !Request.m_FreshConnection) {
    const Idle Last = Kept.back();
    const bool Fresh =
        Repeatable || Now - Last.m_Since <= m_Settings.m_FreshIdle;
    // The others are older still.
    if (!Fresh)
      break;
    Kept.pop_back();
    evhttp_connection_set_closecb(Last.m_Connection, nullptr, nullptr);
    if (Now < Last.m_CloseAt && isQuiet(Last.m_Connection))
      return {Last.m_Connection, true};
    close(Last.m_Connection);
  }
  ++m_Opened;
  return {openConnection(m_Loop, Request.m_To), false};
}

void Pool::State::giveBack(evhttp_connection *Used, const Address &To,
                           const Fields &Answer) {
  const TimePoint Now = BootClock::now();
  const Duration Stated = statedIdle(Answer).value_or(
      std::chrono::ceil<std::chrono::seconds>(m_Settings.m_Idle));
  const Duration Usable =
      std::min<Duration>(Stated, m_Settings.m_Idle) - m_Settings.m_IdleMargin;
  // An answer without a stated length ended with its connection.
  const bool Framed = !field(Answer, "content-length").empty() ||
                      !field(Answer, "transfer-encoding").empty();
  if (!Framed || !isQuiet(Used) ||
      hasWord(field(Answer, "connection"), "close") || Usable <= Duration(0))
    return close(Used);
  evhttp_connection_set_closecb(Used, onClosed, this);
  m_Idle[printAddress(To)].push_back({Used, Now, Now + Usable});
}

void Pool::State::watchSilence(evhttp_connection *Of) const {
  const auto Limit = static_cast<int>(m_Settings.m_Unacknowledged.count());
  const evutil_socket_t Socket =
      bufferevent_getfd(evhttp_connection_get_bufferevent(Of));
  // Without it the call's own deadline ends the wait.
  (void)setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &Limit,
                   sizeof(Limit));
}

void Pool::State::closeIdle(TimePoint Now) {
  for (auto &[Server, Kept] : m_Idle)
    std::erase_if(Kept, [&](const Idle &Each) {
      if (Now < Each.m_CloseAt)
        return false;
      evhttp_connection_set_closecb(Each.m_Connection, nullptr, nullptr);
      close(Each.m_Connection);
      return true;
    });
  std::erase_if(m_Idle, [](const auto &Each) { return Each.second.empty(); });
}

void Pool::State::close(evhttp_connection *Which) {
  m_Closing.push_back(Which);
  event_active(m_Close, EV_TIMEOUT, 0);
}

void Pool::State::freeClosing() {
  for (evhttp_connection *Each : std::exchange(m_Closing, {}))
    evhttp_connection_free(Each);
}

void Pool::State::onClosed(evhttp_connection *Which, void *Owner) {
  auto &Self = *static_cast<State *>(Owner);
  evhttp_connection_set_closecb(Which, nullptr, nullptr);
  for (auto &[Server, Kept] : Self.m_Idle)
    if (std::erase_if(Kept, [&](const Idle &Each) {
          return Each.m_Connection == Which;
        }) > 0)
      return Self.close(Which);
}

Pool::Pool(event_base *Loop, PoolSettings Settings)
    : m_State(std::make_shared<State>(Loop, Settings)) {
  ignoreBrokenPipes();
}

Pool::~Pool() = default;

void Pool::observe(PoolObserver Observer) {
  m_State->m_Observer = std::move(Observer);
}

void Pool::forget(const Address &Server) {
  const auto Found = m_State->m_Idle.find(printAddress(Server));
  if (Found == m_State->m_Idle.end())
    return;
  for (const State::Idle &Each : Found->second) {
    evhttp_connection_set_closecb(Each.m_Connection, nullptr, nullptr);
    m_State->close(Each.m_Connection);
  }
  m_State->m_Idle.erase(Found);
}

std::size_t Pool::idle() const {
  std::size_t Count = 0;
  for (const auto &[Server, Kept] : m_State->m_Idle)
    Count += Kept.size();
  return Count;
}

std::uint64_t Pool::opened() const { return m_State->m_Opened; }

std::size_t Pool::underWay() const { return m_State->m_UnderWay; }

} // namespace wasabivale::http
