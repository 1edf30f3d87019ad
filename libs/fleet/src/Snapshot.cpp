#include "Configuration.h"
#include "Suspicion.h"
#include "fleet/fleet.h"

#include "state.pb.h"

namespace wasabivale::fleet {

namespace {

void write(wire::FenceState &To, const Fence &From) {
  To.set_term(From.m_Term);
  To.set_sequence(From.m_Sequence);
}

Fence read(const wire::FenceState &From) {
  return {From.term(), From.sequence()};
}

void write(wire::WantedState &To, const Wanted &From) {
  To.set_role(From.m_Role);
  for (const std::string &Each : From.m_Models)
    To.add_models(Each);
  To.set_draining(From.m_Draining);
  To.set_withdrawn(From.m_Withdrawn);
}

Wanted read(const wire::WantedState &From) {
  return {From.role(),
          {From.models().begin(), From.models().end()},
          From.draining(),
          From.withdrawn()};
}

void write(wire::TargetState &To, const Target &From) {
  *To.mutable_target() = describe(From);
  To.set_changed(From.m_Changed);
  if (From.m_Wanted)
    write(*To.mutable_wanted(), *From.m_Wanted);
  To.set_barrier_reached(From.m_BarrierReached);
  To.set_claimed_by(From.m_ClaimedBy.m_Value);
  To.set_leaving_by_itself(From.m_LeavingByItself);
  for (const std::string &Each : From.m_PastIncarnations)
    To.add_past_incarnations(Each);
  To.set_state_since_ns(nanosecondsOf(From.m_StateSince));
}

TargetState stateNamed(const std::string &Name) {
  for (const TargetState Each :
       {TargetState::Announced, TargetState::Serving, TargetState::Draining,
        TargetState::Leaving, TargetState::Withdrawn})
    if (targetStateName(Each) == Name)
      return Each;
  return TargetState::Lost;
}

Target read(const wire::TargetState &From) {
  const wire::Target &Said = From.target();
  Target Out;
  Out.m_Id = {Said.id()};
  Out.m_Incarnation = Said.incarnation();
  Out.m_Address = Said.address();
  Out.m_IsEngine = Said.kind() == "engine";
  Out.m_Region = {Said.region()};
  Out.m_Zone = {Said.zone()};
  Out.m_Role = Said.role();
  Out.m_Models = {Said.models().begin(), Said.models().end()};
  Out.m_ChecksFence = Said.checks_fence();
  Out.m_KvBlocks = Said.kv_blocks();
  Out.m_MaxRunning = Said.max_running();
  Out.m_StartedMs = Said.started_ms();
  Out.m_SelfManaged = Said.self_managed();
  Out.m_Held = Said.held();
  Out.m_PrefillTokensPerSecond = Said.prefill_tokens_per_second();
  Out.m_DecodeTokensPerSecond = Said.decode_tokens_per_second();
  Out.m_State = stateNamed(Said.state());
  Out.m_StateSince = logTime(From.state_since_ns());
  Out.m_Generation = Said.generation();
  Out.m_BarrierReached = From.barrier_reached();
  Out.m_Changed = From.changed();
  if (From.has_wanted())
    Out.m_Wanted = read(From.wanted());
  Out.m_LeavingByItself = From.leaving_by_itself();
  Out.m_ClaimedBy = {From.claimed_by()};
  Out.m_PastIncarnations = {From.past_incarnations().begin(),
                            From.past_incarnations().end()};
  return Out;
}

void write(wire::FleetState &To, const Targets &From) {
  To.set_fleet_revision(From.m_Revision);
  To.set_oldest_delta(From.m_OldestDelta);
  To.set_holds(From.m_Holds);
  for (const auto &[Name, Each] : From.m_ById)
    write(*To.add_targets(), Each);
  for (const auto &[Name, Revision] : From.m_Removed) {
    wire::RemovedTarget &Gone = *To.add_removed();
    Gone.set_id(Name.m_Value);
    Gone.set_revision(Revision);
  }
}

void read(Targets &To, const wire::FleetState &From) {
  To.m_Revision = From.fleet_revision();
  To.m_OldestDelta = From.oldest_delta();
  To.m_Holds = From.holds();
  for (const wire::TargetState &Each : From.targets())
    To.m_ById[{Each.target().id()}] = read(Each);
  for (const wire::RemovedTarget &Each : From.removed())
    To.m_Removed[{Each.id()}] = Each.revision();
}

void write(wire::OrderState &To, const Order &From) {
  To.set_id(From.m_Id.m_Value);
  To.set_target(From.m_Target.m_Value);
  To.set_incarnation(From.m_Incarnation);
  write(*To.mutable_fence(), From.m_Fence);
  write(*To.mutable_want(), From.m_Want);
  To.set_state(static_cast<std::uint32_t>(From.m_Phase));
  To.set_plan(From.m_Plan.m_Value);
  To.set_step(From.m_Step);
  To.set_message(From.m_Message);
  To.set_issued_ns(nanosecondsOf(From.m_Issued));
  To.set_loads(From.m_Loads);
  To.set_drained(From.m_Drained);
  To.set_sent_ns(nanosecondsOf(From.m_SentAt));
}

Order read(const wire::OrderState &From) {
  Order Out;
  Out.m_Id = {From.id()};
  Out.m_Target = {From.target()};
  Out.m_Incarnation = From.incarnation();
  Out.m_Fence = read(From.fence());
  Out.m_Want = read(From.want());
  Out.m_Phase = static_cast<OrderPhase>(From.state());
  Out.m_Plan = {From.plan()};
  Out.m_Step = From.step();
  Out.m_Message = From.message();
  Out.m_Issued = logTime(From.issued_ns());
  Out.m_SentAt = logTime(From.sent_ns());
  Out.m_Loads = From.loads();
  Out.m_Drained = From.drained();
  return Out;
}

/// Ended orders oldest first, then those under way.
void write(wire::FleetState &To, const Orders &From) {
  write(*To.mutable_last_fence(), From.m_Last);
  To.set_next_order(From.m_Next);
  for (const OrderId &Each : From.m_Ended)
    write(*To.add_orders(), From.m_ById.at(Each));
  for (const auto &[Name, Each] : From.m_UnderWay)
    write(*To.add_orders(), From.m_ById.at(Each));
}

void read(Orders &To, const wire::FleetState &From) {
  To.m_Last = read(From.last_fence());
  To.m_Next = From.next_order();
  for (const wire::OrderState &Each : From.orders()) {
    const Order Known = read(Each);
    if (Known.isUnderWay())
      To.m_UnderWay[Known.m_Target] = Known.m_Id;
    else
      To.m_Ended.push_back(Known.m_Id);
    To.m_ById[Known.m_Id] = Known;
  }
}

void write(wire::StepState &To, const Step &From) {
  To.set_kind(static_cast<std::uint32_t>(From.m_Kind));
  To.set_target(From.m_Target.m_Value);
  write(*To.mutable_want(), From.m_Want);
  To.set_stage(From.m_Stage);
  To.set_barrier(From.m_Barrier);
  To.set_state(static_cast<std::uint32_t>(From.m_Phase));
  To.set_order(From.m_Order.m_Value);
  To.set_message(From.m_Message);
  To.set_document(From.m_Document);
  for (const Capacity &Each : From.m_Remaining) {
    wire::CapacityState &Sum = *To.add_remaining();
    Sum.set_name(Each.m_Name);
    Sum.set_targets(Each.m_Targets);
    Sum.set_running(Each.m_Running);
  }
}

Step read(const wire::StepState &From) {
  Step Out;
  Out.m_Kind = static_cast<StepKind>(From.kind());
  Out.m_Target = {From.target()};
  Out.m_Want = read(From.want());
  Out.m_Stage = From.stage();
  Out.m_Barrier = From.barrier();
  Out.m_Phase = static_cast<StepPhase>(From.state());
  Out.m_Order = {From.order()};
  Out.m_Message = From.message();
  Out.m_Document = From.document();
  for (const wire::CapacityState &Each : From.remaining())
    Out.m_Remaining.push_back({Each.name(), Each.targets(), Each.running()});
  return Out;
}

void write(wire::PlanState &To, const Plan &From) {
  To.set_id(From.m_Id.m_Value);
  To.set_revision(From.m_Revision);
  To.set_digest(From.m_Digest);
  To.set_intent(From.m_Intent);
  To.set_actor(From.m_Actor);
  To.set_state(static_cast<std::uint32_t>(From.m_Phase));
  To.set_message(From.m_Message);
  To.set_cancelling(From.m_Cancelling);
  To.set_proposed_ns(nanosecondsOf(From.m_ProposedAt));
  To.set_confirmed_ns(nanosecondsOf(From.m_ConfirmedAt));
  To.set_ended_ns(nanosecondsOf(From.m_EndedAt));
  for (const Step &Each : From.m_Steps)
    write(*To.add_steps(), Each);
}

Plan read(const wire::PlanState &From) {
  Plan Out;
  Out.m_Id = {From.id()};
  Out.m_Revision = From.revision();
  Out.m_Digest = From.digest();
  Out.m_Intent = From.intent();
  Out.m_Actor = From.actor();
  Out.m_Phase = static_cast<PlanPhase>(From.state());
  Out.m_Message = From.message();
  Out.m_Cancelling = From.cancelling();
  Out.m_ProposedAt = logTime(From.proposed_ns());
  Out.m_ConfirmedAt = logTime(From.confirmed_ns());
  Out.m_EndedAt = logTime(From.ended_ns());
  for (const wire::StepState &Each : From.steps())
    Out.m_Steps.push_back(read(Each));
  return Out;
}

void write(wire::FleetState &To, const Plans &From) {
  To.set_intent_revision(From.m_Revision);
  To.set_next_plan(From.m_Next);
  To.set_last_winner(From.m_LastWinner);
  for (const PlanId &Each : From.m_InOrder)
    write(*To.add_plans(), From.m_ById.at(Each));
}

void read(Plans &To, const wire::FleetState &From) {
  To.m_Revision = From.intent_revision();
  To.m_Next = From.next_plan();
  To.m_LastWinner = From.last_winner();
  for (const wire::PlanState &Each : From.plans()) {
    const Plan Known = read(Each);
    To.m_InOrder.push_back(Known.m_Id);
    To.m_ById[Known.m_Id] = Known;
  }
}

void write(wire::PolicyState &To, const RolePolicy &From) {
  To.set_active(From.m_Active);
  To.set_plan(From.m_Plan.m_Value);
  To.set_changes_per_hour(From.m_ChangesPerHour);
  To.set_cooldown_ns(nanosecondsOf(From.m_Cooldown));
  To.set_minimum_prefill(From.m_MinimumPrefill);
  To.set_minimum_decode(From.m_MinimumDecode);
  for (const LogTime Each : From.m_Changes)
    To.add_changes_ns(nanosecondsOf(Each));
}

RolePolicy read(const wire::PolicyState &From) {
  RolePolicy Out;
  Out.m_Active = From.active();
  Out.m_Plan = {From.plan()};
  Out.m_ChangesPerHour = From.changes_per_hour();
  Out.m_Cooldown =
      std::chrono::nanoseconds(static_cast<std::int64_t>(From.cooldown_ns()));
  Out.m_MinimumPrefill = From.minimum_prefill();
  Out.m_MinimumDecode = From.minimum_decode();
  for (const std::uint64_t Each : From.changes_ns())
    Out.m_Changes.push_back(logTime(Each));
  return Out;
}

void write(wire::FleetState &To, const Configuration &From) {
  To.set_configuration_revision(From.m_Revision);
  for (const ConfigurationRevision &Each : From.m_History) {
    wire::ConfigurationState &Out = *To.add_configurations();
    Out.set_revision(Each.m_Revision);
    Out.set_actor(Each.m_Actor);
    Out.set_digest(Each.m_Digest);
    Out.set_accepted_ns(nanosecondsOf(Each.m_AcceptedAt));
    Out.set_document(Each.m_Document);
  }
}

void read(Configuration &To, const wire::FleetState &From) {
  To.m_Revision = From.configuration_revision();
  for (const wire::ConfigurationState &Each : From.configurations())
    To.m_History.push_back({Each.revision(), Each.actor(), Each.digest(),
                            logTime(Each.accepted_ns()), Each.document()});
  adopt(To);
}

void write(wire::FleetState &To, const RequestTable &From) {
  for (const RequestId &Name : From.m_InOrder) {
    const AnsweredCall &Each = From.m_ById.at(Name);
    wire::AnsweredRequest &Out = *To.add_requests();
    Out.set_request_id(Name.m_Value);
    Out.set_call_digest(Each.m_CallDigest);
    if (Each.m_Reply.m_Refusal)
      Out.set_refusal(static_cast<std::uint32_t>(*Each.m_Reply.m_Refusal));
    Out.set_message(Each.m_Reply.m_Message);
    Out.set_result(Each.m_Reply.m_Result);
    Out.set_answered_ns(nanosecondsOf(Each.m_AnsweredAt));
  }
}

void read(RequestTable &To, const wire::FleetState &From) {
  for (const wire::AnsweredRequest &Each : From.requests()) {
    AnsweredCall Known;
    Known.m_CallDigest = Each.call_digest();
    if (Each.refusal() != 0)
      Known.m_Reply.m_Refusal = static_cast<Refusal>(Each.refusal());
    Known.m_Reply.m_Message = Each.message();
    Known.m_Reply.m_Result = Each.result();
    Known.m_AnsweredAt = logTime(Each.answered_ns());
    To.m_InOrder.push_back({Each.request_id()});
    To.m_ById[{Each.request_id()}] = Known;
  }
}

} // namespace

std::string snapshot(const State &From) {
  wire::FleetState Out;
  Out.set_log_time_ns(nanosecondsOf(From.m_Now));
  write(Out, From.m_Targets);
  write(Out, From.m_Orders);
  write(Out, From.m_Plans);
  write(*Out.mutable_policy(), From.m_Policy);
  write(Out, From.m_Configuration);
  write(Out, From.m_Requests);
  write(*Out.mutable_suspicion(), From.m_Suspicion);
  *Out.mutable_routes()->mutable_table() = From.m_Routes.m_Table;
  Out.mutable_routes()->set_source(From.m_Routes.m_Source);
  return Out.SerializeAsString();
}

Result<State> restore(std::string_view Bytes) {
  wire::FleetState In;
  if (!In.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return Error{"fleet.restore", "", "the snapshot is not well formed"};
  State Out;
  Out.m_Now = logTime(In.log_time_ns());
  read(Out.m_Targets, In);
  read(Out.m_Orders, In);
  read(Out.m_Plans, In);
  Out.m_Policy = read(In.policy());
  read(Out.m_Configuration, In);
  read(Out.m_Requests, In);
  read(Out.m_Suspicion, In.suspicion());
  Out.m_Routes = {In.routes().table(), In.routes().source()};
  return Out;
}

} // namespace wasabivale::fleet
