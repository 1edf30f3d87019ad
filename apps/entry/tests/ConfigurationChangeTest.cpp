// Requests beside the start of an entry and changes of its configuration, in
// every order and in simulated time.

#include "Shop.h"
#include "SimulatedClock.h"

#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace wasabivale::entry::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Length{2'500};
/// A shorter one shows false losses on a busy machine.
constexpr std::chrono::microseconds Delivery{1'000};
constexpr std::size_t MaxTargets = 6;

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

struct Sent {
  std::string m_Id;
  std::string m_Path;
  milliseconds m_At{};
  milliseconds m_EndedAt{};
  std::string m_Answer;
  bool m_IsWhole = false; ///< Its last byte was written.
  bool m_Ended = false;

  [[nodiscard]] int status() const {
    constexpr std::size_t Begin = 9;
    return m_Answer.size() < Begin + 3
               ? 0
               : std::atoi(m_Answer.substr(Begin, 3).c_str());
  }
  [[nodiscard]] bool has(const std::string &Text) const {
    return m_Answer.find(Text) != std::string::npos;
  }
  [[nodiscard]] bool isAnswered() const {
    const std::size_t Head = m_Answer.find("\r\n\r\n");
    if (Head == std::string::npos)
      return false;
    const std::string Name = "Content-Length: ";
    const std::size_t Size = m_Answer.find(Name);
    if (Size == std::string::npos || Size > Head)
      return m_Answer.size() >= 5 &&
             m_Answer.compare(m_Answer.size() - 5, 5, "0\r\n\r\n") == 0;
    return m_Answer.size() >=
           Head + 4 + std::stoul(m_Answer.substr(Size + Name.size()));
  }
};

/// A caller's connection, which sends a head and a body as it is told to.
class Caller {
public:
  explicit Caller(event_base *Loop)
      : m_Buffer(bufferevent_socket_new(Loop, -1, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(m_Buffer, onRead, nullptr, onEvent, this);
    bufferevent_enable(m_Buffer, EV_READ | EV_WRITE);
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(EntryPort);
    To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bufferevent_socket_connect(
                m_Buffer, reinterpret_cast<sockaddr *>(&To), sizeof(To)) == 0);
    const int NoDelay = 1;
    setsockopt(bufferevent_getfd(m_Buffer), IPPROTO_TCP, TCP_NODELAY, &NoDelay,
               sizeof(NoDelay));
  }
  ~Caller() { bufferevent_free(m_Buffer); }
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  [[nodiscard]] bool isFree() const { return m_IsOpen && m_Current == nullptr; }
  void take(std::shared_ptr<Sent> What) { m_Current = std::move(What); }
  void write(const std::string &Text) {
    bufferevent_write(m_Buffer, Text.data(), Text.size());
  }
  std::function<milliseconds()> m_Now;

private:
  void end() {
    m_Current->m_EndedAt = m_Now();
    m_Current->m_Ended = true;
    m_Current = nullptr;
  }

  static void onRead(bufferevent *, void *Argument) {
    auto &Self = *static_cast<Caller *>(Argument);
    evbuffer *Input = bufferevent_get_input(Self.m_Buffer);
    std::string Got(evbuffer_get_length(Input), 0);
    evbuffer_remove(Input, Got.data(), Got.size());
    if (Self.m_Current == nullptr)
      return;
    Self.m_Current->m_Answer += Got;
    if (!Self.m_Current->isAnswered())
      return;
    if (Self.m_Current->has("Connection: close"))
      Self.m_IsOpen = false;
    Self.end();
  }

  static void onEvent(bufferevent *, short What, void *Argument) {
    if ((What & BEV_EVENT_CONNECTED) != 0)
      return;
    auto &Self = *static_cast<Caller *>(Argument);
    Self.m_IsOpen = false;
    if (Self.m_Current != nullptr)
      Self.end();
  }

  bufferevent *m_Buffer;
  std::shared_ptr<Sent> m_Current;
  bool m_IsOpen = true;
};

struct Findings {
  std::size_t m_Sent = 0;
  std::size_t m_Ran = 0;
  std::size_t m_Refused = 0;
  std::size_t m_Changes = 0;
  std::map<int, std::size_t> m_Statuses;
  std::vector<std::string> m_Violations;
};

class Order {
public:
  explicit Order(std::uint64_t Seed)
      : m_Draw(Seed), m_Seed(Seed), m_Begin(BootClock::now()) {}

  Findings play() {
    if (m_Draw.oneIn(3))
      m_Shop.m_Settings.m_Queue = m_Draw.between(1, 4);
    for (std::uint64_t I = m_Draw.between(0, 3); I > 0; --I)
      addTarget(m_Draw.oneIn(4) ? "shelf" : "desk");
    m_Shop.m_Fleet.mutable_routes()->add_services()->set_name("shelf");
    for (std::uint64_t I = m_Draw.between(0, 3); I > 0; --I)
      m_Callers.push_back(connect());
    const milliseconds First =
        m_Draw.oneIn(3) ? milliseconds(0)
                        : m_Draw.time(milliseconds(0), milliseconds(500));
    schedule(First, [this] {
      apply();
      if (m_Draw.oneIn(2))
        apply();
    });
    for (std::uint64_t I = m_Draw.between(4, 24); I > 0; --I)
      schedule(m_Draw.time(milliseconds(0), Length), [this] { send(); });
    for (std::uint64_t I = m_Draw.between(2, 8); I > 0; --I)
      schedule(First + m_Draw.time(milliseconds(0), milliseconds(20)),
               [this] { send(); });
    for (std::uint64_t I = m_Draw.between(1, 10); I > 0; --I)
      schedule(First + m_Draw.time(milliseconds(0), Length), [this] {
        for (std::uint64_t Beside = m_Draw.between(0, 3); Beside > 0; --Beside)
          send();
        for (std::uint64_t Quick = m_Draw.between(1, 2); Quick > 0; --Quick)
          change();
        if (m_Draw.oneIn(2))
          send();
      });
    while (now() < Length + milliseconds(6'000) && !(now() > Length && over()))
      event_base_loop(m_Shop.m_Loop.m_Base, EVLOOP_ONCE);
    judge();
    m_IsOver = true;
    m_Timers.clear();
    m_Callers.clear();
    return std::move(m_Found);
  }

private:
  [[nodiscard]] milliseconds now() const {
    return std::chrono::duration_cast<milliseconds>(BootClock::now() - m_Begin);
  }

  [[nodiscard]] bool over() const {
    return std::all_of(m_Sent.begin(), m_Sent.end(),
                       [](const auto &Each) { return Each->m_Ended; });
  }

  void after(milliseconds Left, std::function<void()> Action) {
    m_Timers.push_back(std::make_unique<http::Timer>(m_Shop.m_Loop.m_Base, Left,
                                                     false, std::move(Action)));
  }
  void schedule(milliseconds At, std::function<void()> Action) {
    after(std::max(At - now(), milliseconds(0)), std::move(Action));
  }

  std::unique_ptr<Caller> connect() {
    auto Made = std::make_unique<Caller>(m_Shop.m_Loop.m_Base);
    Made->m_Now = [this] { return now(); };
    return Made;
  }

  void addTarget(const std::string &Service) {
    if (m_Shop.m_Targets.size() >= MaxTargets)
      return;
    wire::Target &Added =
        m_Shop.add([this](const Exchange &Arrived) { run(Arrived); });
    Added.set_models(0, Service);
    Added.set_max_running(static_cast<std::uint32_t>(m_Draw.between(1, 4)));
  }

  void run(const Exchange &Arrived) {
    const std::string Id(http::field(Arrived->request().m_Fields, "attempt"));
    // A run that is refused has not run.
    if (m_IsOver || m_Draw.oneIn(12)) {
      http::Fields Head = stamped(Arrived);
      Head.emplace_back("Not-Run", "1");
      return Arrived->relay(503, Head, "");
    }
    ++m_Runs[Id];
    const bool IsStream = Arrived->request().m_Path.find("/note/") == 0 ||
                          Arrived->request().m_Path.find("/advice/") == 0;
    if (!IsStream)
      return after(m_Draw.time(milliseconds(0), milliseconds(200)),
                   [Arrived] { answers(200, "done")(Arrived); });
    // All at once: the kernel delays small pieces by real time.
    after(m_Draw.time(milliseconds(0), milliseconds(200)),
          [Arrived] { streams(4, true)(Arrived); });
  }

  void send() {
    static constexpr const char *Paths[] = {"/stock/7", "/stock/7", "/book/7",
                                            "/note/7", "/advice/7"};
    Caller *On = nullptr;
    if (!m_Draw.oneIn(3))
      for (const auto &Each : m_Callers)
        if (Each->isFree())
          On = Each.get();
    if (On == nullptr) {
      m_Callers.push_back(connect());
      On = m_Callers.back().get();
    }
    auto What = std::make_shared<Sent>();
    What->m_Id = "r-" + std::to_string(m_Sent.size());
    What->m_Path = Paths[m_Draw.between(0, std::size(Paths) - 1)];
    What->m_At = now();
    m_Sent.push_back(What);
    On->take(What);
    const std::string Body(m_Draw.between(0, 3'000), 'x');
    On->write(fmt::format("POST {} HTTP/1.1\r\nHost: shop.example\r\n"
                          "Attempt: {}\r\nWaits-S: {}\r\n"
                          "Content-Length: {}\r\n\r\n",
                          What->m_Path, What->m_Id, m_Draw.between(1, 3),
                          Body.size()));
    const auto SendBody = [On, What, Body] {
      On->write(Body);
      What->m_IsWhole = true;
    };
    if (m_Draw.oneIn(2))
      return SendBody();
    after(m_Draw.time(milliseconds(1), milliseconds(80)), SendBody);
  }

  wire::RouteTable &routes() { return *m_Shop.m_Fleet.mutable_routes(); }

  wire::Route *anyRoute() {
    const int Count = routes().routes_size();
    return Count == 0 ? nullptr
                      : routes().mutable_routes(
                            static_cast<int>(m_Draw.between(0, Count - 1)));
  }

  /// What is told next says that a target is \p State.
  void setTarget(const std::string &State) {
    const int Count = m_Shop.m_Fleet.targets_size();
    if (Count == 0)
      return;
    wire::Target &One = *m_Shop.m_Fleet.mutable_targets(
        static_cast<int>(m_Draw.between(0, Count - 1)));
    One.set_state(State);
    One.set_generation(One.generation() + 1);
  }

  void changeRoutes() {
    wire::Route *Route = anyRoute();
    const std::uint64_t Kind = m_Draw.between(0, 9);
    if (Route == nullptr && Kind > 1)
      return;
    switch (Kind) {
    case 0:
      *routes().add_routes() =
          route("extra-" + std::to_string(m_Found.m_Changes), "safe", "desk");
      return;
    case 1: // Removed ones come back.
      for (const char *Name : {"stock", "book"})
        if (std::none_of(
                routes().routes().begin(), routes().routes().end(),
                [&](const wire::Route &Each) { return Each.name() == Name; }))
          *routes().add_routes() = route(Name, "safe", "desk");
      return;
    case 2:
      return routes().mutable_routes()->DeleteSubrange(
          static_cast<int>(m_Draw.between(0, routes().routes_size() - 1)), 1);
    case 3:
      return Route->mutable_services(0)->set_service(m_Draw.oneIn(2) ? "desk"
                                                                     : "shelf");
    case 4: {
      wire::ServiceShare &Part = *Route->add_services();
      Part.set_service("shelf");
      return Part.set_weight(static_cast<double>(m_Draw.between(0, 3)));
    }
    case 5:
      return Route->set_timeout_ns(
          std::chrono::nanoseconds(
              m_Draw.time(milliseconds(50), milliseconds(3'000)))
              .count());
    case 6:
      return Route->set_max_attempts(
          static_cast<std::uint32_t>(m_Draw.between(1, 3)));
    case 7:
      if (Route->kind() != "streaming")
        Route->set_kind(Route->kind() == "safe" ? "unsafe" : "safe");
      return;
    case 8:
      for (int I = 0; I < 300; ++I)
        *routes().add_routes() = route(
            fmt::format("many-{}-{}", m_Found.m_Changes, I), "safe", "desk");
      return;
    default: // A service goes; its routes and targets may stay.
      if (routes().services_size() > 1)
        return routes().mutable_services()->RemoveLast();
      return routes().add_services()->set_name("shelf");
    }
  }

  void change() {
    ++m_Found.m_Changes;
    switch (m_Draw.between(0, 9)) {
    case 0:
      addTarget(m_Draw.oneIn(2) ? "shelf" : "desk");
      break;
    case 1:
      setTarget("draining");
      break;
    case 2:
      setTarget("serving");
      break;
    case 3:
      if (m_Shop.m_Fleet.targets_size() > 0)
        m_Shop.m_Fleet.mutable_targets()->RemoveLast();
      break;
    case 4: { // Refused whole.
      wire::FleetUpdate Invalid = m_Shop.m_Fleet;
      Invalid.clear_targets();
      Invalid.mutable_routes()->clear_routes();
      Invalid.set_configuration("{\"callers\": [");
      Invalid.set_configuration_revision(m_Found.m_Changes);
      CHECK_FALSE(m_Shop.m_Path->takeFleet(Invalid));
      return;
    }
    case 5:
      return m_Shop.m_Entry->reload(m_Shop.m_Settings);
    case 6:
      return m_Shop.grant();
    default:
      changeRoutes();
      routes().set_version(routes().version() + 1);
      m_Shop.m_Fleet.set_routes_version(routes().version());
      break;
    }
    apply();
  }

  void apply() {
    m_Shop.m_Fleet.set_revision(m_Shop.m_Fleet.revision() + 1);
    REQUIRE(m_Shop.m_Path->takeFleet(m_Shop.m_Fleet));
    m_Shop.grant();
  }

  void judge() {
    for (const auto &Each : m_Sent) {
      const int Status = Each->status();
      const int Runs = m_Runs.count(Each->m_Id) != 0 ? m_Runs[Each->m_Id] : 0;
      ++m_Found.m_Sent;
      ++m_Found.m_Statuses[Status];
      m_Found.m_Ran += Runs > 0 ? 1 : 0;
      const bool IsRefusal = Status == 503;
      m_Found.m_Refused += IsRefusal ? 1 : 0;
      const auto Violate = [&](const std::string &What) {
        m_Found.m_Violations.push_back(fmt::format(
            "seed {}: {} {} sent at {} ms, ended at {} ms, ran {} times, "
            "status {}: {}\n{}",
            m_Seed, Each->m_Id, Each->m_Path, Each->m_At.count(),
            Each->m_EndedAt.count(), Runs, Status, What, Each->m_Answer));
      };
      if (!Each->m_Ended)
        Violate("no end");
      else if (!Each->m_IsWhole && Status == 0)
        Violate("closed while its body came");
      else if (!Each->isAnswered())
        Violate("no whole answer");
      else if (IsRefusal && (!Each->has("Retry-After") || Runs > 0))
        Violate("no proper refusal");
      else if (Runs == 0 && Status != 503 && Status != 404)
        Violate("not refused");
      else if (Runs > 0 && Status != 200 && Status != 504)
        Violate("not answered");
      if (Runs > 1)
        Violate("ran again");
    }
  }

  SimulatedClock m_Clock{Delivery};
  Draw m_Draw;
  std::uint64_t m_Seed;
  bool m_IsOver = false;
  Shop m_Shop;
  TimePoint m_Begin;
  std::vector<std::unique_ptr<Caller>> m_Callers;
  std::vector<std::shared_ptr<Sent>> m_Sent;
  std::map<std::string, int> m_Runs;
  std::vector<std::unique_ptr<http::Timer>> m_Timers;
  Findings m_Found;
};

std::uint64_t numberOr(const char *Variable, std::uint64_t Default) {
  const char *Text = std::getenv(Variable);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

} // namespace

SCENARIO("a request that an entry reads beside its start or a change of its "
         "configuration is answered or refused in every order") {
  constexpr std::uint64_t OrdersInCi = 150;
  const std::uint64_t First = numberOr("WASABIVALE_FIRST_ORDER", 1);
  const std::uint64_t Count = numberOr("WASABIVALE_ORDERS", OrdersInCi);
  Findings All;
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
    const Findings One = Order(Seed).play();
    All.m_Sent += One.m_Sent;
    All.m_Ran += One.m_Ran;
    All.m_Refused += One.m_Refused;
    All.m_Changes += One.m_Changes;
    for (const auto &[Status, Times] : One.m_Statuses)
      All.m_Statuses[Status] += Times;
    All.m_Violations.insert(All.m_Violations.end(), One.m_Violations.begin(),
                            One.m_Violations.end());
  }
  std::string Statuses;
  for (const auto &[Status, Times] : All.m_Statuses)
    Statuses += fmt::format(" {}:{}", Status, Times);
  INFO(fmt::format("orders {} changes {} sent {} ran {} refused {} by status{}",
                   Count, All.m_Changes, All.m_Sent, All.m_Ran, All.m_Refused,
                   Statuses));
  for (const std::string &Text : All.m_Violations)
    UNSCOPED_INFO(Text);
  CHECK(All.m_Violations.empty());
  CHECK(All.m_Ran > Count);
  CHECK(All.m_Refused > Count);
}

} // namespace wasabivale::entry::test
