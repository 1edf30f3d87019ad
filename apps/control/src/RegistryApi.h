/// \file
/// HTTP interface of a control member for messages of targets and for routes,
/// where targets report to control.

#ifndef WASABIVALE_CONTROL_REGISTRYAPI_H
#define WASABIVALE_CONTROL_REGISTRYAPI_H

#include "Control.h"
#include "platform/platform.h"

#include <map>
#include <string>
#include <vector>

namespace wasabivale::control {

/// Only the leader answers; other members redirect to it. A target's leave
/// message is acknowledged once no entry sends it new work.
class RegistryApi {
public:
  explicit RegistryApi(Control &Member) : m_Control(Member) {}
  void answer(const std::shared_ptr<http::Exchange> &Call);
  /// Answers leaving targets to which no entry sends new work.
  void answerLeaving(TimePoint Now);
  void startTerm();
  void endTerm();

private:
  using Exchange = std::shared_ptr<http::Exchange>;

  /// Newest message of a target that this leader has accepted.
  struct LastMessage {
    std::string m_Incarnation;
    std::uint64_t m_Sequence = 0;
  };
  struct Leaving {
    Exchange m_Call;
    TargetId m_Target;
    TimePoint m_AnswerBy;
  };

  void redirect(const Exchange &Call);
  void refuse(const Exchange &Call, int Status, const Error &Reason);
  void handle(const Exchange &Call, const platform::Beat &Message);
  void handle(const Exchange &Call, const platform::Gone &Message);
  void handle(const Exchange &Call, const platform::PutRoutes &Message);
  void handle(const Exchange &Call, const platform::ReadRoutes &);
  void handle(const Exchange &Call, const platform::Unreadable &Message);
  void announce(const Exchange &Call, const platform::Beat &Message);
  void leave(const Exchange &Call, const fleet::Target &Known);
  void waitUntilLeft(const Exchange &Call, const TargetId &Target);
  void accept(const Exchange &Call) const;
  [[nodiscard]] const fleet::Target *find(const TargetId &Name) const;

  Control &m_Control;
  std::map<TargetId, LastMessage> m_LastMessages;
  std::vector<Leaving> m_Leaving;
};

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_REGISTRYAPI_H
