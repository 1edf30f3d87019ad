/// \file
/// What targets and operators call on control where targets report to it: the
/// messages of targets, and the routes.

#ifndef WASABIVALE_CONTROL_REGISTRYAPI_H
#define WASABIVALE_CONTROL_REGISTRYAPI_H

#include "Control.h"
#include "platform/platform.h"

#include <map>
#include <string>
#include <vector>

namespace wasabivale::control {

/// Only the leader answers; other members name it. A target's word that it
/// leaves is acknowledged once no entry sends it new work.
class RegistryApi {
public:
  explicit RegistryApi(Control &Of) : m_Control(Of) {}
  void answer(const std::shared_ptr<http::Exchange> &Arrived);
  /// Answers those who leave and whom all entries have let go.
  void settleLeaving(TimePoint Now);
  void startTerm();
  void endTerm();

private:
  using Exchange = std::shared_ptr<http::Exchange>;

  /// Newest message of a target that this leader has taken.
  struct Heard {
    std::string m_Incarnation;
    std::uint64_t m_Sequence = 0;
  };
  struct Leaving {
    Exchange m_Call;
    TargetId m_Target;
    TimePoint m_AnswerBy;
  };

  void redirect(const Exchange &Arrived);
  void refuse(const Exchange &Arrived, int Status, const Error &Why);
  void take(const Exchange &Arrived, const platform::Beat &Told);
  void take(const Exchange &Arrived, const platform::Gone &Told);
  void take(const Exchange &Arrived, const platform::PutRoutes &Told);
  void take(const Exchange &Arrived, const platform::ReadRoutes &);
  void take(const Exchange &Arrived, const platform::Unreadable &Told);
  void announce(const Exchange &Arrived, const platform::Beat &Told);
  void leave(const Exchange &Arrived, const fleet::Target &Known);
  void waitUntilLeft(const Exchange &Arrived, const TargetId &Which);
  void accept(const Exchange &Arrived) const;
  [[nodiscard]] const fleet::Target *find(const TargetId &Name) const;

  Control &m_Control;
  std::map<TargetId, Heard> m_Heard;
  std::vector<Leaving> m_Leaving;
};

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_REGISTRYAPI_H
