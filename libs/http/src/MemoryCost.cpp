#include "MemoryCost.h"

namespace wasabivale::http {

std::size_t HeadScan::scan(std::string_view Bytes) {
  std::size_t Cost = 0;
  std::size_t At = 0;
  for (; At < Bytes.size() && !m_IsDone; ++At) {
    const char Byte = Bytes[At];
    if (Byte == '\n') {
      Cost += MemoryCost::Line;
      // evhttp takes an empty line before the request line for the end, too.
      m_IsDone = m_IsEmptyLine && m_HasLine;
      m_IsEmptyLine = true;
    } else if (Byte != '\r') {
      m_HasLine = true;
      m_IsEmptyLine = false;
    }
  }
  const std::size_t Rest = Bytes.size() - At;
  Cost += At * MemoryCost::HeadFactor;
  if (Rest > 0)
    Cost += std::max(Rest * MemoryCost::BodyFactor, MemoryCost::Read);
  return Cost;
}

bool mayGoForOthers(const Candidate &Who, MemoryPart Wanted, TimePoint Now) {
  // Ordinary callers send a request within this time; the rate allows a body
  // of 4 MiB the longest time for a request, 10 s, many times over.
  constexpr std::chrono::milliseconds ShortAge{500};
  constexpr std::chrono::seconds BodyAge{2};
  constexpr std::size_t BytesPerSecond = 64U << 10U;
  const Duration Age = Now - Who.m_Since;
  const Duration Sending = Age - Who.m_Waited;
  // Heads are short: those that wait hold what a crowd has left unfinished.
  if (Wanted == MemoryPart::Requests && !Who.m_HoldsBody)
    return (Who.m_HasHead ? Sending : Age) >= ShortAge;
  if (!Who.m_HoldsBody || Who.m_IsWaiting)
    return false;
  const double Seconds = std::chrono::duration<double>(Sending).count();
  return Sending >= BodyAge &&
         static_cast<double>(Who.m_Received) <
             Seconds * static_cast<double>(BytesPerSecond);
}

} // namespace wasabivale::http
