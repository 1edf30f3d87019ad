// Requests, changes and reloads in every order around a stop, in simulated
// time.

#include "Shop.h"
#include "SimulatedClock.h"
#include "daemon/daemon.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <sstream>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wasabivale::entry::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds StopLag{2'800};
constexpr milliseconds StopPatience{4'800};
constexpr milliseconds KillAfter{8'000};

/// Draws of one order.
class Draw {
public:
  explicit Draw(std::uint64_t Seed) : m_Random(Seed) {}
  std::uint64_t between(std::uint64_t Least, std::uint64_t Most) {
    return Least + m_Random() % (Most - Least + 1);
  }
  milliseconds time(milliseconds Least, milliseconds Most) {
    return milliseconds(between(static_cast<std::uint64_t>(Least.count()),
                                static_cast<std::uint64_t>(Most.count())));
  }
  bool oneIn(std::uint64_t Count) { return between(1, Count) == 1; }

private:
  std::mt19937_64 m_Random;
};

/// Takes the log lines of the process while it lives.
class LogCapture {
public:
  LogCapture() : m_Former(dup(STDOUT_FILENO)), m_File(memfd_create("log", 0)) {
    fflush(stdout);
    dup2(m_File, STDOUT_FILENO);
    events::setMinimumLevel(events::Level::Info);
  }
  ~LogCapture() {
    events::setMinimumLevel(events::Level::Error);
    dup2(m_Former, STDOUT_FILENO);
    close(m_Former);
    close(m_File);
  }
  LogCapture(const LogCapture &) = delete;
  LogCapture &operator=(const LogCapture &) = delete;

  [[nodiscard]] std::vector<std::string> lines(std::string_view Of) const {
    std::string Text(static_cast<std::size_t>(lseek(m_File, 0, SEEK_END)), ' ');
    (void)!pread(m_File, Text.data(), Text.size(), 0);
    std::vector<std::string> Found;
    std::stringstream All(Text);
    for (std::string Line; std::getline(All, Line);)
      if (Line.find(Of) != std::string::npos)
        Found.push_back(Line);
    return Found;
  }

private:
  int m_Former;
  int m_File;
};

/// A caller that sends one request in two pieces.
class PieceSender {
public:
  PieceSender(const std::string &Id, const std::string &Path)
      : m_Socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)),
        m_Request(fmt::format("POST {} HTTP/1.1\r\nHost: shop.example\r\n"
                              "Attempt: {}\r\nWaits-S: 1\r\n"
                              "Content-Length: 4\r\n\r\nbody",
                              Path, Id)) {
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(EntryPort);
    To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)connect(m_Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To));
  }
  ~PieceSender() { close(m_Socket); }
  PieceSender(const PieceSender &) = delete;
  PieceSender &operator=(const PieceSender &) = delete;

  /// Sends the bytes up to \p End as soon as the kernel takes them.
  void sendUpTo(std::size_t End) {
    m_End = End;
    flush();
  }
  /// \returns the status, 0 if the connection ended without one, or nothing
  /// while it waits.
  std::optional<int> look() {
    flush();
    std::array<char, 4096> Bytes{};
    const ssize_t Count =
        recv(m_Socket, Bytes.data(), Bytes.size(), MSG_DONTWAIT);
    if (Count > 0)
      return std::atoi(Bytes.data() + std::string_view("HTTP/1.1 ").size());
    if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return std::nullopt;
    return 0;
  }
  [[nodiscard]] std::size_t size() const { return m_Request.size(); }

private:
  void flush() {
    if (m_Sent == m_End)
      return;
    const ssize_t Count = ::send(m_Socket, m_Request.data() + m_Sent,
                                 m_End - m_Sent, MSG_NOSIGNAL);
    m_Sent += static_cast<std::size_t>(std::max<ssize_t>(Count, 0));
  }

  int m_Socket;
  std::string m_Request;
  std::size_t m_Sent = 0;
  std::size_t m_End = 0;
};

struct Sent {
  bool m_IsInPieces = false;
  TimePoint m_At;
  bool m_Ended = false;
  int m_Status = 0;
  std::string_view m_Stage; ///< Of the entry, when it was sent.
};

/// What an order showed.
struct Findings {
  std::size_t m_Sent = 0;
  std::size_t m_SentLate = 0; ///< After the balancer has taken the entry out.
  std::size_t m_Ran = 0;
  std::size_t m_Refused = 0;
  std::size_t m_Crossed = 0; ///< Neither read, nor run, nor answered.
  std::size_t m_InPieces = 0;
  std::size_t m_Restarts = 0;
  std::vector<std::string> m_Violations;
};

class Order {
public:
  explicit Order(std::uint64_t Seed) : m_Draw(Seed), m_Seed(Seed) {}

  Findings play() {
    m_Shop.m_Settings.m_StopLag = StopLag;
    m_Shop.m_Settings.m_StopPatience = StopPatience;
    for (std::uint64_t I = m_Draw.between(1, 2); I > 0; --I)
      m_Scripts.push_back([this](const Exchange &Arrived) { run(Arrived); });
    daemon::noteStage("serving");
    // `book` may take as long as a stop.
    m_Shop.m_Fleet.mutable_routes()->mutable_routes(1)->set_timeout_ns(
        std::chrono::nanoseconds(KillAfter).count());
    m_Shop.open(m_Scripts);
    m_Shop.m_Fleet.mutable_targets(0)->set_max_running(64);
    if (m_Draw.oneIn(3)) {
      for (wire::Target &Each : *m_Shop.m_Fleet.mutable_targets())
        Each.set_max_running(2);
      m_Shop.m_Fleet.set_revision(m_Shop.m_Fleet.revision() + 1);
      REQUIRE(m_Shop.m_Path->takeFleet(m_Shop.m_Fleet));
      m_Shop.grant();
    }
    m_Pool = std::make_unique<http::Pool>(m_Shop.m_Loop.m_Base,
                                          http::PoolSettings{});
    openConnections();
    m_StopAt = BootClock::now() + milliseconds(20);
    schedule(m_StopAt, [this] { stop(); });
    scheduleRequests();
    scheduleChanges();
    while (m_Shop.m_Entry != nullptr &&
           BootClock::now() < m_StopAt + KillAfter + milliseconds(500)) {
      followStage();
      lookAtPieces();
      m_Shop.m_Loop.turnFor(milliseconds(1));
    }
    if (m_Shop.m_Entry != nullptr)
      violate("the process has not ended in time");
    else if (m_Draw.oneIn(2))
      restart();
    m_Shop.m_Loop.turnFor(milliseconds(1'000));
    // The kernel's connections need real time, of which little has passed.
    for (int Looks = 0; Looks < 500 && isAnyOpen(); ++Looks) {
      usleep(1'000);
      m_Shop.m_Loop.turnFor(milliseconds(1));
      lookAtPieces();
    }
    judge();
    m_Pieces.clear();
    m_Timers.clear();
    m_Pool.reset();
    return std::move(m_Found);
  }

private:
  void schedule(TimePoint When, std::function<void()> Action) {
    const auto Left = std::chrono::ceil<milliseconds>(
        std::max<Duration>(When - BootClock::now(), Duration(0)));
    m_Timers.push_back(std::make_unique<http::Timer>(m_Shop.m_Loop.m_Base, Left,
                                                     false, std::move(Action)));
  }

  void openConnections() {
    const std::uint64_t Count = m_Draw.between(1, 4);
    for (std::uint64_t I = 0; I < Count; ++I)
      send("/stock/7", milliseconds(1));
    REQUIRE(m_Shop.m_Loop.until([&] { return m_Pool->idle() == Count; }));
    m_Sent.clear();
    m_Shop.m_Seen.clear();
  }

  /// A target at work; how long is said by the request.
  void run(const Exchange &Arrived) {
    const std::string Id(http::field(Arrived->request().m_Fields, "attempt"));
    ++m_Runs[Id];
    schedule(BootClock::now() + m_Work[Id],
             [Arrived] { answers(200, "done")(Arrived); });
  }

  void send(const std::string &Path, milliseconds Work) {
    if (m_Shop.m_Entry == nullptr)
      return;
    const std::string Id = "r-" + std::to_string(m_Next++);
    m_Work[Id] = Work;
    http::ClientRequest Out;
    Out.m_To = {"127.0.0.1", EntryPort};
    Out.m_Path = Path;
    Out.m_Fields = {{"Host", "shop.example"},
                    {"Attempt", Id},
                    {"Waits-S", Work > milliseconds(900) ? "7" : "1"}};
    Out.m_Body = std::string(m_Draw.between(0, 2'000), 'x');
    Out.m_Deadline = BootClock::now() + std::chrono::seconds(20);
    auto Result = std::make_shared<Sent>();
    Result->m_At = BootClock::now();
    Result->m_Stage = daemon::currentStage();
    http::ClientHandlers Handlers;
    Handlers.m_OnDone = [Result](const Result_t &Ending) {
      if (!failed(Ending))
        Result->m_Status = valueOf(Ending).m_Status;
      Result->m_Ended = true;
    };
    (void)m_Pool->call(std::move(Out), std::move(Handlers), true);
    m_Sent[Id] = Result;
  }
  using Result_t = wasabivale::Result<http::Response>;

  void sendShort() {
    send(m_Draw.oneIn(2) ? "/stock/7" : "/book/7",
         m_Draw.time(milliseconds(1), milliseconds(45)));
  }

  void scheduleRequests() {
    // Keeps the entry answering for longer than its connections are offered.
    if (m_Draw.oneIn(2)) {
      const milliseconds Work =
          m_Draw.time(milliseconds(2'000), milliseconds(6'000));
      schedule(m_StopAt - milliseconds(5),
               [this, Work] { send("/book/7", Work); });
    }
    for (std::uint64_t I = m_Draw.between(2, 10); I > 0; --I)
      schedule(m_StopAt + m_Draw.time(milliseconds(0), milliseconds(7'800)),
               [this] { sendShort(); });
    for (std::uint64_t I = m_Draw.between(2, 10); I > 0; --I)
      schedule(m_StopAt + m_Draw.time(milliseconds(2'700), milliseconds(3'200)),
               [this] { sendShort(); });
  }

  /// Sends a request on a connection of its own in two pieces.
  void sendInPieces() {
    if (m_Shop.m_Entry == nullptr)
      return;
    const std::string Id = "r-" + std::to_string(m_Next++);
    m_Work[Id] = m_Draw.time(milliseconds(1), milliseconds(45));
    auto Result = std::make_shared<Sent>();
    Result->m_At = BootClock::now();
    Result->m_Stage = daemon::currentStage();
    Result->m_IsInPieces = true;
    auto Caller = std::make_shared<PieceSender>(
        Id, m_Draw.oneIn(2) ? "/stock/7" : "/book/7");
    m_Sent[Id] = Result;
    m_Pieces.emplace_back(Caller, Result);
    ++m_Found.m_InPieces;
    const std::size_t First = m_Draw.between(1, Caller->size() - 1);
    const TimePoint Now = BootClock::now();
    const milliseconds Gap = m_Draw.time(milliseconds(0), milliseconds(150));
    schedule(Now + milliseconds(1), [=] { Caller->sendUpTo(First); });
    schedule(Now + milliseconds(1) + Gap,
             [=] { Caller->sendUpTo(Caller->size()); });
  }

  [[nodiscard]] bool isAnyOpen() const {
    return std::any_of(m_Sent.begin(), m_Sent.end(),
                       [](const auto &Each) { return !Each.second->m_Ended; });
  }

  void lookAtPieces() {
    for (const auto &[Caller, Result] : m_Pieces)
      if (const auto Status = Result->m_Ended ? std::nullopt : Caller->look()) {
        Result->m_Ended = true;
        Result->m_Status = *Status;
      }
  }

  /// A new process at the same address, with requests in its first second.
  void restart() {
    ++m_Found.m_Restarts;
    m_Shop.m_Loop.turnFor(m_Draw.time(milliseconds(0), milliseconds(600)));
    auto Opened = Entry::open(m_Shop.m_Loop.m_Base, m_Shop.m_Settings,
                              m_Shop.m_Registry, &Plain);
    REQUIRE_FALSE(failed(Opened));
    m_Shop.m_Entry = std::move(valueOf(Opened));
    m_Shop.m_Path = &m_Shop.m_Entry->requests();
    m_IsStopping = false;
    daemon::noteStage("serving");
    const TimePoint Start = BootClock::now();
    schedule(Start + m_Draw.time(milliseconds(0), milliseconds(300)), [this] {
      REQUIRE(m_Shop.m_Path->takeFleet(m_Shop.m_Fleet));
      m_Shop.grant();
    });
    for (std::uint64_t I = m_Draw.between(2, 8); I > 0; --I)
      schedule(Start + m_Draw.time(milliseconds(0), milliseconds(1'000)),
               [this] { m_Draw.oneIn(3) ? sendInPieces() : sendShort(); });
    const TimePoint End = Start + milliseconds(2'500);
    while (BootClock::now() < End) {
      lookAtPieces();
      m_Shop.m_Loop.turnFor(milliseconds(5));
    }
  }

  /// Sends around each stage as it begins.
  void followStage() {
    if (m_Stage == daemon::currentStage())
      return;
    m_Stage = daemon::currentStage();
    for (std::uint64_t I = m_Draw.between(0, 3); I > 0; --I)
      schedule(BootClock::now() +
                   m_Draw.time(milliseconds(0), milliseconds(130)),
               [this] { m_Draw.oneIn(4) ? sendInPieces() : sendShort(); });
  }

  void scheduleChanges() {
    for (std::uint64_t I = m_Draw.between(0, 4); I > 0; --I)
      schedule(m_StopAt + m_Draw.time(milliseconds(0), milliseconds(7'000)),
               [this] { change(); });
    // The process stands still, and its timers are late.
    for (std::uint64_t I = m_Draw.between(0, 2); I > 0; --I)
      schedule(m_StopAt + m_Draw.time(milliseconds(0), milliseconds(6'500)),
               [this] {
                 SimulatedClock::skip(
                     m_Draw.time(milliseconds(1), milliseconds(150)));
               });
  }

  void change() {
    if (m_Shop.m_Entry == nullptr || !m_IsStopping)
      return;
    wire::FleetUpdate &Fleet = m_Shop.m_Fleet;
    switch (m_Draw.between(1, 4)) {
    case 1: // A version of the routes with a further route.
      Fleet.mutable_routes()->set_version(Fleet.routes().version() + 1);
      Fleet.set_routes_version(Fleet.routes().version());
      *Fleet.mutable_routes()->add_routes() = route(
          "extra-" + std::to_string(Fleet.routes().version()), "safe", "desk");
      break;
    case 2: // Other time-outs.
      Fleet.mutable_routes()->set_version(Fleet.routes().version() + 1);
      Fleet.set_routes_version(Fleet.routes().version());
      Fleet.mutable_routes()->mutable_routes(0)->set_timeout_ns(
          1'000'000'000 +
          static_cast<std::int64_t>(m_Draw.between(0, 1'000'000'000)));
      break;
    case 3: // Settings that are read again.
      return m_Shop.m_Entry->reload(m_Shop.m_Settings);
    default: // A second order to stop.
      return m_Shop.m_Entry->stop([] {});
    }
    Fleet.set_revision(Fleet.revision() + 1);
    REQUIRE(m_Shop.m_Path->takeFleet(Fleet));
    m_Shop.grant();
  }

  void stop() {
    m_IsStopping = true;
    m_Shop.m_Entry->stop(
        [this] { schedule(BootClock::now(), [this] { m_Shop.end(); }); });
  }

  void violate(const std::string &What) {
    m_Found.m_Violations.push_back(fmt::format("seed {}: {}", m_Seed, What));
  }

  void judge() {
    const auto Has = [](const std::string &Line, std::string_view Text) {
      return Line.find(Text) != std::string::npos;
    };
    for (const std::string &Line : m_Log.lines(" connection_closed ")) {
      const bool IsAnswerLost =
          Has(Line, "answer_due=true") && !Has(Line, "reason=peer_closed");
      const bool IsRequestLost =
          Has(Line, "unread=true") &&
          (Has(Line, "reason=server_ended") || Has(Line, "reason=idle"));
      if (IsAnswerLost || IsRequestLost)
        violate(Line);
    }
    for (const std::string &Line : m_Log.lines(" end_delayed "))
      violate(Line);
    for (const auto &[Id, Each] : m_Sent) {
      const auto Since =
          std::chrono::duration_cast<milliseconds>(Each->m_At - m_StopAt);
      const std::string Text = fmt::format(
          "{}{} sent {} ms after the stop in stage {}: status {}, runs "
          "{}, of {} ms",
          Id, Each->m_IsInPieces ? " in pieces" : "", Since.count(),
          Each->m_Stage, Each->m_Status, m_Runs[Id], m_Work[Id].count());
      ++m_Found.m_Sent;
      m_Found.m_SentLate += Since > StopLag ? 1 : 0;
      const int Runs = m_Runs.count(Id) != 0 ? m_Runs[Id] : 0;
      m_Found.m_Ran += Runs > 0 ? 1 : 0;
      if (!Each->m_Ended)
        violate(Text + ", no end");
      else if (Runs > 0 && Each->m_Status != 200)
        violate(Text + ", a target ran it");
      else if (Runs == 0 && Each->m_Status == 503)
        ++m_Found.m_Refused;
      else if (Runs == 0 && Each->m_Status == 0)
        ++m_Found.m_Crossed;
      else if (Runs == 0)
        violate(Text + ", no target ran it");
      if (Runs > 1)
        violate(Text + ", it ran more than once");
    }
  }

  SimulatedClock m_Clock;
  Draw m_Draw;
  std::uint64_t m_Seed;
  Shop m_Shop;
  LogCapture m_Log; ///< After the shop, which sets the level.
  std::vector<std::pair<std::shared_ptr<PieceSender>, std::shared_ptr<Sent>>>
      m_Pieces;
  std::vector<Play> m_Scripts;
  std::unique_ptr<http::Pool> m_Pool;
  TimePoint m_StopAt;
  bool m_IsStopping = false;
  std::string_view m_Stage;
  int m_Next = 0;
  std::map<std::string, std::shared_ptr<Sent>> m_Sent;
  std::map<std::string, milliseconds> m_Work;
  std::map<std::string, int> m_Runs;
  std::vector<std::unique_ptr<http::Timer>> m_Timers;
  Findings m_Found;
};

std::uint64_t numberOr(const char *Variable, std::uint64_t Default) {
  const char *Text = std::getenv(Variable);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

} // namespace

SCENARIO("a request that a stopping entry passes on is answered in every order "
         "of stages, requests and changes") {
  constexpr std::uint64_t OrdersInCi = 200;
  const std::uint64_t First = numberOr("WASABIVALE_FIRST_ORDER", 1);
  const std::uint64_t Count = numberOr("WASABIVALE_ORDERS", OrdersInCi);
  Findings All;
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
    const Findings One = Order(Seed).play();
    All.m_Sent += One.m_Sent;
    All.m_SentLate += One.m_SentLate;
    All.m_Ran += One.m_Ran;
    All.m_Refused += One.m_Refused;
    All.m_Crossed += One.m_Crossed;
    All.m_InPieces += One.m_InPieces;
    All.m_Restarts += One.m_Restarts;
    for (const std::string &Text : One.m_Violations)
      All.m_Violations.push_back(Text);
  }
  INFO(fmt::format("orders {} sent {} late {} ran {} refused {} crossed {} in "
                   "pieces {} restarts {}",
                   Count, All.m_Sent, All.m_SentLate, All.m_Ran, All.m_Refused,
                   All.m_Crossed, All.m_InPieces, All.m_Restarts));
  for (const std::string &Text : All.m_Violations)
    UNSCOPED_INFO(Text);
  CHECK(All.m_Violations.empty());
  CHECK(All.m_Ran > Count);
  CHECK(All.m_SentLate > Count);
}

} // namespace wasabivale::entry::test
