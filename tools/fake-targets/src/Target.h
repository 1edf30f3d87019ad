/// \file
/// One fake target: its port, its orders, its reports and its work.

#ifndef WASABIVALE_FAKETARGETS_TARGET_H
#define WASABIVALE_FAKETARGETS_TARGET_H

#include "EngineWork.h"
#include "Orders.h"
#include "Reporter.h"
#include "ServiceWork.h"

namespace wasabivale::faketargets {

class Target {
public:
  /// \p What has no incarnation; each life gets its own.
  Target(Context &Shared, targets::Announcement What);

  /// Listens and announces itself. On failure the target stays down.
  Status start();
  /// Lets engine and orders go on to \p Now; called often.
  void turn(TimePoint Now);
  /// Asks to leave; see `hasLeft`.
  void leave();
  /// Whether a target that asked to leave may end: nothing runs, and it was
  /// withdrawn or has waited long enough.
  [[nodiscard]] bool hasLeft(TimePoint Now) const;

  /// Switches a fault on. \p Body is that of the admin request.
  Status fault(const nlohmann::json &Body);

  [[nodiscard]] const TargetId &id() const { return m_Announced.m_Id; }
  [[nodiscard]] targets::TargetState state() const;
  [[nodiscard]] bool up() const { return m_Server != nullptr; }

private:
  struct Sample {
    TimePoint m_At;
    targets::Heartbeat m_Load;
  };

  void handle(const std::shared_ptr<http::Exchange> &From);
  void handleWork(const std::shared_ptr<http::Exchange> &From);
  void handleOrder(http::Exchange &From);
  [[nodiscard]] bool accepts() const;
  [[nodiscard]] bool idle() const;
  [[nodiscard]] bool mustGoAway() const;
  void goOnWithOrder();
  void endOrder();
  void crash();
  void crashSoon(std::chrono::milliseconds Delay);
  targets::Heartbeat loadNow();
  targets::Heartbeat report();

  Context &m_Shared;
  targets::Announcement m_Announced;
  Faults m_Faults;
  Bookings m_Bookings;
  TimePoint m_LeaveSince = TimePoint::max();

  // Of the present life; rebuilt after a crash.
  std::unique_ptr<Life> m_Life;
  Orders m_Orders;
  bool m_Changing = false; ///< The engine is away for the present order.
  std::unique_ptr<EngineWork> m_Engine;
  std::unique_ptr<ServiceWork> m_Service;
  std::unique_ptr<Reporter> m_Reporter;
  std::unique_ptr<http::Server> m_Server;
  std::deque<Sample> m_Samples;
  std::shared_ptr<void> m_Alive = std::make_shared<int>();
};

} // namespace wasabivale::faketargets

#endif // WASABIVALE_FAKETARGETS_TARGET_H
