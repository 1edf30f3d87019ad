/// \file
/// Makes a target known to an entry and reports its load.

#ifndef WASABIVALE_FAKETARGETS_REPORTER_H
#define WASABIVALE_FAKETARGETS_REPORTER_H

#include "Context.h"

#include <optional>

namespace wasabivale::faketargets {

/// Announces until an entry accepts, then sends heartbeats to it; goes on to
/// the next entry when one fails or refuses.
class Reporter {
public:
  /// \param Collect yields the load report of the moment.
  Reporter(Life &Of, std::function<targets::Heartbeat()> Collect);

  void start();
  /// Says that the target wants to leave, until an entry has taken it.
  void leave();

private:
  using Take = std::function<void(const std::string &Body)>;

  [[nodiscard]] const http::Address &entry() const;
  void nextEntry();
  void post(const std::string &Path, std::string Body, Take OnAccepted,
            std::function<void()> OnFailed);
  void announce();
  void takeAnnounceAnswer(const std::string &Body);
  void beat();
  void takeBeatAnswer(const std::string &Body);
  void sendLeave();
  void again(std::chrono::milliseconds Delay, void (Reporter::*What)());

  Life &m_Life;
  std::function<targets::Heartbeat()> m_Collect;
  std::size_t m_Entry = 0;
  std::uint64_t m_Sequence = 0;
  bool m_Known = false; ///< Whether it has logged that it is registered.
  std::chrono::milliseconds m_Every{1000};
  std::shared_ptr<void> m_Alive = std::make_shared<int>();
};

} // namespace wasabivale::faketargets

#endif // WASABIVALE_FAKETARGETS_REPORTER_H
