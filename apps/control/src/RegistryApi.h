/// \file
/// HTTP interface of a control member for messages of targets and for routes,
/// where targets report to control.

#ifndef WASABIVALE_CONTROL_REGISTRYAPI_H
#define WASABIVALE_CONTROL_REGISTRYAPI_H

#include "Control.h"
#include "TargetQuestions.h"
#include "platform/platform.h"

#include <map>
#include <string>
#include <vector>

namespace wasabivale::control {

/// Only the leader answers; other members redirect to it. A target's leave
/// message is acknowledged once no entry sends it new work.
class RegistryApi {
public:
  explicit RegistryApi(Control &Member)
      : m_Control(Member), m_Questions(Member.m_Loop) {}
  void answer(const std::shared_ptr<http::Exchange> &Call);
  /// Answers leaving targets to which no entry sends new work.
  void answerLeaving(TimePoint Now);
  /// Removes what is known of targets that are no longer heard.
  void expire(TimePoint Now);
  void startTerm();
  void endTerm();

private:
  using Exchange = std::shared_ptr<http::Exchange>;

  struct Leaving {
    Exchange m_Call;
    std::vector<TargetId> m_Targets;
    TimePoint m_AnswerBy;
  };
  /// Health path of a service in the routes of this version.
  struct HealthPath {
    std::uint64_t m_RoutesVersion = 0;
    std::string m_Path;
  };

  void redirect(const Exchange &Call);
  void refuse(const Exchange &Call, int Status, const Error &Reason);
  void handle(const Exchange &Call, const platform::Beat &Message);
  void handle(const Exchange &Call, const platform::Gone &Message);
  void handle(const Exchange &Call, const platform::PutRoutes &Message);
  void handle(const Exchange &Call, const platform::ReadRoutes &);
  void handle(const Exchange &Call, const platform::Unreadable &Message);
  void decide(const Exchange &Call, const fleet::HeardClaim &Heard);
  void ask(const Exchange &Call, const fleet::HeardClaim &Heard,
           const std::string &Address);
  void refuseClaim(const Exchange &Call, const fleet::HeardClaim &Heard,
                   const fleet::RefuseClaim &Refused);
  void announce(const Exchange &Call, const fleet::HeardClaim &Heard,
                wire::Target Announcement);
  void leave(const Exchange &Call, const std::vector<TargetId> &Targets);
  void waitUntilLeft(const Exchange &Call,
                     const std::vector<TargetId> &Targets);
  /// Whether an announcement of the target is proposed and not decided: a leave
  /// must not be judged by the state before it.
  [[nodiscard]] bool isAnnouncing(const TargetId &Target) const;
  void refuseUnsettled(const Exchange &Call, const TargetId &Target);
  [[nodiscard]] bool hasLeft(const TargetId &Target, TimePoint Now) const;
  const std::string &healthPath(const std::string &Service);
  void accept(const Exchange &Call) const;
  [[nodiscard]] const fleet::Target *find(const TargetId &Name) const;

  Control &m_Control;
  fleet::ClaimRecords m_Claims;
  TargetQuestions m_Questions;
  std::map<std::string, HealthPath> m_HealthPaths; ///< By service.
  std::vector<Leaving> m_Leaving;
  /// Proposals under way, by target.
  std::map<TargetId, unsigned> m_Announcing;
};

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_REGISTRYAPI_H
