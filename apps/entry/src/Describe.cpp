// What deciding code is told of a request, whichever way it came.

#include "Arrival.h"

#include <algorithm>

namespace wasabivale::entry {

namespace {

constexpr std::size_t BlockBytes = routing::BlockTokens * BytesPerToken;
constexpr const char *ServiceCapacity = "service:";

std::vector<std::uint64_t> blocksOfText(const std::string &Model,
                                        std::string_view Prompt) {
  std::vector<std::uint64_t> Blocks;
  std::uint64_t Before = hashBytes(Model);
  for (std::size_t At = 0; At + BlockBytes <= Prompt.size(); At += BlockBytes) {
    Before = hashBytes(Prompt.substr(At, BlockBytes), Before);
    Blocks.push_back(Before);
  }
  return Blocks;
}

} // namespace

std::uint32_t promptTokensOf(const Arrival &Of) {
  return Of.m_Passed ? Of.m_Passed->m_Ask.m_PromptTokens
                     : tokensOf(Of.m_Prompt);
}

std::vector<std::uint64_t> blocksOf(const Arrival &Of) {
  if (Of.isService())
    return {};
  if (Of.m_Passed)
    return relay::hashPromptBlocks(Of.m_Passed->m_Ask.m_Model,
                                   Of.m_Passed->m_Ask.m_PromptParts,
                                   routing::BlockTokens);
  return blocksOfText(Of.m_Model, Of.m_Prompt);
}

retries::Fingerprint fingerprintOf(const Arrival &Of) {
  if (Of.m_Passed)
    return retries::fingerprintOf({Of.m_Model},
                                  Of.m_Passed->m_Ask.m_Method +
                                      Of.m_Passed->m_Ask.m_Target +
                                      Of.m_Passed->m_Ask.m_Body);
  return retries::fingerprintOf(
      capacityName(Of),
      Of.isService() ? Of.m_Method + Of.m_Path + Of.m_Body : Of.m_Prompt);
}

retries::RequestTraits traitsOf(const Arrival &Request) {
  retries::RequestTraits Traits;
  if (!Request.m_Passed)
    return Traits;
  // A split may select another service for each repeat of a request.
  const relay::CallerRequest &Ask = Request.m_Passed->m_Ask;
  Traits.m_Content = retries::fingerprintOf(
      {Ask.m_Host}, Ask.m_Method + Ask.m_Target + Ask.m_Body);
  const routes::Route &Route = Request.m_Passed->m_Route;
  Traits.m_Route = hashBytes(Route.m_Host + Route.m_PathPrefix);
  const auto &Parts = Ask.m_PromptParts;
  for (const relay::PromptPart &Part : Parts) {
    Traits.m_Content = hashBytes(std::to_string(Part.m_Hash), Traits.m_Content);
    Traits.m_Parts.push_back(Part.m_Hash);
  }
  // The last part belongs to the request itself.
  if (!Traits.m_Parts.empty())
    Traits.m_Parts.pop_back();
  std::sort(Traits.m_Parts.begin(), Traits.m_Parts.end());
  Traits.m_Parts.erase(
      std::unique(Traits.m_Parts.begin(), Traits.m_Parts.end()),
      Traits.m_Parts.end());
  return Traits;
}

CallerId lineOf(const Arrival &Of) {
  return Of.m_Passed ? CallerId{Of.m_Model} : Of.m_Caller;
}

ModelId capacityName(const Arrival &Of) {
  return {Of.isService() ? ServiceCapacity + Of.m_Model : Of.m_Model};
}

} // namespace wasabivale::entry
