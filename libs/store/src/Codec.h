/// \file
/// Byte forms of what the data folder holds. Numbers are little-endian.

#ifndef WASABIVALE_STORE_CODEC_H
#define WASABIVALE_STORE_CODEC_H

#include "store/store.h"

namespace wasabivale::store {

/// A whole file with a checksum: kind and version, checksum, body.
std::string seal(std::string_view Kind, std::string_view Body);
/// \returns the body, or an error that names \p Path.
Result<std::string> unseal(std::string_view Kind, const std::string &Bytes,
                           const std::string &Path);

/// What `identity` holds; the number is that of the file itself.
struct IdentityFile {
  Identity m_Identity;
  std::uint64_t m_Number = 0;
};
std::string encodeIdentity(const IdentityFile &Value);
Result<IdentityFile> decodeIdentity(const std::string &Body,
                                    const std::string &Path);

std::string encodeVote(const consensus::HardState &Value);
Result<consensus::HardState> decodeVote(const std::string &Body,
                                        const std::string &Path);

std::string encodeSnapshot(const consensus::Snapshot &Value);
Result<consensus::Snapshot> decodeSnapshot(const std::string &Body,
                                           const std::string &Path);

/// First bytes of every log file.
inline constexpr std::string_view SegmentHeader = "wasabivale-log 1";

std::string encodeRecord(const consensus::Record &Value);

/// What was found in one log file.
struct SegmentContent {
  std::vector<consensus::Record> m_Records;
  std::vector<std::uint64_t> m_Offsets; ///< Where each record begins.
  std::uint64_t m_GoodBytes = 0; ///< Beyond this nothing was acknowledged.
};

/// Reads a log file. \p MayBeTorn: it is the newest one, whose end may be a
/// write that a crash cut short. Other damage is an error that names the file
/// and the offset.
Result<SegmentContent> decodeSegment(const std::string &Bytes, bool MayBeTorn,
                                     const std::string &Path);

} // namespace wasabivale::store

#endif // WASABIVALE_STORE_CODEC_H
