#include "workdigest/workdigest.h"

namespace wasabivale::workdigest {

namespace {

/// Most prefixes that the log holds, and that one entry is sent at once.
constexpr std::size_t MaxLoggedPrefixes = 512;
/// Most prefixes that wait for the next digest.
constexpr std::size_t MaxPendingPrefixes = 512;
/// Most prefixes whose last report is remembered.
constexpr std::size_t MaxRemembered = 16'384;
/// A prefix is passed on again after this time: an entry may have started
/// meanwhile, or have dropped it for others.
constexpr std::chrono::seconds RepeatInterval{5};

Error malformed(const char *Reason) {
  return Error{"work_digest.decode", "", Reason};
}

} // namespace

std::string encodePrefixes(const std::vector<Prefix> &Prefixes) {
  wire::KeptRows Message;
  for (const Prefix &Item : Prefixes) {
    Message.add_target(Item.m_Target);
    Message.add_prefix(Item.m_Hash);
    Message.add_blocks(Item.m_Blocks);
  }
  return Message.SerializeAsString();
}

Result<std::vector<Prefix>> decodePrefixes(std::string_view Bytes) {
  wire::KeptRows Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return malformed("not a message");
  if (Message.target_size() > MaxRows)
    return malformed("too many prefixes");
  if (Message.prefix_size() != Message.target_size() ||
      Message.blocks_size() != Message.target_size())
    return malformed("arrays of different length");
  std::vector<Prefix> Result;
  Result.reserve(static_cast<std::size_t>(Message.target_size()));
  for (int I = 0; I < Message.target_size(); ++I)
    Result.push_back({Message.target(I), Message.prefix(I), Message.blocks(I)});
  return Result;
}

void recordPrefix(PrefixLog &Log, const Prefix &Reported, TimePoint Now) {
  const std::pair Key(Reported.m_Target, Reported.m_Hash);
  const auto Known = Log.m_RepeatAt.find(Key);
  if (Known != Log.m_RepeatAt.end() && Now < Known->second)
    return;
  if (Log.m_Pending.size() >= MaxPendingPrefixes)
    return;
  Log.m_Pending.push_back(Reported);
  if (Known != Log.m_RepeatAt.end() || Log.m_RepeatAt.size() < MaxRemembered)
    Log.m_RepeatAt[Key] = Now + RepeatInterval;
}

void closeChunk(PrefixLog &Log, std::uint64_t Digest, TimePoint Now) {
  if (Log.m_RepeatAt.size() >= MaxRemembered)
    std::erase_if(Log.m_RepeatAt,
                  [&](const auto &Item) { return Now >= Item.second; });
  if (Log.m_Pending.empty())
    return;
  Log.m_Chunks.push_back(
      {Digest, Log.m_Pending.size(), encodePrefixes(Log.m_Pending)});
  Log.m_Count += Log.m_Pending.size();
  Log.m_Pending.clear();
  while (Log.m_Count > MaxLoggedPrefixes && Log.m_Chunks.size() > 1) {
    Log.m_Count -= Log.m_Chunks.front().m_Count;
    Log.m_Chunks.pop_front();
  }
}

std::string prefixesSince(const PrefixLog &Log, std::uint64_t Digest) {
  std::string Bytes;
  for (const PrefixLog::Chunk &Chunk : Log.m_Chunks)
    if (Chunk.m_Digest > Digest)
      Bytes += Chunk.m_Bytes;
  return Bytes;
}

} // namespace wasabivale::workdigest
