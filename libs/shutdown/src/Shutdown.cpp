#include "shutdown/shutdown.h"

#include <algorithm>

namespace wasabivale::shutdown {

namespace {

/// Parts of the patience by which answers must be complete before what is open
/// is ended, and that the last bytes have after that.
constexpr int AnswerMarginPart = 20;
constexpr int ExitMarginPart = 30;
/// Factors by which estimates may be wrong, and the least time that a request
/// counts with: a sound target may be silent for as long, which no estimate
/// knows of.
constexpr int FirstByteFactor = 3;
constexpr int RestFactor = 4;
constexpr std::chrono::milliseconds LeastTime{2'500};
/// How long new requests are refused before connections are closed: those that
/// were on their way are refused rather than cut.
constexpr std::chrono::milliseconds RefusalTime{100};

bool isNothingOpen(const Progress &Open) {
  return isAllAnswered(Open) && Open.m_Connections == 0 &&
         Open.m_ControlCalls == 0;
}

} // namespace

Schedule makeSchedule(TimePoint StopAt, Duration BalancerLag,
                      Duration Patience) {
  Schedule Deadlines;
  Deadlines.m_BalancedUntil = StopAt + BalancerLag;
  Deadlines.m_CutAt = Deadlines.m_BalancedUntil + Patience;
  Deadlines.m_AnswerBy = Deadlines.m_CutAt - Patience / AnswerMarginPart;
  Deadlines.m_ExitBy = Deadlines.m_CutAt + Patience / ExitMarginPart;
  return Deadlines;
}

bool mayStart(const Schedule &Deadlines, const Work &Request, TimePoint Now) {
  if (Request.m_Deadline <= Deadlines.m_AnswerBy)
    return true;
  if (!Request.m_IsTaken)
    return false;
  const Duration First =
      std::max<Duration>(Request.m_FirstByteAt - Now, Duration(0));
  const Duration Rest = std::max<Duration>(
      Request.m_FinishAt - std::max(Request.m_FirstByteAt, Now), Duration(0));
  return Now + LeastTime + First * FirstByteFactor + Rest * RestFactor <=
         Deadlines.m_AnswerBy;
}

std::string_view stageName(Stage Value) {
  switch (Value) {
  case Stage::Answering:
    return "answering";
  case Stage::Refusing:
    return "refusing";
  case Stage::Closing:
    return "closing";
  case Stage::Exiting:
    return "exiting";
  }
  return "";
}

bool isAllAnswered(const Progress &Open) {
  return Open.m_OpenRequests == 0 && Open.m_Exchanges == 0 &&
         Open.m_PassedOn == 0;
}

bool advance(State &Process, const Progress &Open, TimePoint Now) {
  const Schedule &Deadlines = Process.m_Deadlines;
  const bool AllAnswered = isAllAnswered(Open);
  switch (Process.m_Stage) {
  case Stage::Answering:
    if (Now < Deadlines.m_AnswerBy &&
        (Now < Deadlines.m_BalancedUntil || !AllAnswered))
      return false;
    Process.m_Stage = Stage::Refusing;
    Process.m_RefusingSince = Now;
    return true;
  case Stage::Refusing:
    if (Now < Deadlines.m_CutAt &&
        (!AllAnswered || Now < Process.m_RefusingSince + RefusalTime))
      return false;
    Process.m_Stage = Stage::Closing;
    return true;
  case Stage::Closing:
    if (Now < Deadlines.m_ExitBy && !isNothingOpen(Open))
      return false;
    Process.m_Stage = Stage::Exiting;
    return true;
  case Stage::Exiting:
    return false;
  }
  return false;
}

bool mayEnd(State &Process, const Progress &Open, TimePoint Now) {
  if (Now >= Process.m_Deadlines.m_ExitBy || isNothingOpen(Open))
    return true;
  Process.m_Stage = Stage::Closing;
  return false;
}

bool mustCut(const State &Process, TimePoint Now) {
  return Now >= Process.m_Deadlines.m_CutAt;
}

} // namespace wasabivale::shutdown
