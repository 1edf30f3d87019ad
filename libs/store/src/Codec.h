/// \file
/// Binary formats of the files in the data folder. Numbers are little-endian.

#ifndef WASABIVALE_STORE_CODEC_H
#define WASABIVALE_STORE_CODEC_H

#include "store/store.h"

namespace wasabivale::store {

/// Encodes a file that consists of kind and version, checksum, and body.
std::string encodeFile(std::string_view Kind, std::string_view Body);
/// \returns the body, or an error that contains \p Path.
Result<std::string> decodeFile(std::string_view Kind, const std::string &Bytes,
                               const std::string &Path);

/// Content of `identity`, including the inode of the file itself. Builds that
/// do not record the origin end the file behind the inode, and ignore what
/// follows it.
struct IdentityFile {
  Identity m_Identity;
  std::uint64_t m_Inode = 0;
};
std::string encodeIdentity(const IdentityFile &Value);
Result<IdentityFile> decodeIdentity(const std::string &Body,
                                    const std::string &Path);

std::string encodeNodes(const std::vector<NodeId> &Nodes);
Result<std::vector<NodeId>> decodeNodes(const std::string &Body,
                                        const std::string &Path);

std::string encodeGroup(std::uint64_t Group);
Result<std::uint64_t> decodeGroup(const std::string &Body,
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

/// Content of one log file.
struct SegmentContent {
  std::vector<consensus::Record> m_Records;
  std::vector<std::uint64_t> m_Offsets; ///< Start of each record, in bytes.
  std::uint64_t m_ValidBytes = 0; ///< Later bytes were never acknowledged.
};

/// Whether a log file has no whole header, as a power loss interrupted its
/// creation.
bool isUnfinishedSegment(std::string_view Bytes);

/// Decodes a log file. The last write to the newest file may be incomplete
/// after a power loss; it has at most \p UnsyncedBytes, or is a single record.
/// Zero allows no incomplete write. Any other corruption is an error that
/// contains the file and the offset.
Result<SegmentContent> decodeSegment(const std::string &Bytes,
                                     std::size_t UnsyncedBytes,
                                     const std::string &Path);

} // namespace wasabivale::store

#endif // WASABIVALE_STORE_CODEC_H
