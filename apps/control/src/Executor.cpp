#include "Executor.h"

#include "events/events.h"

namespace wasabivale::control {

namespace {

constexpr std::chrono::milliseconds StateTimeout{1500};
constexpr std::chrono::milliseconds PollInterval{100};
constexpr std::chrono::milliseconds RetryInterval{400};

targets::Fence toWire(const fleet::Fence &Fence) {
  return {Fence.m_Term, Fence.m_Sequence};
}

targets::Order toWire(const fleet::Order &Order) {
  targets::Order Result;
  Result.m_Id = Order.m_Id.m_Value;
  Result.m_Fence = toWire(Order.m_Fence);
  Result.m_Want.m_Role = targets::roleFromName(Order.m_DesiredState.m_Role)
                             .value_or(targets::Role::Mixed);
  for (const std::string &Model : Order.m_DesiredState.m_Models)
    Result.m_Want.m_Models.push_back({Model});
  Result.m_Want.m_Draining = Order.m_DesiredState.m_Draining;
  Result.m_Want.m_Withdrawn = Order.m_DesiredState.m_Withdrawn;
  return Result;
}

} // namespace

Executor::Executor(event_base *Loop, metrics::Registry &Registry,
                   ExecutorCallbacks Callbacks)
    : m_Loop(Loop), m_Registry(Registry), m_Callbacks(std::move(Callbacks)) {}

Executor::~Executor() { stop(); }

void Executor::stop() {
  for (auto &[Name, Pending] : m_Attempts)
    if (Pending.m_Call)
      Pending.m_Call->cancel();
  m_Attempts.clear();
}

void Executor::waitFor(const fleet::OrderId &Name, Duration Delay) {
  m_Attempts[Name].m_NotBefore = BootClock::now() + Delay;
}

void Executor::report(const fleet::Order &Order, const std::string &State,
                      const std::string &Message,
                      const targets::TargetState *Observed) {
  wire::Command Next;
  wire::OrderProgress &Progress = *Next.mutable_order_progress();
  Progress.set_order(Order.m_Id.m_Value);
  Progress.set_state(State);
  Progress.set_message(Message);
  if (Observed != nullptr) {
    Progress.set_observed_role(
        std::string(targets::roleName(Observed->m_Role)));
    for (const ModelId &Model : Observed->m_Models)
      Progress.add_observed_models(Model.m_Value);
  }
  m_Callbacks.m_Propose("order/" + Order.m_Id.m_Value + '/' + State,
                        std::move(Next));
}

void Executor::execute(const fleet::Order &Order, const fleet::Target &Target,
                       TimePoint Now) {
  Attempt &Current = m_Attempts[Order.m_Id];
  if (Current.m_Calling || Now < Current.m_NotBefore)
    return;
  // An order of a former leader may still be in transit to a target that
  // ignores fences. Its effect must be visible before this leader reads state.
  const TimePoint Settled = m_Callbacks.m_LeaderSince() + OrderTransit;
  if (!Target.m_ChecksFence && Now < Settled) {
    Current.m_NotBefore = Settled;
    return;
  }
  const auto Address = http::parseAddress(Target.m_Address);
  if (failed(Address)) {
    report(Order, "failed", "the target's address is not valid", nullptr);
    return;
  }
  Current.m_Calling = true;
  Current.m_Call = targets::getState(
      m_Loop, valueOf(Address), Now + StateTimeout,
      [this, Order, Target](const Result<targets::TargetState> &Observed) {
        m_Attempts[Order.m_Id].m_Calling = false;
        if (failed(Observed)) {
          waitFor(Order.m_Id, RetryInterval);
          return;
        }
        decide(Order, Target, valueOf(Observed));
      });
}

void Executor::decide(const fleet::Order &Order, const fleet::Target &Target,
                      const targets::TargetState &Observed) {
  waitFor(Order.m_Id, PollInterval);
  if (Observed.m_Incarnation != Order.m_Incarnation)
    return; // The new incarnation's announcement supersedes the order.
  const bool Same = Observed.m_Order == Order.m_Id.m_Value;
  if (Same && Observed.m_OrderState == targets::OrderState::Done) {
    report(Order, "done", "", &Observed);
    return;
  }
  if (Same && Observed.m_OrderState == targets::OrderState::Failed) {
    report(Order, "failed", "the target could not do it", &Observed);
    return;
  }
  if (Observed.m_OrderState == targets::OrderState::Running) {
    if (Same && Order.m_Phase == fleet::OrderPhase::Pending)
      report(Order, "sent", "", nullptr);
    return; // A running order must end before this one is sent.
  }
  if (!Same && toWire(Order.m_Fence) < Observed.m_Fence) {
    report(Order, "superseded", "the target has seen a newer fence", nullptr);
    return;
  }
  if (Order.m_RequiresDrain && Observed.m_Running > 0)
    return;
  send(Order, Target);
}

void Executor::send(const fleet::Order &Order, const fleet::Target &Target) {
  // Checked in the same event loop iteration as the send.
  if (!m_Callbacks.m_MaySend()) {
    m_Registry
        .counter("wasabivale_orders_withheld_total",
                 "Orders not sent for want of a lease")
        .add();
    return;
  }
  events::emit(events::Event::OrderSent,
               {{"order", Order.m_Id},
                {"target", Target.m_Id},
                {"term", Order.m_Fence.m_Term},
                {"sequence", Order.m_Fence.m_Sequence}});
  Attempt &Current = m_Attempts[Order.m_Id];
  Current.m_Calling = true;
  Current.m_Call = targets::sendOrder(
      m_Loop, valueOf(http::parseAddress(Target.m_Address)), toWire(Order),
      BootClock::now() + OrderTransit,
      [this, Order](const Result<targets::OrderAnswer> &Answer) {
        m_Attempts[Order.m_Id].m_Calling = false;
        waitFor(Order.m_Id, failed(Answer) ? RetryInterval : PollInterval);
        if (failed(Answer))
          return; // Retried after reading the state: orders are idempotent.
        if (valueOf(Answer) == targets::OrderAnswer::Accepted)
          report(Order, "sent", "", nullptr);
        if (valueOf(Answer) == targets::OrderAnswer::StaleFence)
          report(Order, "superseded", "the target refused the fence", nullptr);
      });
}

} // namespace wasabivale::control
