#include "Configuration.h"
#include "FleetMutations.h"
#include "Orders.h"
#include "Plans.h"
#include "Replies.h"
#include "Suspicion.h"
#include "Targets.h"

#include <algorithm>

namespace wasabivale::fleet {

namespace {

/// Name under which the role planner's commands are committed; no operator
/// may have it.
constexpr std::string_view PolicyActor = "policy";

Reply dispatch(State &On, const wire::Command &Command) {
  const wire::OperatorCommand &Said = Command.operator_command();
  if (Said.kind() == "automatic")
    return Command.actor() == PolicyActor ? shiftAutomatically(On, Command)
                                          : refuse(Refusal::OperatorNotAllowed);
  if (Command.actor() == PolicyActor)
    return refuse(Refusal::OperatorNotAllowed);
  if (Said.kind() == "intent")
    return propose(On, Command);
  if (Said.kind() == "confirm")
    return confirm(On, Command);
  if (Said.kind() == "cancel")
    return cancel(On, Command);
  if (Said.kind() == "config")
    return acceptConfiguration(On, Said.expected_revision(), Said.body(),
                               Command.actor());
  return refuse(Refusal::MalformedRequest, "unknown kind " + Said.kind());
}

Reply operatorCall(State &On, const wire::Command &Command) {
  if (Command.request_id().empty())
    return refuse(Refusal::InvalidField, "request_id is needed");
  if (std::optional<Reply> Known = findAnswer(On.m_Requests, Command, On.m_Now))
    return *Known;
  Reply Given = dispatch(On, Command);
  rememberAnswer(On.m_Requests, Command, Given, On.m_Now);
  return Given;
}

Reply checked(const std::string &Document) {
  const std::string Problems = checkConfiguration(Document);
  return Problems.empty() ? Reply{}
                          : refuse(Refusal::InvalidConfiguration, Problems);
}

/// A version that is not higher changes nothing and is no error: an operator
/// sends a change again until it is acknowledged.
Reply putRoutes(State &On, const wire::PutRoutes &Given) {
  if (Given.table().version() > On.m_Routes.m_Table.version())
    On.m_Routes = {Given.table(), Given.source()};
  return accept();
}

} // namespace

std::optional<Reply> precheck(const wire::Command &Command) {
  if (!Command.has_operator_command())
    return std::nullopt;
  const wire::OperatorCommand &Said = Command.operator_command();
  Reply Verdict;
  if (Said.kind() == "config")
    Verdict = checked(Said.body());
  if (Said.kind() == "intent") {
    const Json Intent = Json::parse(Said.body(), nullptr, false);
    if (Intent.is_object() && textOf(Intent, "intent") == "configure" &&
        Intent.contains("document"))
      Verdict = checked(Intent["document"].dump());
  }
  return Verdict.m_Refusal ? std::optional(Verdict) : std::nullopt;
}

Reply apply(State &On, const wire::Command &Command) {
  On.m_Now = std::max(On.m_Now, logTime(Command.log_time_ns()));
  retries::expireSuspects(On.m_Suspicion, suspicionTime(On.m_Now));
  switch (Command.body_case()) {
  case wire::Command::kAnnounceTarget:
    return announce(On, Command.announce_target().target());
  case wire::Command::kLeaveTarget:
    return leave(On, Command.leave_target());
  case wire::Command::kLoseTarget:
    return lose(On, Command.lose_target());
  case wire::Command::kHoldTarget:
    return hold(On, Command.hold_target());
  case wire::Command::kBarrierReached:
    return reachBarrier(On, Command.barrier_reached());
  case wire::Command::kIssueOrder:
    return issue(On, Command);
  case wire::Command::kOrderProgress:
    return progress(On, Command.order_progress());
  case wire::Command::kStartStep:
    return startStep(On, Command.start_step());
  case wire::Command::kStepProgress:
    return progressStep(On, Command.step_progress());
  case wire::Command::kCrash:
    return takeCrash(On, Command.crash());
  case wire::Command::kRerun:
    return takeRerun(On, Command.rerun());
  case wire::Command::kPutRoutes:
    return putRoutes(On, Command.put_routes());
  case wire::Command::kOperatorCommand:
    return operatorCall(On, Command);
  default:
    return refuse(Refusal::MalformedRequest);
  }
}

} // namespace wasabivale::fleet
