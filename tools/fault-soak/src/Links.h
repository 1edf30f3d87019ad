/// \file
/// A loopback proxy in front of each target: passes on bytes of entries, late,
/// one way or not at all.

#ifndef WASABIVALE_FAULTSOAK_LINKS_H
#define WASABIVALE_FAULTSOAK_LINKS_H

#include "http/http.h"

#include <list>
#include <optional>

struct evconnlistener;

namespace wasabivale::soak {

enum class Cut : std::uint8_t { Both, ToTarget, ToEntry };

class Links {
public:
  /// Finds the entry that sent the first bytes of a connection.
  using FindEntry = std::function<std::optional<unsigned>(
      std::string_view Bytes, const http::Address &Listener,
      std::uint16_t PeerPort)>;

  Links(event_base *Loop, FindEntry Find);
  ~Links();
  Links(const Links &) = delete;
  Links &operator=(const Links &) = delete;

  /// Passes connections to \p Front on to \p Back.
  Status open(unsigned Target, const http::Address &Front,
              const http::Address &Back);
  /// Refuses new connections to a target and resets those that are open.
  void close(unsigned Target);
  void cut(unsigned Entry, Cut Direction, TimePoint Until);
  void silence(unsigned Target, TimePoint Until);
  void delay(unsigned Entry, unsigned Target, std::chrono::milliseconds Extra,
             TimePoint Until);
  void reset(unsigned Entry, unsigned Target);
  void resetEntry(unsigned Entry);
  /// Passes on what is due; to be called every few milliseconds.
  void turn(TimePoint Now);

  struct Pipe;
  struct Gate;

private:
  struct Closed {
    TimePoint m_ToTargetUntil;
    TimePoint m_ToEntryUntil;
  };
  struct Slow {
    std::chrono::milliseconds m_Extra{0};
    TimePoint m_Until;
  };

  void accept(Gate &Listener, int Socket, std::uint16_t PeerPort);
  void read(Pipe &Connection, int Side);
  void flush(Pipe &Connection, int Side, TimePoint Now);
  [[nodiscard]] bool isHeld(const Pipe &Connection, int Side,
                            TimePoint Now) const;
  static void resetPipe(Pipe &Connection);
  void sweep();

  event_base *m_Loop;
  FindEntry m_Find;
  std::map<unsigned, std::unique_ptr<Gate>> m_Gates;
  std::list<std::unique_ptr<Pipe>> m_Pipes;
  std::map<unsigned, Closed> m_Cuts;
  std::map<unsigned, TimePoint> m_Silent;
  std::map<std::pair<unsigned, unsigned>, Slow> m_Slow;
};

} // namespace wasabivale::soak

#endif // WASABIVALE_FAULTSOAK_LINKS_H
