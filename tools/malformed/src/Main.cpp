// wasabivale-malformed: sends seeded malformed requests to an entry, and good
// ones beside them, which must all be answered.

#include "Requests.h"
#include "daemon/daemon.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sstream>

using namespace wasabivale;
namespace options = boost::program_options;

namespace {

/// Longest wait for an answer or a close.
constexpr timeval BadPatience{1, 0};
constexpr timeval GoodPatience{20, 0};
constexpr int GoodEvery = 10; ///< One good request for so many bad ones.
constexpr int AtOnce = 32;    ///< Open connections.

struct Counts {
  int m_Answered = 0;
  int m_Closed = 0;
  int m_Silent = 0; ///< Still waiting for more, as a truncated request is.
  int m_NotConnected = 0;
  int m_Good = 0;
  int m_GoodUnanswered = 0;
};

struct Run {
  event_base *m_Loop = event_base_new();
  http::Address m_To;
  malformed::Valid m_Valid;
  Random m_Rng;
  int m_Left = 0;
  int m_Started = 0;
  int m_Open = 0;
  Counts m_Counts;
};

struct Connection {
  Run *m_Run;
  bufferevent *m_Buffer;
  bool m_Good;
  std::string m_Got;
};

void startMore(Run &Of);

void finish(Connection *Over, short Why) {
  Run &Of = *Over->m_Run;
  Counts &Told = Of.m_Counts;
  const bool Answered = Over->m_Got.rfind("HTTP/1.1 ", 0) == 0;
  if (Over->m_Good) {
    ++Told.m_Good;
    if (Over->m_Got.rfind("HTTP/1.1 200", 0) != 0) {
      ++Told.m_GoodUnanswered;
      fmt::print(stderr, "a good request got: {}\n",
                 Over->m_Got.substr(0, 300));
    }
  } else if (Answered) {
    ++Told.m_Answered;
  } else if ((Why & BEV_EVENT_TIMEOUT) != 0) {
    ++Told.m_Silent;
  } else if ((Why & BEV_EVENT_CONNECTED) == 0 && Over->m_Got.empty() &&
             (Why & BEV_EVENT_ERROR) != 0 && errno == ECONNREFUSED) {
    ++Told.m_NotConnected;
  } else {
    ++Told.m_Closed;
  }
  bufferevent_free(Over->m_Buffer);
  delete Over;
  --Of.m_Open;
  startMore(Of);
}

void onRead(bufferevent *Buffer, void *Argument) {
  auto *Here = static_cast<Connection *>(Argument);
  evbuffer *Input = bufferevent_get_input(Buffer);
  std::string Piece(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Piece.data(), Piece.size());
  Here->m_Got += Piece;
  // A good answer is whole with the last brace of its body.
  if (Here->m_Good && Here->m_Got.find("total_tokens") != std::string::npos)
    finish(Here, BEV_EVENT_EOF);
}

void onEvent(bufferevent *, short What, void *Argument) {
  if ((What & BEV_EVENT_CONNECTED) != 0)
    return;
  finish(static_cast<Connection *>(Argument), What);
}

void startOne(Run &Of, bool Good) {
  bufferevent *Buffer =
      bufferevent_socket_new(Of.m_Loop, -1, BEV_OPT_CLOSE_ON_FREE);
  auto *Made = new Connection{&Of, Buffer, Good, {}};
  ++Of.m_Open;
  bufferevent_setcb(Buffer, onRead, nullptr, onEvent, Made);
  bufferevent_set_timeouts(Buffer, Good ? &GoodPatience : &BadPatience,
                           nullptr);
  bufferevent_enable(Buffer, EV_READ | EV_WRITE);
  const std::string Bytes = Good ? malformed::goodRequest(Of.m_Valid)
                                 : malformed::badRequest(Of.m_Valid, Of.m_Rng);
  bufferevent_write(Buffer, Bytes.data(), Bytes.size());
  sockaddr_in Peer{};
  Peer.sin_family = AF_INET;
  Peer.sin_port = htons(Of.m_To.m_Port);
  evutil_inet_pton(AF_INET, Of.m_To.m_Host.c_str(), &Peer.sin_addr);
  bufferevent_socket_connect(Buffer, reinterpret_cast<sockaddr *>(&Peer),
                             sizeof(Peer));
}

void startMore(Run &Of) {
  while (Of.m_Left > 0 && Of.m_Open < AtOnce) {
    --Of.m_Left;
    startOne(Of, false);
    if (++Of.m_Started % GoodEvery == 0)
      startOne(Of, true);
  }
}

int report(const Run &Of, int Requests) {
  const Counts &Told = Of.m_Counts;
  fmt::print("malformed {}\nanswered {}\nclosed {}\nsilent {}\n"
             "not_connected {}\ngood {}\ngood_unanswered {}\n",
             Requests, Told.m_Answered, Told.m_Closed, Told.m_Silent,
             Told.m_NotConnected, Told.m_Good, Told.m_GoodUnanswered);
  const bool Fine = Told.m_GoodUnanswered == 0 && Told.m_NotConnected == 0;
  return Fine ? daemon::ExitOk : daemon::ExitFailed;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  Run Wanted;
  std::string To;
  int Requests = 0;
  std::uint64_t Seed = 0;
  options::options_description Known("Options");
  auto Add = Known.add_options();
  Add("help,h", "print this text");
  Add("to", options::value(&To)->required(), "ip:port of an entry's callers");
  Add("requests", options::value(&Requests)->default_value(10'000),
      "malformed requests to send");
  Add("seed", options::value(&Seed)->default_value(1), "of the requests");
  Add("model",
      options::value(&Wanted.m_Valid.m_Model)->default_value("gourd-8b"),
      "a model that is served");
  Add("key", options::value(&Wanted.m_Valid.m_Key), "a caller's bearer key");
  try {
    options::variables_map Given;
    options::store(options::parse_command_line(ArgumentCount, Arguments, Known),
                   Given);
    if (Given.count("help") != 0) {
      std::ostringstream Text;
      Text << Known;
      fmt::print("wasabivale-malformed: sends malformed requests\n\n{}",
                 Text.str());
      return daemon::ExitOk;
    }
    options::notify(Given);
  } catch (const options::error &Failure) {
    fmt::print(stderr, "wasabivale-malformed: {}\n", Failure.what());
    return daemon::ExitUsage;
  }
  const auto Address = http::parseAddress(To);
  if (failed(Address)) {
    fmt::print(stderr, "wasabivale-malformed: {}\n",
               describe(errorOf(Address)));
    return daemon::ExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Wanted.m_To = valueOf(Address);
  Wanted.m_Rng.seed(Seed);
  Wanted.m_Left = Requests;
  startMore(Wanted);
  event_base_dispatch(Wanted.m_Loop);
  event_base_free(Wanted.m_Loop);
  return report(Wanted, Requests);
}
