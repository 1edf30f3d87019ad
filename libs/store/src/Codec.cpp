#include "Codec.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::store {

namespace {

constexpr std::size_t ByteBits = 8;
constexpr std::size_t NumberBytes = 8;
/// Payload length, kind, index and term; a checksum of them follows.
constexpr std::size_t RecordFieldBytes = 4 * NumberBytes;
constexpr std::size_t RecordHeaderBytes = RecordFieldBytes + NumberBytes;
constexpr std::uint64_t HeaderSeed = 0x77617361;
constexpr std::uint64_t PayloadSeed = 0x62697661;
constexpr std::uint64_t LargestPayloadBytes = 1U << 30U;

void appendNumber(std::string &Output, std::uint64_t Value) {
  for (std::size_t Byte = 0; Byte < NumberBytes; ++Byte)
    Output.push_back(static_cast<char>((Value >> (Byte * ByteBits)) & 0xFFU));
}

void appendText(std::string &Output, std::string_view Text) {
  appendNumber(Output, Text.size());
  Output.append(Text);
}

void appendNodes(std::string &Output, const std::vector<NodeId> &Nodes) {
  appendNumber(Output, Nodes.size());
  for (const NodeId &Node : Nodes)
    appendText(Output, Node.m_Value);
}

/// Reads values from the front of a byte sequence. `m_Valid` becomes false if
/// there are too few bytes.
struct Reader {
  std::string_view m_Remaining;
  bool m_Valid = true;

  std::uint64_t readNumber() {
    if (m_Remaining.size() < NumberBytes) {
      m_Valid = false;
      return 0;
    }
    std::uint64_t Value = 0;
    for (std::size_t Byte = NumberBytes; Byte > 0; --Byte)
      Value = (Value << ByteBits) |
              static_cast<unsigned char>(m_Remaining[Byte - 1]);
    m_Remaining.remove_prefix(NumberBytes);
    return Value;
  }
  std::string readText() {
    const std::uint64_t Size = readNumber();
    if (Size > m_Remaining.size()) {
      m_Valid = false;
      return {};
    }
    std::string Value(m_Remaining.substr(0, Size));
    m_Remaining.remove_prefix(Size);
    return Value;
  }
  std::vector<NodeId> readNodes() {
    std::vector<NodeId> Nodes;
    for (std::uint64_t Left = readNumber(); m_Valid && Left > 0; --Left)
      Nodes.push_back({readText()});
    return Nodes;
  }
};

Error corruptionError(const std::string &Path, std::uint64_t Offset,
                      std::string_view Reason) {
  return {"store.open", Path,
          fmt::format("damaged at byte {}: {}", Offset, Reason)};
}

bool isZero(std::string_view Bytes) {
  return std::all_of(Bytes.begin(), Bytes.end(),
                     [](char Byte) { return Byte == '\0'; });
}

/// Unit in which a disk writes or does not write.
constexpr std::size_t SectorBytes = 512;

/// Start of a record as far as it can be read.
struct RecordFront {
  bool m_HeaderIsValid = false;
  std::uint64_t m_PayloadBytes = 0;

  [[nodiscard]] std::size_t size() const {
    return RecordHeaderBytes + m_PayloadBytes + NumberBytes;
  }
};

bool isValidHeader(std::string_view Bytes) {
  if (Bytes.size() < RecordHeaderBytes)
    return false;
  Reader Checksum{Bytes.substr(RecordFieldBytes, NumberBytes)};
  return Checksum.readNumber() ==
         hashBytes(Bytes.substr(0, RecordFieldBytes), HeaderSeed);
}

/// Whether a number was written up to some byte only, with zeros behind.
bool isCutNumber(std::string_view Bytes, std::uint64_t Number) {
  std::string Whole;
  appendNumber(Whole, Number);
  const std::size_t Zeros =
      NumberBytes - (Bytes.find_last_not_of('\0') + 1); // npos + 1 is 0.
  return Zeros > 0 && Whole.compare(0, NumberBytes - Zeros, Bytes, 0,
                                    NumberBytes - Zeros) == 0;
}

/// Whether a record begins in \p Bytes at \p From or later.
bool hasRecordFrom(std::string_view Bytes, std::size_t From) {
  constexpr std::size_t KindOffset = NumberBytes;
  for (; From + RecordHeaderBytes <= Bytes.size(); ++From) {
    // The kind is a small number.
    const bool MayBeRecord = isZero(Bytes.substr(From + KindOffset + 1, 7));
    if (MayBeRecord && isValidHeader(Bytes.substr(From)))
      return true;
  }
  return false;
}

/// Whether a part of the file from byte \p Start on, at which an invalid record
/// begins, was not written, and reads as zeros: the end of the file, a sector,
/// or the part of the first sector that the write would have filled. With a
/// valid header only the record itself counts.
bool hasUnwrittenPart(std::string_view File, std::size_t Start,
                      const RecordFront &Front) {
  const bool IsLast =
      isZero(File.substr(std::min(File.size(), Start + Front.size())));
  if (Front.m_HeaderIsValid)
    File = File.substr(0, Start + Front.size());
  const std::string_view Bytes = File.substr(Start);
  if (isZero(Bytes.substr(Bytes.size() - std::min(Bytes.size(), NumberBytes))))
    return true;
  if (Front.m_HeaderIsValid && Front.size() <= Bytes.size() && IsLast) {
    const std::string_view Payload =
        Bytes.substr(RecordHeaderBytes, Front.m_PayloadBytes);
    if (isCutNumber(Bytes.substr(Front.size() - NumberBytes, NumberBytes),
                    hashBytes(Payload, PayloadSeed)))
      return true;
  }
  const std::size_t FirstBoundary =
      (Start + SectorBytes - 1) / SectorBytes * SectorBytes;
  const std::string_view First =
      File.substr(Start, std::min(FirstBoundary - Start, RecordHeaderBytes));
  if (!Front.m_HeaderIsValid && !First.empty() && isZero(First))
    return true;
  for (std::size_t Sector = FirstBoundary; Sector + SectorBytes <= File.size();
       Sector += SectorBytes)
    if (isZero(File.substr(Sector, SectorBytes)))
      return true;
  return false;
}

/// Whether the invalid record at byte \p Start may be part of a write that a
/// power loss interrupted, which had at most \p UnsyncedBytes.
bool isIncompleteWrite(std::string_view File, std::size_t Start,
                       const RecordFront &Front, std::size_t UnsyncedBytes) {
  return UnsyncedBytes > 0 && hasUnwrittenPart(File, Start, Front) &&
         !hasRecordFrom(File, Start + UnsyncedBytes);
}

enum class RecordStatus : std::uint8_t { Valid, Torn, Corrupt };

/// Decodes the record at the front of \p Bytes.
RecordStatus decodeRecord(std::string_view Bytes, consensus::Record &Record,
                          RecordFront &Front) {
  if (Bytes.size() < RecordFront{}.size())
    return RecordStatus::Torn;
  Reader Header{Bytes};
  const std::uint64_t Size = Header.readNumber();
  const std::uint64_t Kind = Header.readNumber();
  Record.m_Index = Header.readNumber();
  Record.m_Term = Header.readNumber();
  if (!isValidHeader(Bytes))
    return RecordStatus::Corrupt;
  if (Size > LargestPayloadBytes || Kind > 2)
    return RecordStatus::Corrupt;
  Front = {true, Size};
  if (Bytes.size() < Front.size())
    return RecordStatus::Torn;
  const std::string_view Payload = Bytes.substr(RecordHeaderBytes, Size);
  Reader Trailer{Bytes.substr(RecordHeaderBytes + Size)};
  if (Trailer.readNumber() != hashBytes(Payload, PayloadSeed))
    return RecordStatus::Corrupt;
  Record.m_Kind = static_cast<consensus::RecordKind>(Kind);
  Record.m_Payload = Payload;
  return RecordStatus::Valid;
}

} // namespace

std::string encodeFile(std::string_view Kind, std::string_view Body) {
  std::string Bytes = fmt::format("wasabivale-{} 1\n", Kind);
  appendNumber(Bytes, hashBytes(Body, PayloadSeed));
  Bytes.append(Body);
  return Bytes;
}

Result<std::string> decodeFile(std::string_view Kind, const std::string &Bytes,
                               const std::string &Path) {
  const std::string Header = fmt::format("wasabivale-{} 1\n", Kind);
  if (Bytes.compare(0, Header.size(), Header) != 0)
    return corruptionError(Path, 0, "unexpected file kind or version");
  Reader Input{std::string_view(Bytes).substr(Header.size())};
  const std::uint64_t Checksum = Input.readNumber();
  if (!Input.m_Valid || Checksum != hashBytes(Input.m_Remaining, PayloadSeed))
    return corruptionError(Path, Header.size(), "checksum mismatch");
  return std::string(Input.m_Remaining);
}

std::string encodeIdentity(const IdentityFile &Value) {
  std::string Body;
  appendText(Body, Value.m_Identity.m_Cluster);
  appendText(Body, Value.m_Identity.m_Member.m_Value);
  appendText(Body, Value.m_Identity.m_Incarnation);
  appendNumber(Body, Value.m_Inode);
  const Origin &Start = Value.m_Identity.m_Origin;
  if (Start.m_Kind == StartKind::Unknown)
    return Body;
  appendNumber(Body, static_cast<std::uint64_t>(Start.m_Kind));
  appendNodes(Body, Start.m_Seeds);
  return Body;
}

Result<IdentityFile> decodeIdentity(const std::string &Body,
                                    const std::string &Path) {
  Reader Input{Body};
  IdentityFile Value;
  Value.m_Identity.m_Cluster = Input.readText();
  Value.m_Identity.m_Member = {Input.readText()};
  Value.m_Identity.m_Incarnation = Input.readText();
  Value.m_Inode = Input.readNumber();
  Origin &Start = Value.m_Identity.m_Origin;
  if (Input.m_Valid && !Input.m_Remaining.empty()) {
    const std::uint64_t Kind = Input.readNumber();
    if (Kind > static_cast<std::uint64_t>(StartKind::Later))
      return corruptionError(Path, 0, "unknown kind of start");
    Start = {static_cast<StartKind>(Kind), Input.readNodes()};
  }
  if (!Input.m_Valid)
    return corruptionError(Path, 0, "unexpected end of data");
  return Value;
}

std::string encodeNodes(const std::vector<NodeId> &Nodes) {
  std::string Body;
  appendNodes(Body, Nodes);
  return Body;
}

Result<std::vector<NodeId>> decodeNodes(const std::string &Body,
                                        const std::string &Path) {
  Reader Input{Body};
  std::vector<NodeId> Nodes = Input.readNodes();
  if (!Input.m_Valid)
    return corruptionError(Path, 0, "unexpected end of data");
  return Nodes;
}

std::string encodeGroup(std::uint64_t Group) {
  std::string Body;
  appendNumber(Body, Group);
  return Body;
}

Result<std::uint64_t> decodeGroup(const std::string &Body,
                                  const std::string &Path) {
  Reader Input{Body};
  const std::uint64_t Group = Input.readNumber();
  if (!Input.m_Valid)
    return corruptionError(Path, 0, "unexpected end of data");
  return Group;
}

std::string encodeVote(const consensus::HardState &Value) {
  std::string Body;
  appendNumber(Body, Value.m_Term);
  appendText(Body, Value.m_VotedFor.m_Value);
  return Body;
}

Result<consensus::HardState> decodeVote(const std::string &Body,
                                        const std::string &Path) {
  Reader Input{Body};
  consensus::HardState Value;
  Value.m_Term = Input.readNumber();
  Value.m_VotedFor = {Input.readText()};
  if (!Input.m_Valid)
    return corruptionError(Path, 0, "unexpected end of data");
  return Value;
}

std::string encodeSnapshot(const consensus::Snapshot &Value) {
  std::string Body;
  appendNumber(Body, Value.m_Index);
  appendNumber(Body, Value.m_Term);
  appendText(Body, consensus::encodeMembership(Value.m_Membership));
  appendText(Body, Value.m_Data);
  return Body;
}

Result<consensus::Snapshot> decodeSnapshot(const std::string &Body,
                                           const std::string &Path) {
  Reader Input{Body};
  consensus::Snapshot Value;
  Value.m_Index = Input.readNumber();
  Value.m_Term = Input.readNumber();
  const auto Members = consensus::decodeMembership(Input.readText());
  Value.m_Data = Input.readText();
  if (!Input.m_Valid || failed(Members))
    return corruptionError(Path, 0, "malformed");
  Value.m_Membership = valueOf(Members);
  return Value;
}

std::string encodeRecord(const consensus::Record &Value) {
  std::string Bytes;
  Bytes.reserve(RecordHeaderBytes + Value.m_Payload.size() + NumberBytes);
  appendNumber(Bytes, Value.m_Payload.size());
  appendNumber(Bytes, static_cast<std::uint64_t>(Value.m_Kind));
  appendNumber(Bytes, Value.m_Index);
  appendNumber(Bytes, Value.m_Term);
  appendNumber(Bytes, hashBytes(Bytes, HeaderSeed));
  Bytes.append(Value.m_Payload);
  appendNumber(Bytes, hashBytes(Value.m_Payload, PayloadSeed));
  return Bytes;
}

Result<SegmentContent> decodeSegment(const std::string &Bytes,
                                     std::size_t UnsyncedBytes,
                                     const std::string &Path) {
  SegmentContent Content;
  const std::string_view All = Bytes;
  if (All.substr(0, SegmentHeader.size()) != SegmentHeader) {
    if (UnsyncedBytes > 0 && isUnfinishedSegment(Bytes))
      return Content;
    return corruptionError(Path, 0, "not a log file of this version");
  }
  Content.m_ValidBytes = SegmentHeader.size();
  while (Content.m_ValidBytes < All.size()) {
    consensus::Record Record;
    RecordFront Front;
    const RecordStatus State =
        decodeRecord(All.substr(Content.m_ValidBytes), Record, Front);
    if (State == RecordStatus::Torn && UnsyncedBytes > 0)
      return Content;
    if (State == RecordStatus::Corrupt &&
        isIncompleteWrite(All, Content.m_ValidBytes, Front, UnsyncedBytes))
      return Content;
    if (State != RecordStatus::Valid)
      return corruptionError(Path, Content.m_ValidBytes,
                             State == RecordStatus::Torn
                                 ? "incomplete record"
                                 : "record checksum mismatch");
    const bool IsContiguous =
        Content.m_Records.empty() ||
        Content.m_Records.back().m_Index + 1 == Record.m_Index;
    if (!IsContiguous)
      return corruptionError(Path, Content.m_ValidBytes, "records are missing");
    Content.m_Offsets.push_back(Content.m_ValidBytes);
    Content.m_Records.push_back(std::move(Record));
    Content.m_ValidBytes += Front.size();
  }
  return Content;
}

bool isUnfinishedSegment(std::string_view Bytes) {
  if (Bytes.size() > SegmentHeader.size() || Bytes == SegmentHeader)
    return false;
  for (std::size_t Byte = 0; Byte < Bytes.size(); ++Byte)
    if (Bytes[Byte] != '\0' && Bytes[Byte] != SegmentHeader[Byte])
      return false;
  return true;
}

} // namespace wasabivale::store
