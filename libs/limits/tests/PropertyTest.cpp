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

/// A random run of one entry with a small queue; checks every decision.
class Machine {
public:
  Machine() {
    m_Entry.m_Settings.m_MaxQueued = 10;
    for (int I = 0; I < CallerCount; ++I)
      share(I, 5000);
  }

  void step(int What, int Which) {
    m_Now += Duration(1ms) * (Which % 300);
    switch (What % 7) {
    case 0:
      return share(Which % CallerCount, Which);
    case 1:
      return start();
    case 2:
      return end(Which);
    case 3:
      return take(expire(m_Entry, m_Now));
    case 4:
      return abandonOne(Which);
    default:
      return arrive(Which);
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
    for (const Caller &Who : m_Entry.m_Callers)
      RC_ASSERT(Who.m_Running + Who.m_Queued == 0U);
    RC_ASSERT(m_Entry.m_Held.empty());
    RC_ASSERT(m_Entry.m_ByBacklog.empty());
  }

private:
  void share(int Caller, int Which) {
    const Limits Share{Which % 3 == 0 ? NoLimit : Which / 10.0, NoLimit,
                       Which / 3.0, static_cast<double>(Which % 7)};
    m_Weights[Caller] = 1 + Which % 3;
    setShare(m_Entry, caller(Caller), m_Weights[Caller], Share,
             m_Now + Duration(1ms) * Which, m_Now);
  }

  void arrive(int Which) {
    const int Caller = Which % CallerCount;
    AdmissionRequest Wanted = arrival(Caller, {Which % 2 == 0 ? 0U : 1U, 2},
                                      static_cast<unsigned>(Which % 10));
    Wanted.m_Deadline = m_Now + Duration(1ms) * (Which * 5);
    const std::map<Ticket, int> Before = m_Waiting;
    const Decision Made = admit(m_Entry, Wanted, m_Now);
    checkEvictions(Made, Caller, Before);
    take(Made.m_Evicted);
    if (const auto *Found = std::get_if<Admitted>(&Made.m_Verdict))
      m_Running.insert(Found->m_Ticket);
    if (const auto *Found = std::get_if<Queued>(&Made.m_Verdict))
      m_Waiting[Found->m_Ticket] = Caller;
    checkRefusal(Made, Caller, Before);
  }

  /// Queue places of a caller for each unit of its weight.
  double backlog(const std::map<Ticket, int> &Waiting, int Caller) const {
    double Count = 0;
    for (const auto &[Id, Owner] : Waiting)
      Count += Owner == Caller ? 1 : 0;
    return Count / m_Weights.at(Caller);
  }

  void checkEvictions(const Decision &Made, int Caller,
                      const std::map<Ticket, int> &Before) const {
    for (const RefusedTicket &Out : Made.m_Evicted) {
      const int Loser = Before.at(Out.m_Ticket);
      RC_ASSERT(backlog(Before, Loser) >
                backlog(Before, Caller) + 1 / m_Weights.at(Caller));
    }
  }

  /// For want of room only a caller with the longest backlog is refused.
  void checkRefusal(const Decision &Made, int Caller,
                    const std::map<Ticket, int> &Before) const {
    const std::optional<Refusal> Reason = refusalOf(Made);
    if (Reason != Refusal::QueueFull && Reason != Refusal::OverFairShare)
      return;
    for (int Other = 0; Other < CallerCount; ++Other)
      RC_ASSERT(backlog(Before, Other) <=
                backlog(Before, Caller) + 1 / m_Weights.at(Caller));
  }

  void start() {
    const auto Next = nextToStart(m_Entry, m_Now, always({1, 2}));
    if (!Next)
      return;
    RC_ASSERT(m_Waiting.erase(*Next) == 1U);
    m_Running.insert(*Next);
  }

  void end(int Which) {
    if (m_Running.empty())
      return;
    const Ticket Id = *m_Running.begin();
    finish(m_Entry, Id, {100, 10, Which % 5 != 0}, m_Now);
    m_Running.erase(Id);
  }

  void abandonOne(int Which) {
    if (m_Waiting.empty())
      return;
    auto Chosen = m_Waiting.begin();
    std::advance(Chosen, Which % static_cast<int>(m_Waiting.size()));
    abandon(m_Entry, Chosen->first, m_Now);
    m_Waiting.erase(Chosen);
  }

  void take(const std::vector<RefusedTicket> &Refusals) {
    for (const RefusedTicket &One : Refusals)
      RC_ASSERT(m_Waiting.erase(One.m_Ticket) == 1U);
  }

  State m_Entry;
  TimePoint m_Now = at(0s);
  std::map<int, double> m_Weights;
  std::map<Ticket, int> m_Waiting;
  std::set<Ticket> m_Running;
};

} // namespace

TEST_CASE("every request is held once, and nobody under its share yields") {
  CHECK(rc::check([] {
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 700), rc::gen::inRange(0, 5000)));
    Machine Runner;
    for (const auto &[What, Which] : Steps) {
      Runner.step(What, Which);
      Runner.check();
    }
    Runner.finishAll();
  }));
}
