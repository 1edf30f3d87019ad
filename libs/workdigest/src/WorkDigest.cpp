#include "workdigest/workdigest.h"

#include <algorithm>
#include <set>

namespace wasabivale::workdigest {

namespace {

/// Notices that are remembered: the leader includes one within a few exchanges.
constexpr std::size_t MaxRecentNotices = 16;

Error malformed(const char *Reason) {
  return Error{"work_digest.decode", "", Reason};
}

bool isEmpty(const Row &Work) {
  return Work.m_Requests == 0 &&
         std::all_of(Work.m_PromptTokens.begin(), Work.m_PromptTokens.end(),
                     [](std::uint64_t Tokens) { return Tokens == 0; });
}

std::uint32_t toUnits(std::uint64_t Tokens) {
  constexpr std::uint64_t MaxUnits = UINT32_MAX;
  return static_cast<std::uint32_t>(std::min(
      MaxUnits, Tokens / TokenUnit + (Tokens % TokenUnit > 0 ? 1 : 0)));
}

template <typename Count> Count subtract(Count From, Count Part) {
  return From > Part ? From - Part : 0;
}

void subtract(Row &Sum, const Row &Part) {
  Sum.m_Requests = subtract(Sum.m_Requests, Part.m_Requests);
  const std::size_t Levels =
      std::min(Sum.m_PromptTokens.size(), Part.m_PromptTokens.size());
  for (std::size_t I = 0; I < Levels; ++I)
    Sum.m_PromptTokens[I] =
        subtract(Sum.m_PromptTokens[I], Part.m_PromptTokens[I]);
}

} // namespace

TargetKey targetKey(const TargetId &Target) {
  return static_cast<TargetKey>(hashBytes(Target.m_Value));
}

std::string encodeRows(const Rows &Work) {
  wire::WorkRows Message;
  for (const auto &[Target, Item] : Work) {
    if (isEmpty(Item))
      continue;
    std::size_t Levels = Item.m_PromptTokens.size();
    while (Levels > 0 && Item.m_PromptTokens[Levels - 1] == 0)
      --Levels;
    Message.add_target(Target);
    Message.add_requests(Item.m_Requests);
    Message.add_levels(static_cast<std::uint32_t>(Levels));
    for (std::size_t I = 0; I < Levels; ++I)
      Message.add_prompt_units(toUnits(Item.m_PromptTokens[I]));
  }
  return Message.SerializeAsString();
}

Result<Rows> decodeRows(std::string_view Bytes) {
  wire::WorkRows Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return malformed("not a message");
  if (Message.target_size() > MaxRows)
    return malformed("too many rows");
  if (Message.requests_size() != Message.target_size() ||
      Message.levels_size() != Message.target_size())
    return malformed("arrays of different length");
  Rows Result;
  int NextUnit = 0;
  for (int I = 0; I < Message.target_size(); ++I) {
    const std::uint32_t Levels = Message.levels(I);
    if (Levels > static_cast<std::uint32_t>(Message.prompt_units_size()) ||
        NextUnit > Message.prompt_units_size() - static_cast<int>(Levels))
      return malformed("arrays of different length");
    Row Item;
    Item.m_Requests = Message.requests(I);
    for (std::uint32_t Level = 0; Level < Levels; ++Level)
      Item.m_PromptTokens.push_back(TokenUnit *
                                    Message.prompt_units(NextUnit++));
    if (!Result.emplace(Message.target(I), std::move(Item)).second)
      return malformed("a target is repeated");
  }
  if (NextUnit != Message.prompt_units_size())
    return malformed("arrays of different length");
  return Result;
}

std::uint64_t recordNotice(SentNotices &Sent, Rows Work) {
  Sent.m_Recent.push_back({++Sent.m_LastNumber, std::move(Work)});
  if (Sent.m_Recent.size() > MaxRecentNotices)
    Sent.m_Recent.pop_front();
  return Sent.m_LastNumber;
}

Result<Rows> othersWork(SentNotices &Sent, const wire::WorkDigest &Digest) {
  if (Digest.number() < Sent.m_LastDigest)
    return malformed("older than the last one");
  const std::uint64_t Included = Digest.included_notice();
  const auto Own = std::find_if(
      Sent.m_Recent.begin(), Sent.m_Recent.end(),
      [&](const auto &Notice) { return Notice.m_Number == Included; });
  if (Included > 0 && Own == Sent.m_Recent.end())
    return malformed("contains an unknown notice");
  Result<Rows> Sums = decodeRows(Digest.rows());
  if (failed(Sums))
    return Sums;
  Rows &Others = valueOf(Sums);
  if (Included > 0) {
    for (const auto &[Target, Part] : Own->m_Rows)
      if (const auto Sum = Others.find(Target); Sum != Others.end())
        subtract(Sum->second, Part);
    Sent.m_Recent.erase(Sent.m_Recent.begin(), Own);
  }
  std::erase_if(Others, [](const auto &Item) { return isEmpty(Item.second); });
  Sent.m_LastDigest = Digest.number();
  return Sums;
}

} // namespace wasabivale::workdigest
