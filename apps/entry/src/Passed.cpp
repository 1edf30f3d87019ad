// Plain requests that are passed on by their route.

#include "Arrival.h"

#include <algorithm>

namespace wasabivale::entry {

namespace {

/// Urgency in this system's terms, where the highest number goes first.
unsigned priorityOf(std::uint32_t Rank) {
  return routing::MaxPriority - std::min(Rank, routing::MaxPriority);
}

/// What is likely to be generated: half of the most, without a guess. A guess
/// is right at the median only, so it is no bound.
std::uint32_t likelyTokens(const relay::CallerRequest &Request) {
  if (Request.m_ExpectedTokens == 0)
    return std::max(1U, Request.m_MaxTokens / 2);
  return Request.m_MaxTokens == 0
             ? Request.m_ExpectedTokens
             : std::min(Request.m_ExpectedTokens, Request.m_MaxTokens);
}

/// Finds out whose request it is. A key that nobody holds is refused on every
/// route, since a request that carries one must not run.
std::optional<Rejection> readCustomer(const routes::Index &Routes,
                                      Passed &Request) {
  Request.m_ChecksKeys = Routes.table().m_ChecksKeys;
  if (!Request.m_ChecksKeys)
    return std::nullopt;
  const std::optional<std::string> Key =
      std::exchange(Request.m_Ask.m_Key, std::nullopt);
  if (!Key && Request.m_Route.m_AllowsAnonymous)
    return std::nullopt;
  if (!Key)
    return notRun(Refusal::MissingKey, "routes.customer");
  const routes::Customer *Holder = Routes.findCustomer(*Key);
  if (Holder == nullptr)
    return notRun(Refusal::UnknownKey, "routes.customer");
  Request.m_Customer = Holder->m_Name;
  if (Holder->m_Rank)
    Request.m_Route.m_Rank = *Holder->m_Rank;
  return std::nullopt;
}

} // namespace

std::uint64_t outputTokens(const Passed &Request, std::uint64_t Events) {
  return Events == 0 ? 0 : 1 + (Events - 1) * Request.m_TokensPerEvent;
}

std::chrono::nanoseconds streamPatience(const routes::Route &By) {
  // As callers of streams are told to behave (docs/INTERFACES.md).
  constexpr std::chrono::seconds Least{2};
  constexpr int Objectives = 4;
  constexpr int Gaps = 8;
  return std::max({std::chrono::nanoseconds(Least), By.m_Objective * Objectives,
                   By.m_Gap * Gaps});
}

std::uint32_t urgencyOf(const routes::Route &By, std::uint32_t PromptTokens,
                        MeanPrompts &Means) {
  /// A prompt of this many times the mean has no time left to wait.
  constexpr double Large = 1.5;
  constexpr double Alpha = 0.05;
  const auto [Mean, New] = Means.try_emplace(By.m_Name, PromptTokens);
  const bool IsLarge = PromptTokens > Large * Mean->second;
  Mean->second += Alpha * (PromptTokens - Mean->second);
  return By.m_Rank * UrgenciesOfRank + (IsLarge ? 0 : 1);
}

std::variant<Arrival, Rejection>
readPassed(const http::Request &Request, const routes::Index &Routes,
           const relay::Dialect &Format, MeanPrompts &Means, TimePoint Now,
           const std::optional<ForwardOrigin> &Forwarded) {
  if (Routes.table().m_Version == 0)
    return notRun(Refusal::NoConfiguration, "routes");
  auto Read = Format.m_ReadRequest(Request);
  if (const auto *Why = std::get_if<Error>(&Read))
    return notRun(Refusal::MalformedRequest, Why->m_Step, Why->m_Message);
  auto Passing = std::make_shared<Passed>();
  Passing->m_Ask = std::get<relay::CallerRequest>(std::move(Read));
  std::erase_if(Passing->m_Ask.m_Fields,
                [](const auto &Field) { return isForwardField(Field.first); });
  // The forwarding entry may have passed on more than its caller brought.
  if (Forwarded)
    Passing->m_Ask.m_LastEventId =
        std::max(Passing->m_Ask.m_LastEventId, Forwarded->m_LastEventId);
  const relay::CallerRequest &Ask = Passing->m_Ask;
  const routes::Route *Route = Routes.find(Ask.m_Host, Ask.m_Path);
  if (Route == nullptr)
    return notRun(Refusal::UnknownPath, "routes.find");
  // Control of another version may send it.
  if (Route->m_Services.empty())
    return notRun(Refusal::NoTarget, "routes.services");
  Passing->m_Route = *Route;
  if (auto Refused = readCustomer(Routes, *Passing))
    return std::move(*Refused);
  // Its caller has part of the answer, and little of its time is left.
  const bool IsResumed = Route->m_Resumable && Ask.m_LastEventId > 0;
  Passing->m_Urgency =
      IsResumed ? 0 : urgencyOf(Passing->m_Route, Ask.m_PromptTokens, Means);
  Arrival Result;
  Result.m_Id = {Ask.m_Id};
  Result.m_Api = Api::Passed;
  Result.m_Caller = {Route->m_Name};
  Result.m_Priority =
      IsResumed ? routing::MaxPriority : priorityOf(Passing->m_Route.m_Rank);
  Result.m_ArrivedAt = Now;
  Result.m_Deadline = Now + Route->m_Timeout;
  if (Ask.m_CallerTimeout)
    Result.m_Deadline =
        std::min<TimePoint>(Result.m_Deadline, Now + *Ask.m_CallerTimeout);
  if (Forwarded)
    Result.m_Deadline = std::min(Result.m_Deadline, Forwarded->m_Deadline);
  Result.m_Forwarded = Forwarded;
  Result.m_NotRepeatable = !Route->isRepeatable();
  // A resumed stream stays with the service that began it.
  const bool HasFirst = IsResumed && !Ask.m_FirstAttempt.empty();
  Result.m_Model = routes::pickService(
      *Route, hashBytes(HasFirst ? Ask.m_FirstAttempt : Ask.m_Id));
  // Routes of the forwarding entry may be older or newer than these.
  if (Forwarded && !Forwarded->m_Service.empty() &&
      Forwarded->m_Service != Result.m_Model)
    return notRun(Refusal::NoTarget, "forward.service",
                  "the stream is one of another service");
  const auto Service = Routes.table().m_Services.find(Result.m_Model);
  Passing->m_ForEngine = Service != Routes.table().m_Services.end() &&
                         Service->second.m_KvCapacityTokens > 0;
  if (Passing->m_ForEngine)
    Passing->m_TokensPerEvent = std::max(1U, Service->second.m_TokensPerEvent);
  Result.m_MaxTokens = outputTokens(
      *Passing, (likelyTokens(Ask) + Passing->m_TokensPerEvent - 1) /
                    Passing->m_TokensPerEvent);
  Result.m_Stream = Route->m_Kind == routes::Kind::Streaming;
  Result.m_Passed = std::move(Passing);
  return Result;
}

} // namespace wasabivale::entry
