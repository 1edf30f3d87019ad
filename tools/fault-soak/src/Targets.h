/// \file
/// Stand-in targets that speak the platform's protocol: they register with
/// control, answer requests with their ids and a signature, stream events,
/// refuse, drain, crash and start again.

#ifndef WASABIVALE_FAULTSOAK_TARGETS_H
#define WASABIVALE_FAULTSOAK_TARGETS_H

#include "Judge.h"
#include "Links.h"

#include <list>

namespace wasabivale::soak {

class Targets {
public:
  struct Place {
    std::string m_Service;
    http::Address m_Front; ///< Where entries reach it: the proxy.
    http::Address m_Back;
  };

  Targets(event_base *Loop, Links &Network, Judge &Observer,
          std::vector<http::Address> Control, std::vector<Place> Places);

  /// \returns false when an address can't be listened on.
  bool startAll();
  /// Ends at once; starts again after \p Downtime, under its id if \p KeepsId.
  void crash(unsigned Index, std::chrono::milliseconds Downtime, bool KeepsId,
             bool Upgrades);
  /// Drains, ends, and starts again under a new id. \p Silently: says that it
  /// is gone without having said that it drains.
  void leave(unsigned Index, std::chrono::milliseconds Downtime, bool Silently);
  void turn(TimePoint Now);
  /// Whether a request is at work.
  [[nodiscard]] bool isWorking() const { return !m_Works.empty(); }

private:
  enum class State : std::uint8_t { Down, Ready, Draining, Gone };
  struct Target {
    Place m_Place;
    std::string m_Id;
    unsigned m_Starts = 0;
    unsigned m_Software = 1;
    std::chrono::sys_time<std::chrono::milliseconds> m_StartedAt;
    std::uint64_t m_Sequence = 0;
    State m_State = State::Down;
    std::unique_ptr<http::Server> m_Server;
    unsigned m_Running = 0;
    std::size_t m_Member = 0; ///< Control member that takes its heartbeats.
    bool m_IsCalling = false;
    bool m_IsAcknowledged = false; ///< Its leave.
    TimePoint m_BeatAt;
    TimePoint m_StartAt;
    TimePoint m_ExitAt; ///< While it drains.
    std::chrono::milliseconds m_DownFor{0};
  };
  struct Work {
    std::shared_ptr<http::Exchange> m_Exchange;
    std::string m_Id;
    std::size_t m_Run = 0;
    unsigned m_Target = 0;
    std::string m_Stamp;
    std::string m_Body;
    std::string m_Version;
    bool m_IsStream = false;
    std::uint64_t m_NextEvent = 1;
    std::uint64_t m_Events = 0;
    std::chrono::milliseconds m_Gap{0};
    TimePoint m_NextAt;
    TimePoint m_Deadline;
  };

  bool start(unsigned Index);
  void end(unsigned Index, std::chrono::milliseconds DownFor);
  void beat(unsigned Index);
  void take(unsigned Index, std::shared_ptr<http::Exchange> Request);
  /// \returns whether the request is over.
  bool advance(Work &Task, TimePoint Now);

  event_base *m_Loop;
  Links &m_Links;
  Judge &m_Judge;
  std::vector<http::Address> m_Control;
  std::vector<Target> m_Targets;
  std::list<Work> m_Works;
};

} // namespace wasabivale::soak

#endif // WASABIVALE_FAULTSOAK_TARGETS_H
