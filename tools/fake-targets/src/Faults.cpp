#include "Faults.h"

namespace wasabivale::faketargets {

namespace {

using Json = nlohmann::json;

std::uint64_t numberIn(const Json &Body, const char *Key,
                       std::uint64_t Default) {
  const auto Found = Body.find(Key);
  if (Found == Body.end() || !Found->is_number_unsigned())
    return Default;
  return Found->get<std::uint64_t>();
}

std::string textIn(const Json &Body, const char *Key) {
  const auto Found = Body.find(Key);
  if (Found == Body.end() || !Found->is_string())
    return {};
  return Found->get<std::string>();
}

} // namespace

bool useFault(std::uint64_t &Count) {
  if (Count == 0)
    return false;
  --Count;
  return true;
}

Result<FaultOrder> armFault(Faults &Into, const Json &Body, TimePoint Now) {
  constexpr std::uint64_t DefaultMilliseconds = 1000;
  const std::string Name = textIn(Body, "fault");
  const std::uint64_t Count = numberIn(Body, "count", 1);
  const std::chrono::milliseconds Time(
      numberIn(Body, "ms", DefaultMilliseconds));
  Into.m_Restart = std::chrono::milliseconds(
      numberIn(Body, "restart_ms", DefaultMilliseconds));
  if (Name == "crash")
    return FaultOrder{FaultKind::CrashNow, 1};
  if (Name == "slow") {
    const auto Factor = Body.find("factor");
    if (Factor == Body.end() || !Factor->is_number() ||
        Factor->get<double>() <= 0)
      return Error{"fault.slow", "", "expected a factor above 0"};
    return FaultOrder{FaultKind::Slow, Factor->get<double>()};
  }
  if (Name == "crash_on_fingerprint") {
    Into.m_CrashOn = textIn(Body, "text");
    if (Into.m_CrashOn.empty())
      return Error{"fault.crash_on_fingerprint", "", "expected a text"};
  } else if (Name == "crash_in_order") {
    Into.m_CrashInOrder = true;
  } else if (Name == "stall") {
    Into.m_Stall = Count;
  } else if (Name == "refuse") {
    Into.m_Refuse = Count;
  } else if (Name == "late") {
    Into.m_Late = Count;
    Into.m_LateBy = Time;
  } else if (Name == "cut") {
    Into.m_Cut = Count;
    Into.m_CutAfter = numberIn(Body, "after_tokens", 1);
  } else if (Name == "freeze_reports") {
    Into.m_FrozenUntil = Now + Time;
  } else if (Name == "clear") {
    Into = Faults{};
  } else {
    return Error{"fault", Name, "no such fault"};
  }
  return FaultOrder{};
}

} // namespace wasabivale::faketargets
