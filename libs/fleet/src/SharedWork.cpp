// Sums the work that entries report, for distribution to the other entries.

#include "fleet/fleet.h"

#include <algorithm>

namespace wasabivale::fleet {

namespace {

/// An entry's work is dropped after this time without a notice, which is about
/// five lost notices of a small fleet.
constexpr std::chrono::milliseconds EntryWorkTimeout{1'000};
/// As above, of an entry whose notices come less often: as many of its own
/// intervals, but no longer than this.
constexpr int MissedNotices = 5;
constexpr std::chrono::seconds MaxEntryWorkTimeout{5};
/// Shortest time between two digests.
constexpr std::chrono::milliseconds DigestInterval{50};
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

void removeEntry(SharedWork &Work, const NodeId &Entry) {
  const auto Found = Work.m_ByEntry.find(Entry);
  if (Found == Work.m_ByEntry.end())
    return;
  subtract(Work.m_Sums, Found->second.m_Rows);
  Work.m_WithoutNumber -= Found->second.m_Number == 0 ? 1 : 0;
  Work.m_ByEntry.erase(Found);
}

void removeExpired(SharedWork &Work, TimePoint Now) {
  if (Now < Work.m_NextExpiry)
    return;
  Work.m_NextExpiry = TimePoint::max();
  std::vector<NodeId> Expired;
  for (const auto &[Entry, Item] : Work.m_ByEntry) {
    if (Now > Item.m_ExpiryTime)
      Expired.push_back(Entry);
    else
      Work.m_NextExpiry = std::min(Work.m_NextExpiry, Item.m_ExpiryTime);
  }
  for (const NodeId &Entry : Expired)
    removeEntry(Work, Entry);
}

void recordPrefixes(SharedWork &Work, const NodeId &Entry,
                    const wire::WorkNotice &Notice, TimePoint Now) {
  for (const wire::KeptPrefix &Item : Notice.kept())
    workdigest::recordPrefix(
        Work.m_Prefixes,
        {workdigest::targetKey({Item.target()}), Item.prefix(), Item.blocks()},
        Now);
  if (Work.m_WithoutNumber == 0)
    return;
  for (auto &[Other, OtherWork] : Work.m_ByEntry) {
    if (Other == Entry || OtherWork.m_Number > 0)
      continue;
    OtherWork.m_PendingPrefixes.insert(OtherWork.m_PendingPrefixes.end(),
                                       Notice.kept().begin(),
                                       Notice.kept().end());
    while (OtherWork.m_PendingPrefixes.size() > MaxPendingPrefixes)
      OtherWork.m_PendingPrefixes.pop_front();
  }
}

void buildDigest(SharedWork &Work, TimePoint Now) {
  Work.m_NextDigest = Now + DigestInterval;
  ++Work.m_Digest;
  workdigest::Rows Rows;
  for (const auto &[Target, Sum] : Work.m_Sums)
    Rows[workdigest::targetKey(Target)] = Sum;
  Work.m_DigestRows = workdigest::encodeRows(Rows);
  workdigest::closeChunk(Work.m_Prefixes, Work.m_Digest, Now);
  for (auto &[Entry, Item] : Work.m_ByEntry)
    Item.m_Included = Item.m_Number;
}

} // namespace

SharedWork newSharedWork(std::uint64_t Term) {
  constexpr unsigned DigestBits = 32;
  SharedWork Work;
  Work.m_Digest = Term << DigestBits;
  return Work;
}

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
  SharedWork::EntryWork Next;
  Next.m_At = Now;
  Next.m_Number = Notice.number();
  Duration Timeout = EntryWorkTimeout;
  if (const auto Previous = Work.m_ByEntry.find(Entry);
      Previous != Work.m_ByEntry.end()) {
    Timeout =
        std::clamp<Duration>(MissedNotices * (Now - Previous->second.m_At),
                             EntryWorkTimeout, MaxEntryWorkTimeout);
    Next.m_Included = Previous->second.m_Included;
    Next.m_PendingPrefixes = std::move(Previous->second.m_PendingPrefixes);
  }
  Next.m_ExpiryTime = Now + Timeout;
  removeEntry(Work, Entry);
  removeExpired(Work, Now);
  add(Work.m_Sums, Rows);
  Next.m_Rows = std::move(Rows);
  Work.m_NextExpiry = std::min(Work.m_NextExpiry, Next.m_ExpiryTime);
  Work.m_WithoutNumber += Next.m_Number == 0 ? 1 : 0;
  Work.m_ByEntry[Entry] = std::move(Next);
  recordPrefixes(Work, Entry, Notice, Now);
}

wire::WorkDigest workDigest(SharedWork &Work, const NodeId &Entry,
                            const wire::WorkNotice &Notice, TimePoint Now) {
  if (Now >= Work.m_NextDigest)
    buildDigest(Work, Now);
  wire::WorkDigest Result;
  Result.set_number(Work.m_Digest);
  if (const auto Own = Work.m_ByEntry.find(Entry); Own != Work.m_ByEntry.end())
    Result.set_included_notice(Own->second.m_Included);
  Result.set_rows(Work.m_DigestRows);
  Result.set_kept(
      workdigest::prefixesSince(Work.m_Prefixes, Notice.last_digest()));
  return Result;
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
