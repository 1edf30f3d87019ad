#include "Fields.h"

namespace wasabivale::targets {

namespace {

constexpr auto Required = Presence::Required;
constexpr auto Optional = Presence::Optional;

constexpr int HttpAccepted = 202;
constexpr int HttpConflict = 409;

std::string_view stateName(OrderState Value) {
  switch (Value) {
  case OrderState::None:
    return "none";
  case OrderState::Running:
    return "running";
  case OrderState::Done:
    return "done";
  case OrderState::Failed:
    return "failed";
  }
  return "none";
}

std::optional<OrderState> stateFromName(std::string_view Name) {
  for (const OrderState Known : {OrderState::None, OrderState::Running,
                                 OrderState::Done, OrderState::Failed})
    if (stateName(Known) == Name)
      return Known;
  return std::nullopt;
}

} // namespace

Result<TargetState> parseTargetState(std::string_view Text) {
  TargetState Made;
  Fields In(Text, "targets.state");
  In.text("id", Made.m_Id, Required);
  In.text("incarnation", Made.m_Incarnation, Required);
  In.role("role", Made.m_Role, Optional);
  In.models("models", Made.m_Models, Optional);
  In.flag("draining", Made.m_Draining, Required);
  In.flag("withdrawn", Made.m_Withdrawn, Optional);
  In.flag("changing", Made.m_Changing, Required);
  In.text("order", Made.m_Order, Optional);
  std::string State;
  In.text("order_state", State, Required);
  In.fence("fence", Made.m_Fence, Required);
  In.number("running", Made.m_Running, Optional);
  In.number("kv_blocks_free", Made.m_KvBlocksFree, Optional);
  if (In.bad())
    return In.finish(Made);
  if (const auto Known = stateFromName(State))
    Made.m_OrderState = *Known;
  else
    In.refuse("order_state", "none, running, done or failed");
  return In.finish(Made);
}

std::string print(const TargetState &Value) {
  return dump({{"id", Value.m_Id.m_Value},
               {"incarnation", Value.m_Incarnation},
               {"role", roleName(Value.m_Role)},
               {"models", toJson(Value.m_Models)},
               {"draining", Value.m_Draining},
               {"withdrawn", Value.m_Withdrawn},
               {"changing", Value.m_Changing},
               {"order", Value.m_Order},
               {"order_state", stateName(Value.m_OrderState)},
               {"fence", toJson(Value.m_Fence)},
               {"running", Value.m_Running},
               {"kv_blocks_free", Value.m_KvBlocksFree}});
}

Result<Order> parseOrder(std::string_view Text) {
  Order Made;
  Fields In(Text, "targets.order");
  In.text("order", Made.m_Id, Required);
  In.fence("fence", Made.m_Fence, Required);
  const Json *Want = In.find("want", Required);
  if (Want == nullptr)
    return In.finish(Made);
  Fields Wanted(*Want, "targets.order");
  Wanted.role("role", Made.m_Want.m_Role, Optional);
  Wanted.models("models", Made.m_Want.m_Models, Optional);
  Wanted.flag("draining", Made.m_Want.m_Draining, Required);
  Wanted.flag("withdrawn", Made.m_Want.m_Withdrawn, Required);
  return Wanted.finish(Made);
}

std::string print(const Order &Value) {
  return dump({{"order", Value.m_Id},
               {"fence", toJson(Value.m_Fence)},
               {"want",
                {{"role", roleName(Value.m_Want.m_Role)},
                 {"models", toJson(Value.m_Want.m_Models)},
                 {"draining", Value.m_Want.m_Draining},
                 {"withdrawn", Value.m_Want.m_Withdrawn}}}});
}

Result<OrderAnswer> parseOrderAnswer(int HttpStatus, std::string_view Text) {
  Fields In(Text, "targets.order_answer");
  if (HttpStatus == HttpAccepted) {
    bool Accepted = false;
    In.flag("accepted", Accepted, Required);
    if (!Accepted)
      In.refuse("accepted", "true");
    return In.finish(OrderAnswer::Accepted);
  }
  if (HttpStatus != HttpConflict)
    return Error{"targets.order_answer", "", "unexpected status"};
  std::string Reason;
  In.text("reason", Reason, Required);
  if (Reason == "stale_fence")
    return In.finish(OrderAnswer::StaleFence);
  if (Reason != "busy")
    In.refuse("reason", "stale_fence or busy");
  return In.finish(OrderAnswer::Busy);
}

std::string print(OrderAnswer Value) {
  switch (Value) {
  case OrderAnswer::Accepted:
    return dump({{"accepted", true}});
  case OrderAnswer::StaleFence:
    return dump({{"reason", "stale_fence"}});
  case OrderAnswer::Busy:
    break;
  }
  return dump({{"reason", "busy"}});
}

int httpStatus(OrderAnswer Value) {
  return Value == OrderAnswer::Accepted ? HttpAccepted : HttpConflict;
}

} // namespace wasabivale::targets
