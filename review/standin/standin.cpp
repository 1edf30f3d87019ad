// Stand-ins for the scripts of the review: a runner, the operator and a client,
// as PROTOCOL.md describes them. One process plays one of them.
//
//   standin runner ADDRESS ID SERVICE ZONE CONTROL[,CONTROL...]
//   standin config CONTROL[,CONTROL...] FILE SECONDS   0: acknowledged
//   standin request FRONT HOST PATH ID                 prints the status

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <optional>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using Clock = std::chrono::steady_clock;

struct Answer {
  int m_Status = 0; ///< Zero: no answer.
  std::string m_Head;
};

static sockaddr_in addressOf(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  sockaddr_in Made{};
  Made.sin_family = AF_INET;
  Made.sin_port =
      htons(static_cast<uint16_t>(std::stoi(Text.substr(Colon + 1))));
  inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Made.sin_addr);
  return Made;
}

static std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  std::stringstream In(Text);
  for (std::string Each; std::getline(In, Each, ',');)
    Parts.push_back(Each);
  return Parts;
}

static std::string field(const std::string &Head, const char *Name) {
  std::stringstream In(Head);
  const std::size_t Length = std::strlen(Name);
  for (std::string Line; std::getline(In, Line);) {
    if (strncasecmp(Line.c_str(), Name, Length) != 0 || Line[Length] != ':')
      continue;
    const std::size_t Start = Line.find_first_not_of(' ', Length + 1);
    const std::size_t End = Line.find_last_not_of("\r ");
    return Start == Line.npos ? "" : Line.substr(Start, End - Start + 1);
  }
  return "";
}

/// Reads until the head is whole; \p Text then holds what was read.
static bool readHead(int Socket, std::string &Text) {
  char Buffer[16384];
  while (Text.find("\r\n\r\n") == Text.npos) {
    const ssize_t Count = recv(Socket, Buffer, sizeof(Buffer), 0);
    if (Count <= 0)
      return false;
    Text.append(Buffer, static_cast<std::size_t>(Count));
  }
  return true;
}

static Answer call(const std::string &To, const std::string &Bytes,
                   std::chrono::milliseconds Patience) {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  const timeval Limit{Patience.count() / 1000,
                      static_cast<suseconds_t>(Patience.count() % 1000 * 1000)};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  const sockaddr_in Peer = addressOf(To);
  Answer Made;
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Peer),
              sizeof(Peer)) == 0 &&
      send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(Bytes.size()) &&
      readHead(Socket, Made.m_Head))
    Made.m_Status = std::atoi(Made.m_Head.c_str() + std::strlen("HTTP/1.1 "));
  close(Socket);
  return Made;
}

/// Calls control as callers do: two redirects are followed.
static Answer callControl(std::string To, const std::string &Method,
                          const std::string &Path, const std::string &Body) {
  Answer Got;
  for (int Redirects = 0; Redirects <= 2; ++Redirects) {
    Got = call(To,
               Method + " " + Path + " HTTP/1.1\r\nHost: " + To +
                   "\r\nContent-Type: application/json\r\nContent-Length: " +
                   std::to_string(Body.size()) +
                   "\r\nConnection: close\r\n\r\n" + Body,
               std::chrono::seconds(1));
    if (Got.m_Status != 307)
      return Got;
    const std::string Location = field(Got.m_Head, "location");
    To = Location.substr(7, Location.find('/', 7) - 7);
  }
  return Got;
}

static void serve(int Socket, const std::string &Id) {
  std::string Text;
  while (readHead(Socket, Text)) {
    const std::size_t End = Text.find("\r\n\r\n") + 4;
    const std::string Head = Text.substr(0, End);
    std::size_t Left = std::strtoul(field(Head, "content-length").c_str(),
                                    nullptr, 10);
    Text.erase(0, End);
    char Buffer[16384];
    while (Text.size() < Left) {
      const ssize_t Count = recv(Socket, Buffer, sizeof(Buffer), 0);
      if (Count <= 0)
        break;
      Text.append(Buffer, static_cast<std::size_t>(Count));
    }
    Text.erase(0, Left);
    const std::string Request = field(Head, "request-id");
    const std::string Expected = field(Head, "expect-instance");
    std::string Reply;
    if (!Expected.empty() && Expected != Id) {
      Reply = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n";
    } else {
      if (!Request.empty())
        std::cout << "runner " << Id << " ran " << Request << std::endl;
      Reply = "HTTP/1.1 200 OK\r\nInstance-Id: " + Id +
              "\r\nServer-Stamp: stamp-" + Request +
              "\r\nContent-Length: 2\r\n";
    }
    Reply += "Request-Id: " + Request + "\r\n\r\n";
    if (Reply.compare(9, 3, "200") == 0)
      Reply += "ok";
    if (send(Socket, Reply.data(), Reply.size(), MSG_NOSIGNAL) < 0)
      break;
  }
  close(Socket);
}

static int runRunner(const std::string &At, const std::string &Id,
                     const std::string &Service, const std::string &Zone,
                     const std::vector<std::string> &Control) {
  const int Listener = socket(AF_INET, SOCK_STREAM, 0);
  const int On = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Own = addressOf(At);
  if (bind(Listener, reinterpret_cast<const sockaddr *>(&Own), sizeof(Own)) !=
          0 ||
      listen(Listener, 64) != 0)
    return 2;
  std::thread([&] {
    const auto Born =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    for (std::uint64_t Sequence = 1;; ++Sequence) {
      std::ostringstream Body;
      Body << "{\"service\":\"" << Service << "\",\"address\":\"" << At
           << "\",\"zone\":\"" << Zone
           << "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
              "\"cold_remaining_ms\":0,\"born\":"
           << Born << ",\"sequence\":" << Sequence << "}";
      for (const std::string &Each : Control)
        if (callControl(Each, "PUT", "/instances/" + Id, Body.str()).m_Status ==
            200)
          break;
      std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    }
  }).detach();
  for (;;) {
    const int Socket = accept(Listener, nullptr, nullptr);
    if (Socket >= 0)
      std::thread(serve, Socket, Id).detach();
  }
}

static int putConfig(const std::vector<std::string> &Control,
                     const std::string &File, int Seconds) {
  std::ifstream In(File);
  std::stringstream Body;
  Body << In.rdbuf();
  const auto Until = Clock::now() + std::chrono::seconds(Seconds);
  std::size_t Next = 0;
  for (int Calls = 1; Clock::now() < Until; ++Calls) {
    const std::string &To = Control[Next++ % Control.size()];
    const Answer Got = callControl(To, "PUT", "/config", Body.str());
    if (Got.m_Status == 200) {
      std::cout << "operator: acknowledged at call " << Calls << " by way of "
                << To << std::endl;
      return 0;
    }
    std::cout << "operator: call " << Calls << " to " << To << ": status "
              << Got.m_Status << std::endl;
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  std::cout << "operator: never acknowledged" << std::endl;
  return 1;
}

int main(int Count, char **Given) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> Words(Given, Given + Count);
  if (Count == 7 && Words[1] == "runner")
    return runRunner(Words[2], Words[3], Words[4], Words[5], split(Words[6]));
  if (Count == 5 && Words[1] == "config")
    return putConfig(split(Words[2]), Words[3], std::stoi(Words[4]));
  if (Count == 6 && Words[1] == "request") {
    const Answer Got =
        call(Words[2],
             "GET " + Words[4] + " HTTP/1.1\r\nHost: " + Words[3] +
                 "\r\nRequest-Id: " + Words[5] +
                 "\r\nDeadline-Ms: 1000\r\nConnection: close\r\n\r\n",
             std::chrono::milliseconds(2000));
    std::cout << Got.m_Status << std::endl;
    return 0;
  }
  return 2;
}
