#include "Configuration.h"
#include "Duties.h"
#include "StreamVersions.h"
#include "Suspicion.h"
#include "fleet/fleet.h"

#include "state.pb.h"

namespace wasabivale::fleet {

namespace {

void write(wire::FenceState &Message, const Fence &Fence) {
  Message.set_term(Fence.m_Term);
  Message.set_sequence(Fence.m_Sequence);
}

Fence read(const wire::FenceState &Message) {
  return {Message.term(), Message.sequence()};
}

void write(wire::WantedState &Message, const DesiredState &Desired) {
  Message.set_role(Desired.m_Role);
  for (const std::string &Model : Desired.m_Models)
    Message.add_models(Model);
  Message.set_draining(Desired.m_Draining);
  Message.set_withdrawn(Desired.m_Withdrawn);
}

DesiredState read(const wire::WantedState &Message) {
  return {Message.role(),
          {Message.models().begin(), Message.models().end()},
          Message.draining(),
          Message.withdrawn()};
}

void write(wire::TargetState &Message, const Target &Target) {
  *Message.mutable_target() = toWire(Target);
  Message.set_changed(Target.m_ChangedAtRevision);
  if (Target.m_DesiredState)
    write(*Message.mutable_wanted(), *Target.m_DesiredState);
  Message.set_barrier_reached(Target.m_BarrierReached);
  Message.set_claimed_by(Target.m_ClaimedBy.m_Value);
  Message.set_leaving_by_itself(Target.m_LeaveRequested);
  for (const std::string &Incarnation : Target.m_PastIncarnations)
    Message.add_past_incarnations(Incarnation);
  Message.set_state_since_ns(nanosecondsOf(Target.m_StateSince));
}

TargetState targetStateFromName(const std::string &Name) {
  for (const TargetState Value :
       {TargetState::Announced, TargetState::Serving, TargetState::Draining,
        TargetState::Leaving, TargetState::Withdrawn})
    if (targetStateName(Value) == Name)
      return Value;
  return TargetState::Lost;
}

Target read(const wire::TargetState &Message) {
  const wire::Target &Announcement = Message.target();
  Target Target;
  Target.m_Id = {Announcement.id()};
  Target.m_Incarnation = Announcement.incarnation();
  Target.m_Address = Announcement.address();
  Target.m_IsEngine = Announcement.kind() == "engine";
  Target.m_Region = {Announcement.region()};
  Target.m_Zone = {Announcement.zone()};
  Target.m_Role = Announcement.role();
  Target.m_Models = {Announcement.models().begin(),
                     Announcement.models().end()};
  Target.m_ChecksFence = Announcement.checks_fence();
  Target.m_KvBlocks = Announcement.kv_blocks();
  Target.m_MaxRunning = Announcement.max_running();
  Target.m_StartedMs = Announcement.started_ms();
  Target.m_SelfManaged = Announcement.self_managed();
  Target.m_SoftwareVersion = Announcement.software_version();
  Target.m_IsReclaimable = Announcement.reclaimable();
  Target.m_Held = Announcement.held();
  Target.m_PrefillTokensPerSecond = Announcement.prefill_tokens_per_second();
  Target.m_DecodeTokensPerSecond = Announcement.decode_tokens_per_second();
  Target.m_State = targetStateFromName(Announcement.state());
  Target.m_StateSince = logTime(Message.state_since_ns());
  Target.m_Generation = Announcement.generation();
  Target.m_BarrierReached = Message.barrier_reached();
  Target.m_ChangedAtRevision = Message.changed();
  if (Message.has_wanted())
    Target.m_DesiredState = read(Message.wanted());
  Target.m_LeaveRequested = Message.leaving_by_itself();
  Target.m_ClaimedBy = {Message.claimed_by()};
  Target.m_PastIncarnations = {Message.past_incarnations().begin(),
                               Message.past_incarnations().end()};
  return Target;
}

void write(wire::FleetState &Message, const Targets &Targets) {
  Message.set_fleet_revision(Targets.m_Revision);
  Message.set_oldest_delta(Targets.m_OldestDeltaRevision);
  Message.set_holds(Targets.m_HoldCount);
  for (const auto &[Name, Target] : Targets.m_ById)
    write(*Message.add_targets(), Target);
  for (const auto &[Name, Revision] : Targets.m_Removed) {
    wire::RemovedTarget &Item = *Message.add_removed();
    Item.set_id(Name.m_Value);
    Item.set_revision(Revision);
  }
}

void read(Targets &Targets, const wire::FleetState &Message) {
  Targets.m_Revision = Message.fleet_revision();
  Targets.m_OldestDeltaRevision = Message.oldest_delta();
  Targets.m_HoldCount = Message.holds();
  for (const wire::TargetState &Item : Message.targets())
    Targets.m_ById[{Item.target().id()}] = read(Item);
  for (const wire::RemovedTarget &Item : Message.removed())
    Targets.m_Removed[{Item.id()}] = Item.revision();
}

void write(wire::OrderState &Message, const Order &Order) {
  Message.set_id(Order.m_Id.m_Value);
  Message.set_target(Order.m_Target.m_Value);
  Message.set_incarnation(Order.m_Incarnation);
  write(*Message.mutable_fence(), Order.m_Fence);
  write(*Message.mutable_want(), Order.m_DesiredState);
  Message.set_state(static_cast<std::uint32_t>(Order.m_Phase));
  Message.set_plan(Order.m_Plan.m_Value);
  Message.set_step(Order.m_Step);
  Message.set_message(Order.m_Message);
  Message.set_issued_ns(nanosecondsOf(Order.m_Issued));
  Message.set_loads(Order.m_ReadsWeightStore);
  Message.set_drained(Order.m_RequiresDrain);
  Message.set_sent_ns(nanosecondsOf(Order.m_SentAt));
}

Order read(const wire::OrderState &Message) {
  Order Order;
  Order.m_Id = {Message.id()};
  Order.m_Target = {Message.target()};
  Order.m_Incarnation = Message.incarnation();
  Order.m_Fence = read(Message.fence());
  Order.m_DesiredState = read(Message.want());
  Order.m_Phase = static_cast<OrderPhase>(Message.state());
  Order.m_Plan = {Message.plan()};
  Order.m_Step = Message.step();
  Order.m_Message = Message.message();
  Order.m_Issued = logTime(Message.issued_ns());
  Order.m_SentAt = logTime(Message.sent_ns());
  Order.m_ReadsWeightStore = Message.loads();
  Order.m_RequiresDrain = Message.drained();
  return Order;
}

/// Writes ended orders oldest first, then those under way.
void write(wire::FleetState &Message, const Orders &Orders) {
  write(*Message.mutable_last_fence(), Orders.m_Last);
  Message.set_next_order(Orders.m_Next);
  for (const OrderId &Id : Orders.m_Ended)
    write(*Message.add_orders(), Orders.m_ById.at(Id));
  for (const auto &[Name, Id] : Orders.m_UnderWay)
    write(*Message.add_orders(), Orders.m_ById.at(Id));
}

void read(Orders &Orders, const wire::FleetState &Message) {
  Orders.m_Last = read(Message.last_fence());
  Orders.m_Next = Message.next_order();
  for (const wire::OrderState &Item : Message.orders()) {
    const Order Order = read(Item);
    if (Order.isUnderWay())
      Orders.m_UnderWay[Order.m_Target] = Order.m_Id;
    else
      Orders.m_Ended.push_back(Order.m_Id);
    Orders.m_ById[Order.m_Id] = Order;
  }
}

void write(wire::StepState &Message, const Step &Step) {
  Message.set_kind(static_cast<std::uint32_t>(Step.m_Kind));
  Message.set_target(Step.m_Target.m_Value);
  write(*Message.mutable_want(), Step.m_DesiredState);
  Message.set_stage(Step.m_Stage);
  Message.set_barrier(Step.m_StopsServing);
  Message.set_state(static_cast<std::uint32_t>(Step.m_Phase));
  Message.set_order(Step.m_Order.m_Value);
  Message.set_message(Step.m_Message);
  Message.set_document(Step.m_Document);
  for (const Capacity &Capacity : Step.m_Remaining) {
    wire::CapacityState &Sum = *Message.add_remaining();
    Sum.set_name(Capacity.m_Name);
    Sum.set_targets(Capacity.m_Targets);
    Sum.set_running(Capacity.m_Running);
  }
}

Step read(const wire::StepState &Message) {
  Step Step;
  Step.m_Kind = static_cast<StepKind>(Message.kind());
  Step.m_Target = {Message.target()};
  Step.m_DesiredState = read(Message.want());
  Step.m_Stage = Message.stage();
  Step.m_StopsServing = Message.barrier();
  Step.m_Phase = static_cast<StepPhase>(Message.state());
  Step.m_Order = {Message.order()};
  Step.m_Message = Message.message();
  Step.m_Document = Message.document();
  for (const wire::CapacityState &Item : Message.remaining())
    Step.m_Remaining.push_back({Item.name(), Item.targets(), Item.running()});
  return Step;
}

void write(wire::PlanState &Message, const Plan &Plan) {
  Message.set_id(Plan.m_Id.m_Value);
  Message.set_revision(Plan.m_Revision);
  Message.set_digest(Plan.m_Digest);
  Message.set_intent(Plan.m_Intent);
  Message.set_actor(Plan.m_Actor);
  Message.set_state(static_cast<std::uint32_t>(Plan.m_Phase));
  Message.set_message(Plan.m_Message);
  Message.set_cancelling(Plan.m_Cancelling);
  Message.set_proposed_ns(nanosecondsOf(Plan.m_ProposedAt));
  Message.set_confirmed_ns(nanosecondsOf(Plan.m_ConfirmedAt));
  Message.set_ended_ns(nanosecondsOf(Plan.m_EndedAt));
  for (const Step &Step : Plan.m_Steps)
    write(*Message.add_steps(), Step);
}

Plan read(const wire::PlanState &Message) {
  Plan Plan;
  Plan.m_Id = {Message.id()};
  Plan.m_Revision = Message.revision();
  Plan.m_Digest = Message.digest();
  Plan.m_Intent = Message.intent();
  Plan.m_Actor = Message.actor();
  Plan.m_Phase = static_cast<PlanPhase>(Message.state());
  Plan.m_Message = Message.message();
  Plan.m_Cancelling = Message.cancelling();
  Plan.m_ProposedAt = logTime(Message.proposed_ns());
  Plan.m_ConfirmedAt = logTime(Message.confirmed_ns());
  Plan.m_EndedAt = logTime(Message.ended_ns());
  for (const wire::StepState &Item : Message.steps())
    Plan.m_Steps.push_back(read(Item));
  return Plan;
}

void write(wire::FleetState &Message, const Plans &Plans) {
  Message.set_intent_revision(Plans.m_Revision);
  Message.set_next_plan(Plans.m_Next);
  Message.set_last_winner(Plans.m_LastConfirmed);
  for (const PlanId &Id : Plans.m_InOrder)
    write(*Message.add_plans(), Plans.m_ById.at(Id));
}

void read(Plans &Plans, const wire::FleetState &Message) {
  Plans.m_Revision = Message.intent_revision();
  Plans.m_Next = Message.next_plan();
  Plans.m_LastConfirmed = Message.last_winner();
  for (const wire::PlanState &Item : Message.plans()) {
    const Plan Plan = read(Item);
    Plans.m_InOrder.push_back(Plan.m_Id);
    Plans.m_ById[Plan.m_Id] = Plan;
  }
}

void write(wire::PolicyState &Message, const RolePolicy &Policy) {
  Message.set_active(Policy.m_Active);
  Message.set_plan(Policy.m_Plan.m_Value);
  Message.set_changes_per_hour(Policy.m_ChangesPerHour);
  Message.set_cooldown_ns(nanosecondsOf(Policy.m_Cooldown));
  Message.set_minimum_prefill(Policy.m_MinimumPrefill);
  Message.set_minimum_decode(Policy.m_MinimumDecode);
  for (const LogTime ChangedAt : Policy.m_Changes)
    Message.add_changes_ns(nanosecondsOf(ChangedAt));
}

RolePolicy read(const wire::PolicyState &Message) {
  RolePolicy Policy;
  Policy.m_Active = Message.active();
  Policy.m_Plan = {Message.plan()};
  Policy.m_ChangesPerHour = Message.changes_per_hour();
  Policy.m_Cooldown = std::chrono::nanoseconds(
      static_cast<std::int64_t>(Message.cooldown_ns()));
  Policy.m_MinimumPrefill = Message.minimum_prefill();
  Policy.m_MinimumDecode = Message.minimum_decode();
  for (const std::uint64_t ChangedAt : Message.changes_ns())
    Policy.m_Changes.push_back(logTime(ChangedAt));
  return Policy;
}

void write(wire::FleetState &Message, const Configuration &Configuration) {
  Message.set_configuration_revision(Configuration.m_Revision);
  for (const ConfigurationRevision &Revision : Configuration.m_History) {
    wire::ConfigurationState &Item = *Message.add_configurations();
    Item.set_revision(Revision.m_Revision);
    Item.set_actor(Revision.m_Actor);
    Item.set_digest(Revision.m_Digest);
    Item.set_accepted_ns(nanosecondsOf(Revision.m_AcceptedAt));
    Item.set_document(Revision.m_Document);
  }
}

void read(Configuration &Configuration, const wire::FleetState &Message) {
  Configuration.m_Revision = Message.configuration_revision();
  for (const wire::ConfigurationState &Item : Message.configurations())
    Configuration.m_History.push_back(
        {Item.revision(), Item.actor(), Item.digest(),
         logTime(Item.accepted_ns()), Item.document()});
  updateDerivedSettings(Configuration);
}

void write(wire::FleetState &Message, const RequestTable &Table) {
  for (const RequestId &Name : Table.m_InOrder) {
    const AnsweredCall &Call = Table.m_ById.at(Name);
    wire::AnsweredRequest &Item = *Message.add_requests();
    Item.set_request_id(Name.m_Value);
    Item.set_call_digest(Call.m_CallDigest);
    if (Call.m_Reply.m_Refusal)
      Item.set_refusal(static_cast<std::uint32_t>(*Call.m_Reply.m_Refusal));
    Item.set_message(Call.m_Reply.m_Message);
    Item.set_result(Call.m_Reply.m_Result);
    Item.set_answered_ns(nanosecondsOf(Call.m_AnsweredAt));
  }
}

void read(RequestTable &Table, const wire::FleetState &Message) {
  for (const wire::AnsweredRequest &Item : Message.requests()) {
    AnsweredCall Call;
    Call.m_CallDigest = Item.call_digest();
    if (Item.refusal() != 0)
      Call.m_Reply.m_Refusal = static_cast<Refusal>(Item.refusal());
    Call.m_Reply.m_Message = Item.message();
    Call.m_Reply.m_Result = Item.result();
    Call.m_AnsweredAt = logTime(Item.answered_ns());
    Table.m_InOrder.push_back({Item.request_id()});
    Table.m_ById[{Item.request_id()}] = Call;
  }
}

} // namespace

std::string snapshot(const State &Fleet) {
  wire::FleetState Message;
  Message.set_log_time_ns(nanosecondsOf(Fleet.m_Now));
  write(Message, Fleet.m_Targets);
  write(Message, Fleet.m_Orders);
  write(Message, Fleet.m_Plans);
  write(*Message.mutable_policy(), Fleet.m_Policy);
  write(Message, Fleet.m_Configuration);
  write(Message, Fleet.m_Requests);
  write(*Message.mutable_suspicion(), Fleet.m_Suspicion);
  write(*Message.mutable_suspicion()->mutable_traits(), Fleet.m_Traits);
  wire::TargetLimitsState &Limits = *Message.mutable_target_limits();
  Limits.set_revision(Fleet.m_TargetLimits.m_Revision);
  for (const auto &[Address, Limit] : Fleet.m_TargetLimits.m_Limits) {
    wire::TargetLimitState &Row = *Limits.add_limits();
    Row.set_address(Address);
    Row.set_per_second(Limit.m_PerSecond);
    Row.set_until_ns(static_cast<std::uint64_t>(
        Limit.m_ExpiresAt.time_since_epoch().count()));
  }
  write(*Message.mutable_stream_versions(), Fleet.m_StreamVersions);
  *Message.mutable_routes()->mutable_table() = Fleet.m_Routes.m_Table;
  Message.mutable_routes()->set_source(Fleet.m_Routes.m_Source);
  // Builds without duties write the same bytes.
  if (!Fleet.m_Duties.isUntouched())
    *Message.mutable_duties() = write(Fleet.m_Duties);
  return Message.SerializeAsString();
}

Result<State> restore(std::string_view Bytes) {
  wire::FleetState Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return Error{"fleet.restore", "", "the snapshot is not well formed"};
  State Fleet;
  Fleet.m_Now = logTime(Message.log_time_ns());
  read(Fleet.m_Targets, Message);
  read(Fleet.m_Orders, Message);
  read(Fleet.m_Plans, Message);
  Fleet.m_Policy = read(Message.policy());
  read(Fleet.m_Configuration, Message);
  read(Fleet.m_Requests, Message);
  read(Fleet.m_Suspicion, Message.suspicion());
  read(Fleet.m_Traits, Message.suspicion().traits());
  Fleet.m_TargetLimits.m_Revision = Message.target_limits().revision();
  for (const wire::TargetLimitState &Row : Message.target_limits().limits())
    Fleet.m_TargetLimits.m_Limits[Row.address()] = {
        Row.per_second(), suspicionTime(logTime(Row.until_ns()))};
  Fleet.m_StreamVersions = read(Message.stream_versions());
  if (!Message.has_stream_versions())
    deriveServedVersions(Fleet);
  Fleet.m_Routes = {Message.routes().table(), Message.routes().source()};
  Fleet.m_Duties = read(Message.duties());
  return Fleet;
}

} // namespace wasabivale::fleet
