// Work that entries tell control, summed for each other.

#include "fleet/fleet.h"

#include <algorithm>

namespace wasabivale::fleet {

namespace {

/// An entry that has been silent for this long is no longer counted: about
/// five of its notices are lost by then.
constexpr std::chrono::milliseconds WorkKept{1'000};
/// Most prefixes that wait for one entry: some seconds of a busy fleet's. The
/// oldest give way; they cost a prompt read twice at most.
constexpr std::size_t NewsKept = 256;

void add(SharedWork::Rows &To, const SharedWork::Rows &What) {
  for (const auto &[Target, Each] : What) {
    SharedWork::Row &Sum = To[Target];
    Sum.m_Requests += Each.m_Requests;
    Sum.m_PromptTokens.resize(
        std::max(Sum.m_PromptTokens.size(), Each.m_PromptTokens.size()));
    for (std::size_t I = 0; I < Each.m_PromptTokens.size(); ++I)
      Sum.m_PromptTokens[I] += Each.m_PromptTokens[I];
  }
}

void subtract(SharedWork::Row &From, const SharedWork::Row &What) {
  From.m_Requests -= What.m_Requests;
  for (std::size_t I = 0; I < What.m_PromptTokens.size(); ++I)
    From.m_PromptTokens[I] -= What.m_PromptTokens[I];
}

bool isNothing(const SharedWork::Row &Of) {
  return Of.m_Requests == 0 &&
         std::all_of(Of.m_PromptTokens.begin(), Of.m_PromptTokens.end(),
                     [](std::uint64_t Tokens) { return Tokens == 0; });
}

void subtract(SharedWork::Rows &From, const SharedWork::Rows &What) {
  for (const auto &[Target, Each] : What) {
    const auto Sum = From.find(Target);
    WASABIVALE_INVARIANT(Sum != From.end());
    subtract(Sum->second, Each);
    if (isNothing(Sum->second))
      From.erase(Sum);
  }
}

} // namespace

void takeWork(SharedWork &On, const NodeId &Entry,
              const wire::WorkNotice &Notice, TimePoint Now) {
  SharedWork::Rows Rows;
  for (const wire::TargetWork &Each : Notice.work()) {
    SharedWork::Row &Row = Rows[{Each.target()}];
    Row.m_Requests = Each.requests();
    Row.m_PromptTokens.assign(Each.prompt_tokens().begin(),
                              Each.prompt_tokens().end());
  }
  std::erase_if(Rows, [](const auto &Each) { return isNothing(Each.second); });
  std::deque<wire::KeptPrefix> News;
  if (const auto Former = On.m_ByEntry.find(Entry);
      Former != On.m_ByEntry.end())
    News = std::move(Former->second.m_News);
  for (auto Each = On.m_ByEntry.begin(); Each != On.m_ByEntry.end();) {
    if (Each->first != Entry && Now - Each->second.m_At <= WorkKept) {
      ++Each;
      continue;
    }
    subtract(On.m_Sums, Each->second.m_Rows);
    Each = On.m_ByEntry.erase(Each);
  }
  add(On.m_Sums, Rows);
  SharedWork::Told &Own = On.m_ByEntry[Entry];
  Own.m_At = Now;
  Own.m_Rows = std::move(Rows);
  Own.m_News = std::move(News);
  for (auto &[Other, Told] : On.m_ByEntry) {
    if (Other == Entry)
      continue;
    Told.m_News.insert(Told.m_News.end(), Notice.kept().begin(),
                       Notice.kept().end());
    while (Told.m_News.size() > NewsKept)
      Told.m_News.pop_front();
  }
}

wire::OthersWork takeWorkBeside(SharedWork &On, const NodeId &Entry) {
  const auto Own = On.m_ByEntry.find(Entry);
  wire::OthersWork Out;
  if (Own != On.m_ByEntry.end())
    for (wire::KeptPrefix &Each : std::exchange(Own->second.m_News, {}))
      *Out.add_kept() = std::move(Each);
  for (const auto &[Target, Sum] : On.m_Sums) {
    SharedWork::Row Rest = Sum;
    if (Own != On.m_ByEntry.end())
      if (const auto Part = Own->second.m_Rows.find(Target);
          Part != Own->second.m_Rows.end())
        subtract(Rest, Part->second);
    if (isNothing(Rest))
      continue;
    wire::TargetWork &Row = *Out.add_work();
    Row.set_target(Target.m_Value);
    Row.set_requests(Rest.m_Requests);
    for (const std::uint64_t Tokens : Rest.m_PromptTokens)
      Row.add_prompt_tokens(Tokens);
  }
  return Out;
}

} // namespace wasabivale::fleet
