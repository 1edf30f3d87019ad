#include "Fixture.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace wasabivale;
using namespace wasabivale::limits;
using namespace wasabivale::limits::test;

namespace {

constexpr int CallerCount = 4;

/// Runs random actions on one entry with a small queue and checks every
/// decision.
class RandomRun {
public:
  RandomRun() {
    m_Entry.m_Settings.m_MaxQueued = 10;
    for (int I = 0; I < CallerCount; ++I)
      share(I, 5000);
  }

  void step(int Action, int Value) {
    m_Now += Duration(1ms) * (Value % 300);
    switch (Action % 7) {
    case 0:
      return share(Value % CallerCount, Value);
    case 1:
      return start();
    case 2:
      return end(Value);
    case 3:
      return removeRefused(expire(m_Entry, m_Now));
    case 4:
      return abandonOne(Value);
    default:
      return arrive(Value);
    }
  }

  void check() const {
    verify(m_Entry);
    RC_ASSERT(m_Entry.m_QueuedCount == m_Waiting.size());
    RC_ASSERT(m_Entry.m_RunningCount == m_Running.size());
  }

  void finishAll() {
    while (!m_Running.empty())
      end(0);
    while (!m_Waiting.empty())
      abandonOne(0);
    check();
    for (const CallerState &Caller : m_Entry.m_Callers)
      RC_ASSERT(Caller.m_Running + Caller.m_Queued == 0U);
    RC_ASSERT(m_Entry.m_Active.empty());
    RC_ASSERT(m_Entry.m_ByBacklog.empty());
  }

private:
  void share(int Caller, int Value) {
    const Limits Share{Value % 3 == 0 ? NoLimit : Value / 10.0, NoLimit,
                       Value / 3.0, static_cast<double>(Value % 7)};
    m_Weights[Caller] = 1 + Value % 3;
    setShare(m_Entry, caller(Caller), m_Weights[Caller], Share,
             m_Now + Duration(1ms) * Value, m_Now);
  }

  void arrive(int Value) {
    const int Caller = Value % CallerCount;
    AdmissionRequest Request = arrival(Caller, {Value % 2 == 0 ? 0U : 1U, 2},
                                       static_cast<unsigned>(Value % 10));
    Request.m_Deadline = m_Now + Duration(1ms) * (Value * 5);
    const std::map<Ticket, int> WaitingBefore = m_Waiting;
    const Decision Result = admit(m_Entry, Request, m_Now);
    checkEvictions(Result, Caller, WaitingBefore);
    removeRefused(Result.m_Evicted);
    if (const auto *Found = std::get_if<Admitted>(&Result.m_Verdict))
      m_Running.insert(Found->m_Ticket);
    if (const auto *Found = std::get_if<Queued>(&Result.m_Verdict))
      m_Waiting[Found->m_Ticket] = Caller;
    checkRefusal(Result, Caller, WaitingBefore);
  }

  /// Waiting requests of a caller per unit of its weight.
  double backlog(const std::map<Ticket, int> &Waiting, int Caller) const {
    double Count = 0;
    for (const auto &[Id, Owner] : Waiting)
      Count += Owner == Caller ? 1 : 0;
    return Count / m_Weights.at(Caller);
  }

  void checkEvictions(const Decision &Result, int Caller,
                      const std::map<Ticket, int> &WaitingBefore) const {
    for (const RefusedTicket &Evicted : Result.m_Evicted) {
      const int EvictedCaller = WaitingBefore.at(Evicted.m_Ticket);
      RC_ASSERT(backlog(WaitingBefore, EvictedCaller) >
                backlog(WaitingBefore, Caller) + 1 / m_Weights.at(Caller));
    }
  }

  /// A full queue refuses only the caller with the longest backlog.
  void checkRefusal(const Decision &Result, int Caller,
                    const std::map<Ticket, int> &WaitingBefore) const {
    const std::optional<Refusal> Reason = refusalOf(Result);
    if (Reason != Refusal::QueueFull && Reason != Refusal::OverFairShare)
      return;
    for (int Other = 0; Other < CallerCount; ++Other)
      RC_ASSERT(backlog(WaitingBefore, Other) <=
                backlog(WaitingBefore, Caller) + 1 / m_Weights.at(Caller));
  }

  void start() {
    const auto Next = nextToStart(m_Entry, m_Now, constantCapacity({1, 2}));
    if (!Next)
      return;
    RC_ASSERT(m_Waiting.erase(*Next) == 1U);
    m_Running.insert(*Next);
  }

  void end(int Value) {
    if (m_Running.empty())
      return;
    const Ticket Id = *m_Running.begin();
    finish(m_Entry, Id, {100, 10, Value % 5 != 0}, m_Now);
    m_Running.erase(Id);
  }

  void abandonOne(int Value) {
    if (m_Waiting.empty())
      return;
    auto Item = m_Waiting.begin();
    std::advance(Item, Value % static_cast<int>(m_Waiting.size()));
    abandon(m_Entry, Item->first, m_Now);
    m_Waiting.erase(Item);
  }

  void removeRefused(const std::vector<RefusedTicket> &Refusals) {
    for (const RefusedTicket &Refused : Refusals)
      RC_ASSERT(m_Waiting.erase(Refused.m_Ticket) == 1U);
  }

  State m_Entry;
  TimePoint m_Now = at(0s);
  std::map<int, double> m_Weights;
  std::map<Ticket, int> m_Waiting;
  std::set<Ticket> m_Running;
};

} // namespace

TEST_CASE(
    "every request is tracked once, and no caller under its share is evicted") {
  CHECK(rc::check([] {
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 700), rc::gen::inRange(0, 5000)));
    RandomRun Run;
    for (const auto &[Action, Value] : Steps) {
      Run.step(Action, Value);
      Run.check();
    }
    Run.finishAll();
  }));
}
