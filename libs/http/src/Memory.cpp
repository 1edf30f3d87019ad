#include "MemoryCost.h"

#include <algorithm>
#include <sys/resource.h>

namespace wasabivale::http {

namespace {

/// Between two lines that report refusals.
constexpr std::chrono::seconds LogInterval{1};

std::size_t descriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return SIZE_MAX;
  return Limit.rlim_cur;
}

} // namespace

std::string_view memoryPartName(MemoryPart Value) {
  switch (Value) {
  case MemoryPart::Connections:
    return "connections";
  case MemoryPart::Requests:
    return "requests";
  case MemoryPart::Bodies:
    return "bodies";
  case MemoryPart::Answers:
    return "answers";
  }
  return "";
}

std::string_view memoryRefusalName(MemoryRefusal Value) {
  switch (Value) {
  case MemoryRefusal::TooManyConnections:
    return "too_many_connections";
  case MemoryRefusal::SilentConnection:
    return "silent_connection";
  case MemoryRefusal::SlowRequest:
    return "slow_request";
  case MemoryRefusal::RequestWaited:
    return "request_waited";
  case MemoryRefusal::AnswersUnread:
    return "answers_unread";
  case MemoryRefusal::UnreadAnswer:
    return "unread_answer";
  }
  return "";
}

MemoryShares sharesOf(std::size_t MachineBytes, std::size_t Descriptors,
                      std::size_t BodyBytes) {
  // Half of the memory stays for the program, its work and fragmentation.
  constexpr std::size_t ConnectionsPart = 12;
  constexpr std::size_t RequestsPart = 6;
  constexpr std::size_t BodiesPart = 6;
  constexpr std::size_t AnswersPart = 12;
  // The other descriptors serve connections to targets and other processes.
  constexpr std::size_t DescriptorsPart = 2;
  MemoryShares Made;
  Made.m_OneBody = MemoryCost::BodyFactor * BodyBytes + MemoryCost::Slack;
  Made.m_Most = {
      std::min(MachineBytes / ConnectionsPart / MemoryCost::Connection,
               Descriptors / DescriptorsPart) *
          MemoryCost::Connection,
      MachineBytes / RequestsPart,
      std::max(MachineBytes / BodiesPart, Made.m_OneBody + MemoryCost::Slack),
      MachineBytes / AnswersPart};
  return Made;
}

bool MemoryBudget::take(MemoryPart Of, std::size_t Bytes, const void *Whose) {
  std::size_t Most = m_Shares.m_Most[index(Of)];
  if (Of == MemoryPart::Bodies && !hasOneBody(Whose))
    Most -= std::min(Most, m_Shares.m_OneBody);
  if (Bytes > Most || m_Held[index(Of)] > Most - Bytes)
    return false;
  m_Held[index(Of)] += Bytes;
  return true;
}

void MemoryBudget::charge(MemoryPart Of, std::size_t Bytes) {
  m_Held[index(Of)] += Bytes;
}

void MemoryBudget::give(MemoryPart Of, std::size_t Bytes) {
  m_Held[index(Of)] -= std::min(Bytes, m_Held[index(Of)]);
}

bool MemoryBudget::isOver(MemoryPart Of) const {
  return m_Held[index(Of)] > m_Shares.m_Most[index(Of)];
}

std::size_t MemoryBudget::held(MemoryPart Of) const {
  return m_Held[index(Of)];
}

bool MemoryBudget::claimOneBody(const void *Who) {
  if (m_OneBodyOf == nullptr)
    m_OneBodyOf = Who;
  return m_OneBodyOf == Who;
}

void MemoryBudget::releaseOneBody(const void *Who) {
  if (m_OneBodyOf == Who)
    m_OneBodyOf = nullptr;
}

void MemoryBudget::noteRefusal(MemoryRefusal Why) {
  ++m_Refusals[static_cast<std::size_t>(Why)];
  m_HasNews = true;
}

std::uint64_t MemoryBudget::refusals(MemoryRefusal Why) const {
  return m_Refusals[static_cast<std::size_t>(Why)];
}

bool MemoryBudget::takeLogTurn(TimePoint Now) {
  if (!m_HasNews || Now < m_NextLog)
    return false;
  m_HasNews = false;
  m_NextLog = Now + LogInterval;
  return true;
}

std::shared_ptr<MemoryBudget> makeBudget(std::size_t MachineMegabytes,
                                         std::size_t BodyBytes) {
  return std::make_shared<MemoryBudget>(
      sharesOf(MachineMegabytes << 20U, descriptorLimit(),
               std::max(BodyBytes, ServerLimits{}.m_BodyBytes)));
}

} // namespace wasabivale::http
