/// \file
/// A leader with its state, one entry and obedient engines, driven step by
/// step on a virtual clock.

#ifndef WASABIVALE_FLEET_TESTS_STAGE_H
#define WASABIVALE_FLEET_TESTS_STAGE_H

#include "fleet/fleet.h"

#include <string>

namespace wasabivale::fleet {

inline constexpr std::chrono::seconds Lease{3};

struct Stage {
  State m_State;
  Barriers m_Heard;
  TimePoint m_Now{std::chrono::hours(1)};
  DueSettings m_Settings{1, std::chrono::seconds(5)};
  std::uint64_t m_Calls = 0;
  std::uint64_t m_InFlight = 0; ///< At the entry, for each draining target.
  bool m_EntryAnswers = true;

  Stage() {
    startTerm(m_Heard, m_State, m_Now, Lease);
    pass(Lease);
  }

  /// Lets time pass, with the entry reporting at the end.
  void pass(Duration Span) {
    m_Now += Span;
    if (m_EntryAnswers)
      report();
  }

  void report() {
    wire::EntryReport Said;
    Said.set_configuration_revision(m_State.m_Configuration.m_Revision);
    for (const auto &[Name, Each] : m_State.m_Targets.m_ById) {
      wire::TargetReport &Seen = *Said.add_targets();
      Seen.set_target(Name.m_Value);
      Seen.set_incarnation(Each.m_Incarnation);
      if (Each.m_State == TargetState::Serving)
        continue;
      wire::BarrierState &Drained = *Said.add_barriers();
      Drained.set_target(Name.m_Value);
      Drained.set_generation(Each.m_Generation);
      Drained.set_in_flight(m_InFlight);
    }
    takeReport(m_Heard, {"entry-1"}, 7, Said, m_Now, m_Now + Lease);
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
    wire::Target &Said = *Next.mutable_announce_target()->mutable_target();
    Said.set_id(Name);
    Said.set_incarnation(Incarnation);
    Said.set_address(Address.empty() ? "10.0.0.1:" + Name : Address);
    Said.set_kind("engine");
    Said.set_role(Role);
    Said.add_models("gourd-8b");
    Said.set_checks_fence(true);
    Said.set_max_running(32);
    Reply Out = commit(Next);
    targetSeen(m_Heard, {Name}, Incarnation, m_Now);
    return Out;
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
  Json plan(const Json &Intent) {
    const Reply Out = call("intent", Intent);
    return Out.m_Refusal ? Json{{"refused", Out.m_Message}}
                         : Json::parse(Out.m_Result);
  }

  Reply confirm(const Json &Made, const std::string &RequestId = {},
                const std::string &Actor = "alice") {
    return call("confirm", {{"plan", Made["plan"]}, {"digest", Made["digest"]}},
                Made["revision"].get<std::uint64_t>(), RequestId, Actor);
  }

  /// Plans, confirms. \returns the plan's id.
  PlanId start(const Json &Intent) {
    const Json Made = plan(Intent);
    if (Made.contains("refused"))
      return {};
    const Reply Out = confirm(Made);
    return Out.m_Refusal ? PlanId{} : PlanId{Made["plan"].get<std::string>()};
  }

  Reply tell(const OrderId &Name, const std::string &State,
             const std::string &Message = {}) {
    wire::Command Next;
    Next.mutable_order_progress()->set_order(Name.m_Value);
    Next.mutable_order_progress()->set_state(State);
    Next.mutable_order_progress()->set_message(Message);
    return commit(Next);
  }

  std::vector<Action> actions() const {
    return due(m_State, m_Heard, m_Now, m_Settings);
  }

  /// Commits what is due once, without sending orders. \returns how many.
  std::size_t commitDue() {
    std::size_t Count = 0;
    for (const Action &Each : actions())
      if (const Propose *Next = std::get_if<Propose>(&Each)) {
        commit(Next->m_Command);
        ++Count;
      }
    return Count;
  }

  /// Commits what is due until only orders remain to be carried out.
  void commitAllDue() {
    for (int Turns = 0; Turns < 50; ++Turns) {
      if (m_EntryAnswers)
        report();
      if (commitDue() == 0)
        return;
    }
  }

  /// The order under way for a target, or null.
  const Order *order(const std::string &Name) const {
    return underWay(m_State.m_Orders, {Name});
  }

  /// Everything that is due happens, engines obeying at once.
  void settle() {
    for (int Turns = 0; Turns < 50; ++Turns) {
      commitAllDue();
      const auto Pending = m_State.m_Orders.m_UnderWay;
      if (Pending.empty())
        return;
      for (const auto &[Name, Which] : Pending) {
        tell(Which, "sent");
        tell(Which, "done");
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

  /// Another control member leads: same state, no memory.
  void changeLeader() {
    m_State = std::get<State>(restore(snapshot(m_State)));
    m_Settings.m_Term += 1;
    startTerm(m_Heard, m_State, m_Now, Lease);
  }
};

inline Json drain(const std::string &Name) {
  return {{"intent", "drain"}, {"targets", {Name}}};
}

inline Json shiftRole(const std::string &Name, const std::string &Role) {
  return {{"intent", "shift_role"}, {"targets", {Name}}, {"role", Role}};
}

inline std::string reason(const Reply &Of) {
  return Of.m_Refusal ? std::string(refusalInfo(*Of.m_Refusal).m_Name)
                      : "accepted";
}

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_TESTS_STAGE_H
