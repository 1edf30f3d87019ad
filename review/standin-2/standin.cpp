// Stand-ins of the second review: a runner, a client that also serves as the
// operator, and a search for free ports. They speak what the users' pages say,
// over plain sockets, and use nothing of the project.
//
//   standin ports COUNT
//   standin raw IP:PORT MS <BYTES
//   standin call METHOD URL [-H "Name: value"]... [-d BODY] [-t MS] [-r HOPS]
//   standin runner --id ID --listen IP:PORT --zone ZONE --service NAME
//                  --slots N --control IP:PORT,IP:PORT,... [--stage STAGE]
//                  [--events N] [--gap-ms MS] [--comment-after N] [--comment-first yes]
//                  [--comment-pause-ms MS] [--crash-path PREFIX]
//                  [--crash-after EVENTS] [--back-after-ms MS]
//
// `call` prints the status, the fields and the body as they arrive, and ends
// with the line "END complete" or "END broken: REASON".
// `runner` prints one line for each thing that it does.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

using Clock = std::chrono::steady_clock;
using Fields = std::vector<std::pair<std::string, std::string>>;

static long long unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

static std::mutex OutputLock;

static void say(const char *Format, ...) {
  char Line[4096];
  va_list Arguments;
  va_start(Arguments, Format);
  vsnprintf(Line, sizeof(Line), Format, Arguments);
  va_end(Arguments);
  const std::lock_guard Guard(OutputLock);
  printf("%lld %s\n", unixMs(), Line);
  fflush(stdout);
}

static void sleepMs(long long Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

static bool sameName(const std::string &A, const std::string &B) {
  return strcasecmp(A.c_str(), B.c_str()) == 0;
}

static std::string fieldOf(const Fields &In, const std::string &Name) {
  for (const auto &[Key, Value] : In)
    if (sameName(Key, Name))
      return Value;
  return "";
}

static bool readAddress(const std::string &Text, sockaddr_in &To) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  To = {};
  To.sin_family = AF_INET;
  To.sin_port = htons(
      static_cast<std::uint16_t>(std::atoi(Text.c_str() + Colon + 1)));
  return inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &To.sin_addr) == 1;
}

// --- A connection with a deadline for each wait -----------------------------

class Link {
public:
  explicit Link(int Socket) : m_Socket(Socket) {
    const int On = 1;
    setsockopt(m_Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  }
  ~Link() { close(m_Socket); }
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  bool write(const std::string &Bytes) {
    std::size_t Sent = 0;
    while (Sent < Bytes.size()) {
      const ssize_t Count = send(m_Socket, Bytes.data() + Sent,
                                 Bytes.size() - Sent, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Sent += static_cast<std::size_t>(Count);
    }
    return true;
  }

  /// Reads more into the buffer. \returns false at an end, a reset or a
  /// timeout, which `reason` then tells.
  bool more(Clock::time_point Until) {
    const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Until - Clock::now());
    pollfd Wait{m_Socket, POLLIN, 0};
    const int Ready =
        poll(&Wait, 1, static_cast<int>(std::max<long long>(0, Left.count())));
    if (Ready == 0) {
      m_Reason = "no bytes in time";
      return false;
    }
    char Bytes[16384];
    const ssize_t Count = recv(m_Socket, Bytes, sizeof(Bytes), 0);
    if (Count == 0)
      m_Reason = "closed";
    if (Count < 0)
      m_Reason = strerror(errno);
    if (Count <= 0)
      return false;
    m_Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }

  std::optional<std::string> line(Clock::time_point Until) {
    for (;;) {
      const std::size_t End = m_Buffer.find('\n');
      if (End != std::string::npos) {
        std::string Line = m_Buffer.substr(0, End);
        m_Buffer.erase(0, End + 1);
        if (!Line.empty() && Line.back() == '\r')
          Line.pop_back();
        return Line;
      }
      if (!more(Until))
        return std::nullopt;
    }
  }

  std::optional<std::string> bytes(std::size_t Count, Clock::time_point Until) {
    while (m_Buffer.size() < Count)
      if (!more(Until))
        return std::nullopt;
    std::string Taken = m_Buffer.substr(0, Count);
    m_Buffer.erase(0, Count);
    return Taken;
  }

  std::string m_Buffer;
  std::string m_Reason = "closed";
  int m_Socket;
};

static std::optional<Fields> readFields(Link &From, Clock::time_point Until) {
  Fields Made;
  for (;;) {
    const auto Line = From.line(Until);
    if (!Line)
      return std::nullopt;
    if (Line->empty())
      return Made;
    const std::size_t Colon = Line->find(':');
    if (Colon == std::string::npos)
      return std::nullopt;
    std::size_t Start = Colon + 1;
    while (Start < Line->size() && (*Line)[Start] == ' ')
      ++Start;
    Made.emplace_back(Line->substr(0, Colon), Line->substr(Start));
  }
}

/// Reads a body by its length or its chunks. \returns false if it is broken.
template <typename OnBytes>
static bool readBody(Link &From, const Fields &Head, bool UntilClose,
                     Clock::time_point Until, OnBytes Take) {
  if (sameName(fieldOf(Head, "transfer-encoding"), "chunked")) {
    for (;;) {
      const auto Size = From.line(Until);
      if (!Size)
        return false;
      const std::size_t Count = std::strtoull(Size->c_str(), nullptr, 16);
      if (Count == 0) {
        for (;;) {
          const auto Line = From.line(Until);
          if (!Line)
            return false;
          if (Line->empty())
            return true;
        }
      }
      const auto Bytes = From.bytes(Count, Until);
      if (!Bytes || !From.bytes(2, Until))
        return false;
      Take(*Bytes);
    }
  }
  const std::string Length = fieldOf(Head, "content-length");
  if (!Length.empty()) {
    const auto Bytes =
        From.bytes(std::strtoull(Length.c_str(), nullptr, 10), Until);
    if (!Bytes)
      return false;
    Take(*Bytes);
    return true;
  }
  if (!UntilClose)
    return true;
  do {
    Take(From.m_Buffer);
    From.m_Buffer.clear();
  } while (From.more(Until));
  return From.m_Reason == "closed";
}

// --- Client -----------------------------------------------------------------

struct Answer {
  int m_Status = 0;
  Fields m_Fields;
  std::string m_Body;
  std::string m_Broken; ///< Why it is not whole.
};

static int openTo(const std::string &Address, Clock::time_point Until,
                  std::string &Broken) {
  sockaddr_in To{};
  if (!readAddress(Address, To)) {
    Broken = "no address: " + Address;
    return -1;
  }
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  int Error = 0;
  if (connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0 &&
      errno != EINPROGRESS)
    Error = errno;
  if (Error == 0) {
    const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Until - Clock::now());
    // Clients allow a new connection one second to be established.
    pollfd Wait{Socket, POLLOUT, 0};
    const int Ready = poll(
        &Wait, 1,
        static_cast<int>(std::clamp<long long>(Left.count(), 0, 1'000)));
    socklen_t Size = sizeof(Error);
    if (Ready != 1)
      Error = ETIMEDOUT;
    else
      getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size);
  }
  if (Error != 0) {
    Broken = std::string("connect: ") + strerror(Error);
    close(Socket);
    return -1;
  }
  // Reads wait by poll; only writes may block.
  fcntl(Socket, F_SETFL, fcntl(Socket, F_GETFL) & ~O_NONBLOCK);
  const timeval Limit{5, 0};
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  return Socket;
}

template <typename OnBytes>
static Answer ask(const std::string &Address, const std::string &Method,
                  const std::string &Path, const Fields &Extra,
                  const std::string &Body, Clock::time_point Until,
                  OnBytes OnBody) {
  Answer Made;
  const int Socket = openTo(Address, Until, Made.m_Broken);
  if (Socket < 0)
    return Made;
  Link Peer(Socket);
  std::string Out = Method + " " + Path + " HTTP/1.1\r\n";
  if (fieldOf(Extra, "host").empty())
    Out += "Host: " + Address + "\r\n";
  for (const auto &[Name, Value] : Extra)
    Out += Name + ": " + Value + "\r\n";
  if (!Body.empty() || Method == "POST" || Method == "PUT")
    Out += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Out += "\r\n" + Body;
  if (!Peer.write(Out)) {
    Made.m_Broken = "the request could not be written";
    return Made;
  }
  do {
    const auto Status = Peer.line(Until);
    if (!Status || Status->size() < 12 || Status->compare(0, 7, "HTTP/1.") != 0) {
      Made.m_Broken = Status ? "no answer of HTTP" : Peer.m_Reason;
      return Made;
    }
    Made.m_Status = std::atoi(Status->c_str() + 9);
    const auto Head = readFields(Peer, Until);
    if (!Head) {
      Made.m_Broken = Peer.m_Reason;
      return Made;
    }
    Made.m_Fields = *Head;
  } while (Made.m_Status / 100 == 1);
  if (!readBody(Peer, Made.m_Fields, true, Until, [&](const std::string &Part) {
        OnBody(Part);
        Made.m_Body += Part;
      }))
    Made.m_Broken = Peer.m_Reason;
  return Made;
}

/// Splits http://IP:PORT/PATH.
static bool splitUrl(const std::string &Url, std::string &Address,
                     std::string &Path) {
  const std::string Scheme = "http://";
  if (Url.compare(0, Scheme.size(), Scheme) != 0)
    return false;
  const std::size_t Slash = Url.find('/', Scheme.size());
  Address = Url.substr(Scheme.size(), Slash - Scheme.size());
  Path = Slash == std::string::npos ? "/" : Url.substr(Slash);
  return true;
}

/// Follows 307 as often as callers of control do.
static Answer askControl(std::string Address, const std::string &Method,
                         std::string Path, const std::string &Body, int Hops,
                         Clock::time_point Until, std::string &Last) {
  const Fields Json = {{"Content-Type", "application/json"},
                       {"Connection", "close"}};
  for (;;) {
    Last = Address;
    Answer Got = ask(Address, Method, Path, Json, Body, Until,
                     [](const std::string &) {});
    const std::string Next = fieldOf(Got.m_Fields, "location");
    if (Got.m_Status != 307 || Hops-- == 0 ||
        !splitUrl(Next, Address, Path))
      return Got;
  }
}

static int runCall(int Count, char **Arguments) {
  if (Count < 2)
    return 2;
  const std::string Method = Arguments[0];
  std::string Address;
  std::string Path;
  if (!splitUrl(Arguments[1], Address, Path))
    return 2;
  Fields Extra;
  std::string Body;
  long long Timeout = 1'000;
  int Hops = 0;
  for (int I = 2; I + 1 < Count; I += 2) {
    const std::string Option = Arguments[I];
    const std::string Value = Arguments[I + 1];
    const std::size_t Colon = Value.find(": ");
    if (Option == "-H" && Colon != std::string::npos)
      Extra.emplace_back(Value.substr(0, Colon), Value.substr(Colon + 2));
    else if (Option == "-d")
      Body = Value;
    else if (Option == "-t")
      Timeout = std::atoll(Value.c_str());
    else if (Option == "-r")
      Hops = std::atoi(Value.c_str());
    else
      return 2;
  }
  const auto Until = Clock::now() + std::chrono::milliseconds(Timeout);
  Answer Got;
  std::string Last = Address;
  if (Hops > 0)
    Got = askControl(Address, Method, Path, Body, Hops, Until, Last);
  else
    Got = ask(Address, Method, Path, Extra, Body, Until,
              [](const std::string &) {});
  printf("STATUS %d\nFROM %s\n", Got.m_Status, Last.c_str());
  for (const auto &[Name, Value] : Got.m_Fields)
    printf("FIELD %s: %s\n", Name.c_str(), Value.c_str());
  printf("BODY %s\n", Got.m_Body.c_str());
  if (Got.m_Broken.empty())
    printf("END complete\n");
  else
    printf("END broken: %s\n", Got.m_Broken.c_str());
  return Got.m_Broken.empty() ? 0 : 1;
}

/// Sends what stands on the input as it is, and prints all that comes back.
static int runRaw(int Count, char **Arguments) {
  if (Count < 2)
    return 2;
  const auto Until =
      Clock::now() + std::chrono::milliseconds(std::atoll(Arguments[1]));
  std::string Bytes;
  char Part[4096];
  while (const std::size_t Size = fread(Part, 1, sizeof(Part), stdin))
    Bytes.append(Part, Size);
  std::string Broken;
  const int Socket = openTo(Arguments[0], Until, Broken);
  if (Socket < 0) {
    printf("END broken: %s\n", Broken.c_str());
    return 1;
  }
  Link Peer(Socket);
  if (!Peer.write(Bytes))
    printf("END broken: the bytes could not be written\n");
  while (Peer.more(Until)) {
  }
  fwrite(Peer.m_Buffer.data(), 1, Peer.m_Buffer.size(), stdout);
  printf("\nEND %s\n", Peer.m_Reason.c_str());
  return 0;
}

// --- Runner -----------------------------------------------------------------

struct RunnerOptions {
  std::string m_Id;
  std::string m_Listen;
  std::string m_Zone;
  std::string m_Service;
  std::string m_Stage; ///< Empty: no engine.
  std::vector<std::string> m_Control;
  int m_Slots = 6;
  int m_Events = 10;
  long long m_GapMs = 100;
  int m_CommentAfter = 0; ///< After this event a comment is sent. 0: none.
  bool m_CommentFirst = false; ///< Also before the first event of a whole run.
  long long m_CommentPauseMs = 0;
  std::string m_CrashPath; ///< Requests below it crash the runner. Empty: none.
  int m_CrashAfter = 1;    ///< Once this many events of the run are sent.
  long long m_BackAfterMs = 0; ///< A new incarnation follows a crash. 0: none.
};

class Runner {
public:
  explicit Runner(RunnerOptions Options)
      : m_Options(std::move(Options)), m_Born(unixMs()),
        m_Stage(m_Options.m_Stage) {}

  int run() {
    sockaddr_in At{};
    if (!readAddress(m_Options.m_Listen, At))
      return 2;
    const int Listener = socket(AF_INET, SOCK_STREAM, 0);
    const int On = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    if (bind(Listener, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
        listen(Listener, 256) != 0) {
      say("LISTEN failed %s", strerror(errno));
      return 2;
    }
    say("START id=%s born=%lld", m_Options.m_Id.c_str(), m_Born);
    std::thread([this] { beat(); }).detach();
    for (;;) {
      const int Socket = accept(Listener, nullptr, nullptr);
      if (Socket >= 0)
        std::thread([this, Socket] { serve(Socket); }).detach();
    }
  }

private:
  std::string stage() {
    const std::lock_guard Guard(m_Lock);
    return m_Stage;
  }

  void beat() {
    std::size_t Next = 0;
    std::string At = m_Options.m_Control[0];
    for (unsigned Sequence = 1;; ++Sequence) {
      std::string Body = "{\"service\":\"" + m_Options.m_Service +
                         "\",\"address\":\"" + m_Options.m_Listen +
                         "\",\"zone\":\"" + m_Options.m_Zone +
                         "\",\"version\":\"v1\",\"slots\":" +
                         std::to_string(m_Options.m_Slots) +
                         ",\"state\":\"ready\",\"cold_remaining_ms\":0,";
      if (!m_Options.m_Stage.empty())
        Body += "\"stage\":\"" + stage() +
                "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],";
      Body += "\"born\":" + std::to_string(m_Born) +
              ",\"sequence\":" + std::to_string(Sequence) + "}";
      bool IsAcknowledged = false;
      for (std::size_t Try = 0;
           Try < m_Options.m_Control.size() && !IsAcknowledged; ++Try) {
        std::string Last;
        const Answer Got = askControl(
            At, "PUT", "/instances/" + m_Options.m_Id, Body, 2,
            Clock::now() + std::chrono::seconds(1), Last);
        IsAcknowledged = Got.m_Status == 200 && Got.m_Broken.empty();
        if (IsAcknowledged)
          At = Last;
        else
          At = m_Options.m_Control[++Next % m_Options.m_Control.size()];
      }
      if (IsAcknowledged != m_IsAcknowledged) {
        m_IsAcknowledged = IsAcknowledged;
        say("BEAT %s by %s", IsAcknowledged ? "acknowledged" : "refused",
            At.c_str());
      }
      sleepMs(1'200);
    }
  }

  std::string head(int Status, const std::string &RequestId) {
    std::string Made = "HTTP/1.1 " + std::to_string(Status) + " S\r\n";
    if (!RequestId.empty())
      Made += "Request-Id: " + RequestId + "\r\n";
    Made += "Server-Load: " + std::to_string(m_Running.load()) + ",0," +
            std::to_string(m_Options.m_Slots) + "\r\n";
    return Made;
  }

  bool reply(Link &Peer, int Status, const std::string &RequestId,
             const std::string &Extra, const std::string &Body) {
    return Peer.write(head(Status, RequestId) + Extra + "Content-Length: " +
                      std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }

  void serve(int Socket) {
    Link Peer(Socket);
    for (;;) {
      const auto Idle = Clock::now() + std::chrono::seconds(10);
      const auto First = Peer.line(Idle);
      if (!First)
        return;
      const std::size_t Space = First->find(' ');
      const std::size_t Second = First->find(' ', Space + 1);
      if (Second == std::string::npos)
        return;
      const std::string Method = First->substr(0, Space);
      const std::string Path = First->substr(Space + 1, Second - Space - 1);
      const auto Head = readFields(Peer, Idle);
      std::string Body;
      if (!Head || !readBody(Peer, *Head, false, Idle,
                             [&](const std::string &Part) { Body += Part; }))
        return;
      if (!handle(Peer, Method, Path, *Head, Body))
        return;
    }
  }

  bool handle(Link &Peer, const std::string &Method, const std::string &Path,
              const Fields &Head, const std::string &Body) {
    const std::string Id = fieldOf(Head, "request-id");
    const std::string Expected = fieldOf(Head, "expect-instance");
    if (!Expected.empty() && Expected != m_Options.m_Id) {
      say("WRONG %s expected=%s", Path.c_str(), Expected.c_str());
      return reply(Peer, 421, Id, "Not-Executed: 1\r\n", "");
    }
    if (Method == "GET" && Path == "/health")
      return reply(Peer, 200, "", "Instance-Id: " + m_Options.m_Id + "\r\n", "");
    if (Method == "GET" && Path == "/report")
      return reply(Peer, 200, "", "Content-Type: application/json\r\n",
                   "{\"stage\":\"" + stage() +
                       "\",\"models\":[{\"name\":\"m\",\"version\":1,"
                       "\"adapters\":[]}],\"busy\":false,\"sequence\":0,"
                       "\"waiting\":0,\"running\":0,\"kv_used\":0,"
                       "\"kv_total\":532678,\"handles\":0}");
    if (Method == "POST" && Path == "/order")
      return order(Peer, Body);
    if (Method == "DELETE")
      return reply(Peer, 200, "", "", "");
    if (Id.empty())
      return reply(Peer, 400, "", "Not-Executed: 1\r\n", "");
    const bool IsEngine = !m_Options.m_Stage.empty();
    if (IsEngine && fieldOf(Head, "stage") == "prefill") {
      if (stage() != "prefill")
        return reply(Peer, 421, Id, "Not-Executed: 1\r\n", "");
      say("PREFILL request=%s", Id.c_str());
      return reply(Peer, 200, Id, "Content-Type: application/json\r\n",
                   "{\"handle\":\"" + Id + "\",\"tokens\":1460,\"version\":1}");
    }
    if (IsEngine && stage() != "decode")
      return reply(Peer, 421, Id, "Not-Executed: 1\r\n", "");
    ++m_Running;
    const bool Crashes =
        !m_Options.m_CrashPath.empty() &&
        Path.compare(0, m_Options.m_CrashPath.size(),
                     m_Options.m_CrashPath) == 0;
    const bool Sent =
        stream(Peer, Id, fieldOf(Head, "last-event-id"), Crashes);
    --m_Running;
    return Sent;
  }

  bool order(Link &Peer, const std::string &Body) {
    const std::string Next =
        Body.find("\"prefill\"") != std::string::npos ? "prefill" : "decode";
    say("ORDER %s", Body.c_str());
    std::thread([this, Next] {
      sleepMs(3'000);
      const std::lock_guard Guard(m_Lock);
      m_Stage = Next;
    }).detach();
    return reply(Peer, 202, "", "", "");
  }

  bool stream(Link &Peer, const std::string &Id, const std::string &After,
              bool Crashes) {
    const int First = std::atoi(After.c_str()) + 1;
    say("RUN request=%s from_event=%d at=%s", Id.c_str(), First,
        m_Options.m_Id.c_str());
    if (!Peer.write(head(200, Id) + "Server-Stamp: stamp." + m_Options.m_Id +
                    "\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"))
      return false;
    const auto Chunk = [&](const std::string &Text) {
      char Size[32];
      snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
      return Peer.write(Size + Text + "\r\n");
    };
    const auto Comment = [&](int Event) {
      if (!Chunk(": keep-alive\n\n"))
        return false;
      say("COMMENT request=%s after_event=%d", Id.c_str(), Event);
      sleepMs(m_Options.m_CommentPauseMs);
      return true;
    };
    if (m_Options.m_CommentFirst && First == 1 && !Comment(0))
      return false;
    for (int Event = First; Event <= m_Options.m_Events; ++Event) {
      if (!Chunk("id: " + std::to_string(Event) + "\ndata: piece-" +
                 std::to_string(Event) + "\n\n")) {
        say("LEFT request=%s at_event=%d", Id.c_str(), Event);
        return false;
      }
      if (Crashes && Event - First + 1 >= m_Options.m_CrashAfter) {
        sleepMs(m_Options.m_GapMs);
        say("CRASH request=%s at=%s", Id.c_str(), m_Options.m_Id.c_str());
        raise(SIGKILL);
      }
      if (m_Options.m_CommentAfter > 0 && Event == m_Options.m_CommentAfter &&
          !Comment(Event))
        return false;
      sleepMs(m_Options.m_GapMs);
    }
    say("DONE request=%s", Id.c_str());
    return Peer.write("0\r\n\r\n");
  }

  RunnerOptions m_Options;
  long long m_Born;
  std::mutex m_Lock;
  std::string m_Stage;
  std::atomic<int> m_Running{0};
  bool m_IsAcknowledged = false;
};

static std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::size_t At = 0;
  while (At <= Text.size()) {
    const std::size_t End = std::min(Text.find(',', At), Text.size());
    Parts.push_back(Text.substr(At, End - At));
    At = End + 1;
  }
  return Parts;
}

static int runRunner(int Count, char **Arguments) {
  RunnerOptions Options;
  for (int I = 0; I + 1 < Count; I += 2) {
    const std::string Name = Arguments[I];
    const std::string Value = Arguments[I + 1];
    if (Name == "--id")
      Options.m_Id = Value;
    else if (Name == "--listen")
      Options.m_Listen = Value;
    else if (Name == "--zone")
      Options.m_Zone = Value;
    else if (Name == "--service")
      Options.m_Service = Value;
    else if (Name == "--stage")
      Options.m_Stage = Value;
    else if (Name == "--control")
      Options.m_Control = splitList(Value);
    else if (Name == "--slots")
      Options.m_Slots = std::atoi(Value.c_str());
    else if (Name == "--events")
      Options.m_Events = std::atoi(Value.c_str());
    else if (Name == "--gap-ms")
      Options.m_GapMs = std::atoll(Value.c_str());
    else if (Name == "--comment-after")
      Options.m_CommentAfter = std::atoi(Value.c_str());
    else if (Name == "--comment-pause-ms")
      Options.m_CommentPauseMs = std::atoll(Value.c_str());
    else if (Name == "--comment-first")
      Options.m_CommentFirst = Value == "yes";
    else if (Name == "--crash-path")
      Options.m_CrashPath = Value;
    else if (Name == "--crash-after")
      Options.m_CrashAfter = std::atoi(Value.c_str());
    else if (Name == "--back-after-ms")
      Options.m_BackAfterMs = std::atoll(Value.c_str());
    else
      return 2;
  }
  if (Options.m_Id.empty() || Options.m_Control.empty())
    return 2;
  if (Options.m_BackAfterMs == 0)
    return Runner(std::move(Options)).run();
  // Each start is a new incarnation with a new id, in a process of its own.
  const std::string Base = Options.m_Id;
  for (int Start = 0;; ++Start) {
    Options.m_Id = Base + "-" + std::to_string(Start);
    const pid_t Child = fork();
    if (Child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      return Runner(std::move(Options)).run();
    }
    int Status = 0;
    waitpid(Child, &Status, 0);
    sleepMs(Options.m_BackAfterMs);
  }
}

/// Prints ports that are free on every address.
static int runPorts(int Count) {
  std::vector<int> Held;
  for (int I = 0; I < Count; ++I) {
    sockaddr_in At{};
    At.sin_family = AF_INET;
    const int Socket = socket(AF_INET, SOCK_STREAM, 0);
    socklen_t Size = sizeof(At);
    if (bind(Socket, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
        getsockname(Socket, reinterpret_cast<sockaddr *>(&At), &Size) != 0)
      return 2;
    Held.push_back(Socket);
    printf("%d\n", ntohs(At.sin_port));
  }
  for (const int Socket : Held)
    close(Socket);
  return 0;
}

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string What = Count > 1 ? Arguments[1] : "";
  if (What == "call")
    return runCall(Count - 2, Arguments + 2);
  if (What == "raw")
    return runRaw(Count - 2, Arguments + 2);
  if (What == "runner")
    return runRunner(Count - 2, Arguments + 2);
  if (What == "ports" && Count > 2)
    return runPorts(std::atoi(Arguments[2]));
  fprintf(stderr, "usage: standin ports|raw|call|runner ...\n");
  return 2;
}
