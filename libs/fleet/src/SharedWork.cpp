// Sums the work that entries report, for distribution to the other entries.

#include "fleet/fleet.h"

#include <algorithm>

namespace wasabivale::fleet {

namespace {

/// An entry's work is dropped after this time without a notice, which is about
/// five lost notices.
constexpr std::chrono::milliseconds EntryWorkTimeout{1'000};
/// Prefixes pending for one entry; holds a few seconds of a busy fleet. The
/// oldest are dropped, which at worst makes an engine process a prompt twice.
constexpr std::size_t MaxPendingPrefixes = 256;

void add(SharedWork::Rows &Sums, const SharedWork::Rows &Rows) {
  for (const auto &[Target, Row] : Rows) {
    SharedWork::Row &Sum = Sums[Target];
    Sum.m_Requests += Row.m_Requests;
    Sum.m_PromptTokens.resize(
        std::max(Sum.m_PromptTokens.size(), Row.m_PromptTokens.size()));
    for (std::size_t I = 0; I < Row.m_PromptTokens.size(); ++I)
      Sum.m_PromptTokens[I] += Row.m_PromptTokens[I];
  }
}

void subtract(SharedWork::Row &Sum, const SharedWork::Row &Part) {
  Sum.m_Requests -= Part.m_Requests;
  for (std::size_t I = 0; I < Part.m_PromptTokens.size(); ++I)
    Sum.m_PromptTokens[I] -= Part.m_PromptTokens[I];
}

bool isEmpty(const SharedWork::Row &Row) {
  return Row.m_Requests == 0 &&
         std::all_of(Row.m_PromptTokens.begin(), Row.m_PromptTokens.end(),
                     [](std::uint64_t Tokens) { return Tokens == 0; });
}

void subtract(SharedWork::Rows &Sums, const SharedWork::Rows &Rows) {
  for (const auto &[Target, Row] : Rows) {
    const auto Sum = Sums.find(Target);
    WASABIVALE_INVARIANT(Sum != Sums.end());
    subtract(Sum->second, Row);
    if (isEmpty(Sum->second))
      Sums.erase(Sum);
  }
}

} // namespace

void recordWork(SharedWork &Work, const NodeId &Entry,
                const wire::WorkNotice &Notice, TimePoint Now) {
  SharedWork::Rows Rows;
  for (const wire::TargetWork &Item : Notice.work()) {
    SharedWork::Row &Row = Rows[{Item.target()}];
    Row.m_Requests = Item.requests();
    Row.m_PromptTokens.assign(Item.prompt_tokens().begin(),
                              Item.prompt_tokens().end());
  }
  std::erase_if(Rows, [](const auto &Item) { return isEmpty(Item.second); });
  std::deque<wire::KeptPrefix> PendingPrefixes;
  if (const auto Previous = Work.m_ByEntry.find(Entry);
      Previous != Work.m_ByEntry.end())
    PendingPrefixes = std::move(Previous->second.m_PendingPrefixes);
  for (auto It = Work.m_ByEntry.begin(); It != Work.m_ByEntry.end();) {
    if (It->first != Entry && Now - It->second.m_At <= EntryWorkTimeout) {
      ++It;
      continue;
    }
    subtract(Work.m_Sums, It->second.m_Rows);
    It = Work.m_ByEntry.erase(It);
  }
  add(Work.m_Sums, Rows);
  SharedWork::EntryWork &OwnWork = Work.m_ByEntry[Entry];
  OwnWork.m_At = Now;
  OwnWork.m_Rows = std::move(Rows);
  OwnWork.m_PendingPrefixes = std::move(PendingPrefixes);
  for (auto &[Other, OtherWork] : Work.m_ByEntry) {
    if (Other == Entry)
      continue;
    OtherWork.m_PendingPrefixes.insert(OtherWork.m_PendingPrefixes.end(),
                                       Notice.kept().begin(),
                                       Notice.kept().end());
    while (OtherWork.m_PendingPrefixes.size() > MaxPendingPrefixes)
      OtherWork.m_PendingPrefixes.pop_front();
  }
}

wire::OthersWork takeOthersWork(SharedWork &Work, const NodeId &Entry) {
  const auto Own = Work.m_ByEntry.find(Entry);
  wire::OthersWork Result;
  if (Own != Work.m_ByEntry.end())
    for (wire::KeptPrefix &Prefix :
         std::exchange(Own->second.m_PendingPrefixes, {}))
      *Result.add_kept() = std::move(Prefix);
  for (const auto &[Target, Sum] : Work.m_Sums) {
    SharedWork::Row Others = Sum;
    if (Own != Work.m_ByEntry.end())
      if (const auto Part = Own->second.m_Rows.find(Target);
          Part != Own->second.m_Rows.end())
        subtract(Others, Part->second);
    if (isEmpty(Others))
      continue;
    wire::TargetWork &Row = *Result.add_work();
    Row.set_target(Target.m_Value);
    Row.set_requests(Others.m_Requests);
    for (const std::uint64_t Tokens : Others.m_PromptTokens)
      Row.add_prompt_tokens(Tokens);
  }
  return Result;
}

} // namespace wasabivale::fleet
