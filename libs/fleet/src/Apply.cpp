#include "Configuration.h"
#include "Duties.h"
#include "FleetMutations.h"
#include "Orders.h"
#include "Plans.h"
#include "Replies.h"
#include "StreamVersions.h"
#include "Suspicion.h"
#include "Targets.h"

#include <algorithm>

namespace wasabivale::fleet {

namespace {

/// Actor of the role planner's commands; reserved, so refused for operators.
constexpr std::string_view PolicyActor = "policy";

Reply dispatch(State &Fleet, const wire::Command &Command) {
  const wire::OperatorCommand &Call = Command.operator_command();
  if (Call.kind() == "automatic")
    return Command.actor() == PolicyActor
               ? shiftRoleAutomatically(Fleet, Command)
               : refuse(Refusal::OperatorNotAllowed);
  if (Command.actor() == PolicyActor)
    return refuse(Refusal::OperatorNotAllowed);
  if (Call.kind() == "intent")
    return proposePlan(Fleet, Command);
  if (Call.kind() == "confirm")
    return confirmPlan(Fleet, Command);
  if (Call.kind() == "cancel")
    return cancelPlan(Fleet, Command);
  if (Call.kind() == "config")
    return acceptConfiguration(Fleet, Call.expected_revision(), Call.body(),
                               Command.actor());
  return refuse(Refusal::MalformedRequest, "unknown kind " + Call.kind());
}

Reply handleOperatorCall(State &Fleet, const wire::Command &Command) {
  if (Command.request_id().empty())
    return refuse(Refusal::InvalidField, "request_id is needed");
  if (std::optional<Reply> Answer =
          findAnswer(Fleet.m_Requests, Command, Fleet.m_Now))
    return *Answer;
  Reply Result = dispatch(Fleet, Command);
  recordAnswer(Fleet.m_Requests, Command, Result, Fleet.m_Now);
  return Result;
}

Reply checkDocument(const std::string &Document) {
  const std::string Problems = checkConfiguration(Document);
  return Problems.empty() ? Reply{}
                          : refuse(Refusal::InvalidConfiguration, Problems);
}

/// Ignores a version that is not higher, without an error: an operator resends
/// a change until it is acknowledged.
Reply handlePutRoutes(State &Fleet, const wire::PutRoutes &Request) {
  if (Request.table().version() > Fleet.m_Routes.m_Table.version())
    Fleet.m_Routes = {Request.table(), Request.source()};
  return accept();
}

/// Whether the command may change which software versions are registered.
bool changesTargets(const wire::Command &Command) {
  return Command.has_announce_target() || Command.has_leave_target() ||
         Command.has_lose_target() || Command.has_hold_target() ||
         Command.has_order_progress();
}

Reply handle(State &Fleet, const wire::Command &Command) {
  switch (Command.body_case()) {
  case wire::Command::kAnnounceTarget:
    return handleAnnounce(Fleet, Command.announce_target().target());
  case wire::Command::kLeaveTarget:
    return handleLeave(Fleet, Command.leave_target());
  case wire::Command::kLoseTarget:
    return handleLose(Fleet, Command.lose_target());
  case wire::Command::kHoldTarget:
    return handleHold(Fleet, Command.hold_target());
  case wire::Command::kBarrierReached:
    return handleBarrierReached(Fleet, Command.barrier_reached());
  case wire::Command::kIssueOrder:
    return handleIssueOrder(Fleet, Command);
  case wire::Command::kOrderProgress:
    return handleOrderProgress(Fleet, Command.order_progress());
  case wire::Command::kStartStep:
    return handleStartStep(Fleet, Command.start_step());
  case wire::Command::kStepProgress:
    return handleStepProgress(Fleet, Command.step_progress());
  case wire::Command::kCrash:
    return handleCrashReport(Fleet, Command.crash());
  case wire::Command::kRerun:
    return handleRerunReport(Fleet, Command.rerun());
  case wire::Command::kTargetLimits:
    for (const wire::TargetLimit &Each : Command.target_limits().limits())
      limits::applyTargetLimit(Fleet.m_TargetLimits, Each.address(),
                               Each.per_second(), suspicionTime(Fleet.m_Now));
    return accept();
  case wire::Command::kStreamVersions:
    return handleStreamVersions(Fleet, Command.stream_versions());
  case wire::Command::kCloseUsage:
    return handleCloseUsage(Fleet, Command.close_usage());
  case wire::Command::kUsageReported:
    return handleUsageReported(Fleet, Command.usage_reported());
  case wire::Command::kScaleTargets:
    return handleScaleTargets(Fleet, Command.scale_targets());
  case wire::Command::kTraitReport:
    return handleTraitReport(Fleet, Command.trait_report());
  case wire::Command::kPutRoutes:
    return handlePutRoutes(Fleet, Command.put_routes());
  case wire::Command::kOperatorCommand:
    return handleOperatorCall(Fleet, Command);
  default:
    return refuse(Refusal::MalformedRequest);
  }
}

} // namespace

std::optional<Reply> precheck(const wire::Command &Command) {
  if (!Command.has_operator_command())
    return std::nullopt;
  const wire::OperatorCommand &Call = Command.operator_command();
  Reply Verdict;
  if (Call.kind() == "config")
    Verdict = checkDocument(Call.body());
  if (Call.kind() == "intent") {
    const Json Intent = Json::parse(Call.body(), nullptr, false);
    if (Intent.is_object() && textOf(Intent, "intent") == "configure" &&
        Intent.contains("document"))
      Verdict = checkDocument(Intent["document"].dump());
  }
  return Verdict.m_Refusal ? std::optional(Verdict) : std::nullopt;
}

Reply apply(State &Fleet, const wire::Command &Command) {
  Fleet.m_Now = std::max(Fleet.m_Now, logTime(Command.log_time_ns()));
  retries::expireSuspects(Fleet.m_Suspicion, suspicionTime(Fleet.m_Now));
  limits::expireTargetLimits(Fleet.m_TargetLimits, suspicionTime(Fleet.m_Now));
  retries::expireTraits(Fleet.m_Traits, suspicionTime(Fleet.m_Now));
  expireStreamVersions(Fleet);
  if (!changesTargets(Command))
    return handle(Fleet, Command);
  // What is registered until now served until now.
  recordServedVersions(Fleet);
  Reply Result = handle(Fleet, Command);
  recordServedVersions(Fleet);
  return Result;
}

} // namespace wasabivale::fleet
