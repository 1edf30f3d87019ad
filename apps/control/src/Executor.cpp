#include "Executor.h"

#include "events/events.h"

namespace wasabivale::control {

namespace {

constexpr std::chrono::milliseconds LookTimeout{1500};
constexpr std::chrono::milliseconds PollInterval{100};
constexpr std::chrono::milliseconds RetryInterval{400};

targets::Fence toWire(const fleet::Fence &From) {
  return {From.m_Term, From.m_Sequence};
}

targets::Order toWire(const fleet::Order &From) {
  targets::Order Out;
  Out.m_Id = From.m_Id.m_Value;
  Out.m_Fence = toWire(From.m_Fence);
  Out.m_Want.m_Role = targets::roleFromName(From.m_DesiredState.m_Role)
                          .value_or(targets::Role::Mixed);
  for (const std::string &Each : From.m_DesiredState.m_Models)
    Out.m_Want.m_Models.push_back({Each});
  Out.m_Want.m_Draining = From.m_DesiredState.m_Draining;
  Out.m_Want.m_Withdrawn = From.m_DesiredState.m_Withdrawn;
  return Out;
}

} // namespace

Executor::Executor(event_base *Loop, metrics::Registry &Registry,
                   Authority Over)
    : m_Loop(Loop), m_Registry(Registry), m_Authority(std::move(Over)) {}

Executor::~Executor() { stop(); }

void Executor::stop() {
  for (auto &[Name, Each] : m_Attempts)
    if (Each.m_Call)
      Each.m_Call->cancel();
  m_Attempts.clear();
}

void Executor::waitFor(const fleet::OrderId &Name, Duration Span) {
  m_Attempts[Name].m_NotBefore = BootClock::now() + Span;
}

void Executor::report(const fleet::Order &Which, const std::string &State,
                      const std::string &Message,
                      const targets::TargetState *Seen) {
  wire::Command Next;
  wire::OrderProgress &Said = *Next.mutable_order_progress();
  Said.set_order(Which.m_Id.m_Value);
  Said.set_state(State);
  Said.set_message(Message);
  if (Seen != nullptr) {
    Said.set_observed_role(std::string(targets::roleName(Seen->m_Role)));
    for (const ModelId &Each : Seen->m_Models)
      Said.add_observed_models(Each.m_Value);
  }
  m_Authority.m_Propose("order/" + Which.m_Id.m_Value + '/' + State,
                        std::move(Next));
}

void Executor::carryOut(const fleet::Order &Which, const fleet::Target &To,
                        TimePoint Now) {
  Attempt &Own = m_Attempts[Which.m_Id];
  if (Own.m_Calling || Now < Own.m_NotBefore)
    return;
  // A former leader's order can still be on its way to a target that ignores
  // fences; its effect must be there before this leader looks.
  const TimePoint Settled = m_Authority.m_LeaderSince() + OrderTransit;
  if (!To.m_ChecksFence && Now < Settled) {
    Own.m_NotBefore = Settled;
    return;
  }
  const auto Address = http::parseAddress(To.m_Address);
  if (failed(Address)) {
    report(Which, "failed", "the target's address is not valid", nullptr);
    return;
  }
  Own.m_Calling = true;
  Own.m_Call = targets::getState(
      m_Loop, valueOf(Address), Now + LookTimeout,
      [this, Which, To](const Result<targets::TargetState> &Seen) {
        m_Attempts[Which.m_Id].m_Calling = false;
        if (failed(Seen)) {
          waitFor(Which.m_Id, RetryInterval);
          return;
        }
        decide(Which, To, valueOf(Seen));
      });
}

void Executor::decide(const fleet::Order &Which, const fleet::Target &To,
                      const targets::TargetState &Seen) {
  waitFor(Which.m_Id, PollInterval);
  if (Seen.m_Incarnation != Which.m_Incarnation)
    return; // The new incarnation's announcement supersedes the order.
  const bool Same = Seen.m_Order == Which.m_Id.m_Value;
  if (Same && Seen.m_OrderState == targets::OrderState::Done) {
    report(Which, "done", "", &Seen);
    return;
  }
  if (Same && Seen.m_OrderState == targets::OrderState::Failed) {
    report(Which, "failed", "the target could not do it", &Seen);
    return;
  }
  if (Seen.m_OrderState == targets::OrderState::Running) {
    if (Same && Which.m_Phase == fleet::OrderPhase::Pending)
      report(Which, "sent", "", nullptr);
    return; // A stray order ends before this one is sent.
  }
  if (!Same && toWire(Which.m_Fence) < Seen.m_Fence) {
    report(Which, "superseded", "the target has seen a newer fence", nullptr);
    return;
  }
  if (Which.m_RequiresDrain && Seen.m_Running > 0)
    return;
  send(Which, To);
}

void Executor::send(const fleet::Order &Which, const fleet::Target &To) {
  // Checked in the same turn of the loop as the send.
  if (!m_Authority.m_MaySend()) {
    m_Registry
        .counter("wasabivale_orders_withheld_total",
                 "Orders not sent for want of a lease")
        .add();
    return;
  }
  events::emit(events::Event::OrderSent,
               {{"order", Which.m_Id},
                {"target", To.m_Id},
                {"term", Which.m_Fence.m_Term},
                {"sequence", Which.m_Fence.m_Sequence}});
  Attempt &Own = m_Attempts[Which.m_Id];
  Own.m_Calling = true;
  Own.m_Call = targets::sendOrder(
      m_Loop, valueOf(http::parseAddress(To.m_Address)), toWire(Which),
      BootClock::now() + OrderTransit,
      [this, Which](const Result<targets::OrderAnswer> &Told) {
        m_Attempts[Which.m_Id].m_Calling = false;
        waitFor(Which.m_Id, failed(Told) ? RetryInterval : PollInterval);
        if (failed(Told))
          return; // Looked at again: the same order is harmless twice.
        if (valueOf(Told) == targets::OrderAnswer::Accepted)
          report(Which, "sent", "", nullptr);
        if (valueOf(Told) == targets::OrderAnswer::StaleFence)
          report(Which, "superseded", "the target refused the fence", nullptr);
      });
}

} // namespace wasabivale::control
