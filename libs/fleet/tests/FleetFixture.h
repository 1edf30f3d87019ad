/// \file
/// A leader with its state, one entry and engines that carry out every order,
/// driven step by step on a virtual clock.

#ifndef WASABIVALE_FLEET_TESTS_FLEETFIXTURE_H
#define WASABIVALE_FLEET_TESTS_FLEETFIXTURE_H

#include "fleet/fleet.h"

#include <string>

namespace wasabivale::fleet {

inline constexpr std::chrono::seconds Lease{3};

struct FleetFixture {
  State m_State;
  ObservedState m_Observed;
  TimePoint m_Now{std::chrono::hours(1)};
  ActionSettings m_Settings{1, std::chrono::seconds(5)};
  std::uint64_t m_Calls = 0;
  /// Reported by the entry for each draining target.
  std::uint64_t m_InFlight = 0;
  bool m_EntryReports = true;

  FleetFixture() {
    startTerm(m_Observed, m_State, m_Now, Lease);
    advanceTime(Lease);
  }

  /// Advances the clock; the entry then reports.
  void advanceTime(Duration Span) {
    m_Now += Span;
    if (m_EntryReports)
      report();
  }

  void report() {
    wire::EntryReport Report;
    Report.set_configuration_revision(m_State.m_Configuration.m_Revision);
    for (const auto &[Name, Target] : m_State.m_Targets.m_ById) {
      wire::TargetReport &TargetReport = *Report.add_targets();
      TargetReport.set_target(Name.m_Value);
      TargetReport.set_incarnation(Target.m_Incarnation);
      if (Target.m_State == TargetState::Serving)
        continue;
      wire::BarrierState &Barrier = *Report.add_barriers();
      Barrier.set_target(Name.m_Value);
      Barrier.set_generation(Target.m_Generation);
      Barrier.set_in_flight(m_InFlight);
    }
    recordEntryReport(m_Observed, {"entry-1"}, 7, Report, m_Now, m_Now + Lease);
  }

  Reply commit(wire::Command Next) {
    Next.set_log_time_ns(
        static_cast<std::uint64_t>(m_Now.time_since_epoch().count()));
    if (Next.term() == 0)
      Next.set_term(m_Settings.m_Term);
    return apply(m_State, Next);
  }

  Reply announce(const std::string &Name, const std::string &Incarnation = "i1",
                 const std::string &Address = {},
                 const std::string &Role = "mixed") {
    wire::Command Next;
    wire::Target &Announcement =
        *Next.mutable_announce_target()->mutable_target();
    Announcement.set_id(Name);
    Announcement.set_incarnation(Incarnation);
    Announcement.set_address(Address.empty() ? "10.0.0.1:" + Name : Address);
    Announcement.set_kind("engine");
    Announcement.set_role(Role);
    Announcement.add_models("gourd-8b");
    Announcement.set_checks_fence(true);
    Announcement.set_max_running(32);
    Reply Result = commit(Next);
    recordTargetSeen(m_Observed, {Name}, Incarnation, m_Now);
    return Result;
  }

  Reply leave(const std::string &Name, const std::string &Incarnation = "i1") {
    wire::Command Next;
    Next.mutable_leave_target()->set_target(Name);
    Next.mutable_leave_target()->set_incarnation(Incarnation);
    return commit(Next);
  }

  Reply lose(const std::string &Name, const std::string &Incarnation = "i1") {
    wire::Command Next;
    Next.mutable_lose_target()->set_target(Name);
    Next.mutable_lose_target()->set_incarnation(Incarnation);
    return commit(Next);
  }

  Reply call(const std::string &Kind, const Json &Body,
             std::uint64_t Revision = 0, const std::string &RequestId = {},
             const std::string &Actor = "alice") {
    wire::Command Next;
    Next.set_actor(Actor);
    Next.set_request_id(RequestId.empty() ? "call-" + std::to_string(++m_Calls)
                                          : RequestId);
    Next.mutable_operator_command()->set_kind(Kind);
    Next.mutable_operator_command()->set_expected_revision(Revision);
    Next.mutable_operator_command()->set_body(Body.dump());
    return commit(Next);
  }

  /// Proposes a plan. \returns its JSON.
  Json proposePlan(const Json &Intent) {
    const Reply Result = call("intent", Intent);
    return Result.m_Refusal ? Json{{"refused", Result.m_Message}}
                            : Json::parse(Result.m_Result);
  }

  Reply confirm(const Json &Plan, const std::string &RequestId = {},
                const std::string &Actor = "alice") {
    return call("confirm", {{"plan", Plan["plan"]}, {"digest", Plan["digest"]}},
                Plan["revision"].get<std::uint64_t>(), RequestId, Actor);
  }

  /// Proposes and confirms a plan. \returns its id; empty if refused.
  PlanId startPlan(const Json &Intent) {
    const Json Plan = proposePlan(Intent);
    if (Plan.contains("refused"))
      return {};
    const Reply Result = confirm(Plan);
    return Result.m_Refusal ? PlanId{}
                            : PlanId{Plan["plan"].get<std::string>()};
  }

  Reply reportProgress(const OrderId &Name, const std::string &State,
                       const std::string &Message = {}) {
    wire::Command Next;
    Next.mutable_order_progress()->set_order(Name.m_Value);
    Next.mutable_order_progress()->set_state(State);
    Next.mutable_order_progress()->set_message(Message);
    return commit(Next);
  }

  std::vector<Action> actions() const {
    return dueActions(m_State, m_Observed, m_Now, m_Settings);
  }

  /// Commits the due commands once, without sending orders. \returns their
  /// number.
  std::size_t commitDue() {
    std::size_t Count = 0;
    for (const Action &NextAction : actions())
      if (const Propose *Next = std::get_if<Propose>(&NextAction)) {
        commit(Next->m_Command);
        ++Count;
      }
    return Count;
  }

  /// Commits due commands until only orders are left to execute.
  void commitAllDue() {
    for (int Round = 0; Round < 50; ++Round) {
      if (m_EntryReports)
        report();
      if (commitDue() == 0)
        return;
    }
  }

  /// The order under way for a target, or null.
  const Order *order(const std::string &Name) const {
    return orderUnderWay(m_State.m_Orders, {Name});
  }

  /// Runs until no action is due; engines complete orders at once.
  void settle() {
    for (int Round = 0; Round < 50; ++Round) {
      commitAllDue();
      const auto Pending = m_State.m_Orders.m_UnderWay;
      if (Pending.empty())
        return;
      for (const auto &[Name, Id] : Pending) {
        reportProgress(Id, "sent");
        reportProgress(Id, "done");
      }
    }
  }

  const Target &target(const std::string &Name) const {
    return m_State.m_Targets.m_ById.at({Name});
  }
  std::string stateOf(const std::string &Name) const {
    return std::string(targetStateName(target(Name).m_State));
  }
  std::string planState(const PlanId &Name) const {
    return std::string(planPhaseName(m_State.m_Plans.m_ById.at(Name).m_Phase));
  }

  /// Another control member becomes leader: same state, no observations.
  void changeLeader() {
    m_State = std::get<State>(restore(snapshot(m_State)));
    m_Settings.m_Term += 1;
    startTerm(m_Observed, m_State, m_Now, Lease);
  }
};

inline Json drain(const std::string &Name) {
  return {{"intent", "drain"}, {"targets", {Name}}};
}

inline Json shiftRole(const std::string &Name, const std::string &Role) {
  return {{"intent", "shift_role"}, {"targets", {Name}}, {"role", Role}};
}

inline std::string outcome(const Reply &Reply) {
  return Reply.m_Refusal ? std::string(refusalInfo(*Reply.m_Refusal).m_Name)
                         : "accepted";
}

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_TESTS_FLEETFIXTURE_H
