#include "Replacement.h"

#include <algorithm>

namespace wasabivale::entry {

namespace {

/// Whether the successor's answer is expected by the deadline, and before a
/// process that stops cuts it.
bool isInTime(const Context &Shared, const SilentTry &Former,
              const routing::Estimate &Expected, TimePoint Now) {
  // The estimate is that of a whole answer; of a stream that has begun less is
  // to come.
  const TimePoint End = Former.m_Why.m_FirstBytePassed ? Expected.m_FirstToken
                                                       : Expected.m_Finish;
  if (End > Former.m_Attempt.m_Deadline)
    return false;
  return !Shared.m_StopSchedule || Former.m_Why.m_FirstBytePassed ||
         shutdown::mayStart(
             *Shared.m_StopSchedule,
             {Former.m_Attempt.m_Deadline, Expected.m_FirstToken, End, true},
             Now);
}

} // namespace

std::variant<routing::Choice, std::string_view>
reserveSuccessor(Context &Shared, const SilentTry &Former,
                 routing::Request Wanted, TimePoint Now) {
  if (!retries::mayTryAgain(Shared.m_Retries, Former.m_Attempt, Former.m_Why,
                            Now))
    return "not_allowed";
  if (Shared.m_Reach.phase() != reach::Phase::Direct)
    return "no_target_reached";
  if (!routing::isSilenceOfOne(routing::silenceEvidence(
          Shared.m_Routing, Former.m_Leg, Former.m_SilentSince, Now)))
    return "others_silent";
  if (!Shared.m_HoldsLease(Now))
    return "no_lease";
  Wanted.m_Avoid = Former.m_Attempt.m_Avoid;
  Wanted.m_Avoid.push_back(Former.m_Leg.m_Target);
  Wanted.m_MayProbe = false;
  auto Chosen = routing::choose(Shared.m_Routing, Wanted, Now, Shared.m_Random);
  if (failed(Chosen))
    return "no_target";
  const routing::Choice &Successor = valueOf(Chosen);
  // Without any other, routing falls back to targets that are to be avoided.
  const auto IsUnfit = [&](const routing::Leg &Leg) {
    return std::find(Wanted.m_Avoid.begin(), Wanted.m_Avoid.end(),
                     Leg.m_Target) != Wanted.m_Avoid.end() ||
           routing::isSilent(Shared.m_Routing, Leg, Now);
  };
  std::string_view Why;
  if (IsUnfit(Successor.m_Run) ||
      (Successor.m_Prefill && IsUnfit(*Successor.m_Prefill)))
    Why = "no_target";
  else if (!isInTime(Shared, Former, Successor.m_Estimate, Now))
    Why = "too_late";
  if (Why.empty())
    return std::move(valueOf(Chosen));
  dropSuccessor(Shared, Successor, Now);
  return Why;
}

void dropSuccessor(Context &Shared, const routing::Choice &Successor,
                   TimePoint Now) {
  routing::recordEnded(Shared.m_Routing, Successor.m_Try,
                       routing::TryOutcome::NotSent, Now);
}

} // namespace wasabivale::entry
