/// \file
/// Digest of the work that all entries have at engines. The leader builds and
/// encodes it once for all of them. Each entry subtracts its own part, which it
/// remembers by the number of the notice that reported it.

#ifndef WASABIVALE_WORKDIGEST_WORKDIGEST_H
#define WASABIVALE_WORKDIGEST_WORKDIGEST_H

#include "base/base.h"
#include "wire.pb.h"

#include <deque>
#include <map>

namespace wasabivale::workdigest {

/// Work at one engine.
struct Row {
  std::uint32_t m_Requests = 0; ///< Not ended.
  /// Prompt tokens not yet processed, by priority, most urgent first.
  std::vector<std::uint64_t> m_PromptTokens;

  bool operator==(const Row &) const = default;
};

/// Identifies a target in a digest.
using TargetKey = std::uint32_t;
TargetKey targetKey(const TargetId &Target);

using Rows = std::map<TargetKey, Row>;

/// Unit of prompt tokens in a digest; counts are rounded up to it.
inline constexpr std::uint64_t TokenUnit = 64;
/// Most rows and prefixes that a digest may have.
inline constexpr int MaxRows = 4096;

std::string encodeRows(const Rows &Work);
/// \returns the encoded rows, or an error if the arrays do not fit together, a
/// target is repeated, or there are too many.
Result<Rows> decodeRows(std::string_view Bytes);

/// A shared prefix that an engine keeps.
struct Prefix {
  TargetKey m_Target = 0;
  std::uint32_t m_Hash = 0; ///< Of its last block.
  std::uint32_t m_Blocks = 0;

  bool operator==(const Prefix &) const = default;
};

/// The encodings of two lists, one after the other, decode to both lists.
std::string encodePrefixes(const std::vector<Prefix> &Prefixes);
/// Errors as of `decodeRows`; a repeated prefix is none.
Result<std::vector<Prefix>> decodePrefixes(std::string_view Bytes);

/// Prefixes reported to the leader, numbered by the digest that first had them.
struct PrefixLog {
  struct Chunk {
    std::uint64_t m_Digest = 0;
    std::size_t m_Count = 0;
    std::string m_Bytes;
  };
  std::vector<Prefix> m_Pending; ///< For the next digest.
  std::deque<Chunk> m_Chunks;    ///< Bounded, oldest first.
  std::size_t m_Count = 0;       ///< Prefixes in all chunks.
  /// When a report of the same prefix is passed on again.
  std::map<std::pair<TargetKey, std::uint32_t>, TimePoint> m_RepeatAt;
};

/// Adds a prefix unless it was reported a short time ago.
void recordPrefix(PrefixLog &Log, const Prefix &Reported, TimePoint Now);
/// Assigns what is pending to the digest with this number.
void closeChunk(PrefixLog &Log, std::uint64_t Digest, TimePoint Now);
/// Encoded prefixes that are newer than a digest; an entry that has missed too
/// many receives the newest.
std::string prefixesSince(const PrefixLog &Log, std::uint64_t Digest);

/// What an entry has reported and the leader may have included in a digest.
struct SentNotices {
  struct Notice {
    std::uint64_t m_Number = 0;
    Rows m_Rows;
  };
  std::deque<Notice> m_Recent; ///< Bounded, oldest first.
  std::uint64_t m_LastNumber = 0;
  std::uint64_t m_LastDigest = 0;
};

/// Remembers what the next notice reports, and \returns its number.
std::uint64_t recordNotice(SentNotices &Sent, Rows Work);

/// Work of the other entries according to a digest.
///
/// \returns an error, and changes nothing, if the digest is malformed, older
/// than the last one, or contains a notice that is unknown here.
Result<Rows> othersWork(SentNotices &Sent, const wire::WorkDigest &Digest);

} // namespace wasabivale::workdigest

#endif // WASABIVALE_WORKDIGEST_WORKDIGEST_H
