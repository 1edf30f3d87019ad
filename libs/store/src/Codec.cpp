#include "Codec.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::store {

namespace {

constexpr std::size_t ByteBits = 8;
constexpr std::size_t NumberBytes = 8;
/// Payload length, kind, index and term, then a checksum of these.
constexpr std::size_t RecordFieldBytes = 4 * NumberBytes;
constexpr std::size_t RecordHeaderBytes = RecordFieldBytes + NumberBytes;
constexpr std::uint64_t HeaderSeed = 0x77617361;
constexpr std::uint64_t PayloadSeed = 0x62697661;
constexpr std::uint64_t LargestPayloadBytes = 1U << 30U;

void putNumber(std::string &Into, std::uint64_t Value) {
  for (std::size_t At = 0; At < NumberBytes; ++At)
    Into.push_back(static_cast<char>((Value >> (At * ByteBits)) & 0xFFU));
}

void putText(std::string &Into, std::string_view Text) {
  putNumber(Into, Text.size());
  Into.append(Text);
}

/// Takes values off the front of some bytes. `m_Good` turns false when they do
/// not suffice.
struct Reader {
  std::string_view m_Rest;
  bool m_Good = true;

  std::uint64_t number() {
    if (m_Rest.size() < NumberBytes) {
      m_Good = false;
      return 0;
    }
    std::uint64_t Value = 0;
    for (std::size_t At = NumberBytes; At > 0; --At)
      Value = (Value << ByteBits) | static_cast<unsigned char>(m_Rest[At - 1]);
    m_Rest.remove_prefix(NumberBytes);
    return Value;
  }
  std::string text() {
    const std::uint64_t Size = number();
    if (Size > m_Rest.size()) {
      m_Good = false;
      return {};
    }
    std::string Value(m_Rest.substr(0, Size));
    m_Rest.remove_prefix(Size);
    return Value;
  }
};

Error damaged(const std::string &Path, std::uint64_t Offset,
              std::string_view What) {
  return {"store.open", Path,
          fmt::format("damaged at byte {}: {}", Offset, What)};
}

bool isZero(std::string_view Bytes) {
  return std::all_of(Bytes.begin(), Bytes.end(),
                     [](char Each) { return Each == '\0'; });
}

enum class Found : std::uint8_t { Record, Torn, Damage };

/// Reads the record at the front of \p Rest.
Found readRecord(std::string_view Rest, consensus::Record &Into,
                 std::size_t &Taken) {
  if (Rest.size() < RecordHeaderBytes)
    return Found::Torn;
  Reader Header{Rest};
  const std::uint64_t Size = Header.number();
  const std::uint64_t Kind = Header.number();
  Into.m_Index = Header.number();
  Into.m_Term = Header.number();
  if (Header.number() !=
      hashBytes(Rest.substr(0, RecordFieldBytes), HeaderSeed))
    return isZero(Rest) ? Found::Torn : Found::Damage;
  if (Size > LargestPayloadBytes || Kind > 2)
    return Found::Damage;
  if (Rest.size() < RecordHeaderBytes + Size + NumberBytes)
    return Found::Torn;
  const std::string_view Payload = Rest.substr(RecordHeaderBytes, Size);
  Reader Trailer{Rest.substr(RecordHeaderBytes + Size)};
  if (Trailer.number() != hashBytes(Payload, PayloadSeed)) {
    // Blocks that a crash kept from the disk read as zeros to the end.
    return isZero(Rest.substr(RecordHeaderBytes)) ? Found::Torn : Found::Damage;
  }
  Into.m_Kind = static_cast<consensus::RecordKind>(Kind);
  Into.m_Payload = Payload;
  Taken = RecordHeaderBytes + Size + NumberBytes;
  return Found::Record;
}

} // namespace

std::string seal(std::string_view Kind, std::string_view Body) {
  std::string Bytes = fmt::format("wasabivale-{} 1\n", Kind);
  putNumber(Bytes, hashBytes(Body, PayloadSeed));
  Bytes.append(Body);
  return Bytes;
}

Result<std::string> unseal(std::string_view Kind, const std::string &Bytes,
                           const std::string &Path) {
  const std::string Start = fmt::format("wasabivale-{} 1\n", Kind);
  if (Bytes.compare(0, Start.size(), Start) != 0)
    return damaged(Path, 0, "no file of this kind and version");
  Reader Rest{std::string_view(Bytes).substr(Start.size())};
  const std::uint64_t Checksum = Rest.number();
  if (!Rest.m_Good || Checksum != hashBytes(Rest.m_Rest, PayloadSeed))
    return damaged(Path, Start.size(), "wrong checksum");
  return std::string(Rest.m_Rest);
}

std::string encodeIdentity(const IdentityFile &Value) {
  std::string Body;
  putText(Body, Value.m_Identity.m_Cluster);
  putText(Body, Value.m_Identity.m_Member.m_Value);
  putText(Body, Value.m_Identity.m_Incarnation);
  putNumber(Body, Value.m_Number);
  return Body;
}

Result<IdentityFile> decodeIdentity(const std::string &Body,
                                    const std::string &Path) {
  Reader From{Body};
  IdentityFile Value;
  Value.m_Identity.m_Cluster = From.text();
  Value.m_Identity.m_Member = {From.text()};
  Value.m_Identity.m_Incarnation = From.text();
  Value.m_Number = From.number();
  if (!From.m_Good)
    return damaged(Path, 0, "too short");
  return Value;
}

std::string encodeVote(const consensus::HardState &Value) {
  std::string Body;
  putNumber(Body, Value.m_Term);
  putText(Body, Value.m_VotedFor.m_Value);
  return Body;
}

Result<consensus::HardState> decodeVote(const std::string &Body,
                                        const std::string &Path) {
  Reader From{Body};
  consensus::HardState Value;
  Value.m_Term = From.number();
  Value.m_VotedFor = {From.text()};
  if (!From.m_Good)
    return damaged(Path, 0, "too short");
  return Value;
}

std::string encodeSnapshot(const consensus::Snapshot &Value) {
  std::string Body;
  putNumber(Body, Value.m_Index);
  putNumber(Body, Value.m_Term);
  putText(Body, consensus::encodeMembership(Value.m_Membership));
  putText(Body, Value.m_Data);
  return Body;
}

Result<consensus::Snapshot> decodeSnapshot(const std::string &Body,
                                           const std::string &Path) {
  Reader From{Body};
  consensus::Snapshot Value;
  Value.m_Index = From.number();
  Value.m_Term = From.number();
  const auto Members = consensus::decodeMembership(From.text());
  Value.m_Data = From.text();
  if (!From.m_Good || failed(Members))
    return damaged(Path, 0, "malformed");
  Value.m_Membership = valueOf(Members);
  return Value;
}

std::string encodeRecord(const consensus::Record &Value) {
  std::string Bytes;
  Bytes.reserve(RecordHeaderBytes + Value.m_Payload.size() + NumberBytes);
  putNumber(Bytes, Value.m_Payload.size());
  putNumber(Bytes, static_cast<std::uint64_t>(Value.m_Kind));
  putNumber(Bytes, Value.m_Index);
  putNumber(Bytes, Value.m_Term);
  putNumber(Bytes, hashBytes(Bytes, HeaderSeed));
  Bytes.append(Value.m_Payload);
  putNumber(Bytes, hashBytes(Value.m_Payload, PayloadSeed));
  return Bytes;
}

Result<SegmentContent> decodeSegment(const std::string &Bytes, bool MayBeTorn,
                                     const std::string &Path) {
  SegmentContent Content;
  const std::string_view All = Bytes;
  if (All.substr(0, SegmentHeader.size()) != SegmentHeader) {
    const bool Unfinished =
        All.size() <= SegmentHeader.size() &&
        (isZero(All) || SegmentHeader.substr(0, All.size()) == All);
    if (MayBeTorn && Unfinished)
      return Content;
    return damaged(Path, 0, "no log file of this version");
  }
  Content.m_GoodBytes = SegmentHeader.size();
  while (Content.m_GoodBytes < All.size()) {
    consensus::Record Read;
    std::size_t Taken = 0;
    const Found What = readRecord(All.substr(Content.m_GoodBytes), Read, Taken);
    if (What == Found::Torn && MayBeTorn)
      return Content;
    if (What != Found::Record)
      return damaged(Path, Content.m_GoodBytes,
                     What == Found::Torn ? "a record is incomplete"
                                         : "wrong checksum of a record");
    const bool Follows = Content.m_Records.empty() ||
                         Content.m_Records.back().m_Index + 1 == Read.m_Index;
    if (!Follows)
      return damaged(Path, Content.m_GoodBytes, "records are missing");
    Content.m_Offsets.push_back(Content.m_GoodBytes);
    Content.m_Records.push_back(std::move(Read));
    Content.m_GoodBytes += Taken;
  }
  return Content;
}

} // namespace wasabivale::store
