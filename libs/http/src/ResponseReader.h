/// \file
/// Checks the bytes of a response before evhttp parses them.
///
/// evhttp parses lines as C strings and numbers with the C library, and takes
/// the first of several lengths: it finds a response in bytes that are none. It
/// is given only what has passed this check, rewritten so that it has one
/// reading.

#ifndef WASABIVALE_HTTP_SRC_RESPONSEREADER_H
#define WASABIVALE_HTTP_SRC_RESPONSEREADER_H

#include "http/http.h"

namespace wasabivale::http {

/// What is wrong, in a few words; for log lines and errors.
const char *responseFaultText(ResponseFault Value);
void countMalformedResponse(ResponseFault Fault);

/// Reads one response in the order of its bytes, in pieces of any size.
class ResponseReader {
public:
  /// \param Method of the request; a response to HEAD has no content.
  /// \param MaxFramingBytes of the head with the interim ones before it, of the
  /// line that states a chunk's size, and of the trailers; line ends not
  /// counted.
  ResponseReader(std::string_view Method, std::size_t MaxFramingBytes)
      : m_IsHead(Method == "HEAD"), m_MaxFramingBytes(MaxFramingBytes) {}

  /// Takes the next \p Count bytes unseen if all of them are content, or stand
  /// behind the response. \returns whether it did.
  bool skipContent(std::size_t Count);

  /// Appends to \p Checked what evhttp may parse: heads are held back until
  /// they are complete; interim responses, chunk extensions and trailers are
  /// left out; bytes behind the response are kept.
  /// \returns what is wrong; nothing may be fed after that.
  std::optional<ResponseFault> feed(std::string_view Bytes,
                                    std::string &Checked);

private:
  enum class Stage : std::uint8_t {
    StatusLine,
    FieldLines,
    Content, ///< `m_Remaining` bytes.
    ContentUntilClose,
    ChunkSize,
    ChunkContent, ///< `m_Remaining` bytes.
    ChunkEnd,     ///< The line end behind a chunk's content.
    Trailers,
    Complete,
  };

  /// What the head states.
  struct Head {
    int m_Status = 0;
    bool m_IsHttp10 = false;
    bool m_IsChunked = false;
    std::optional<std::uint64_t> m_Length;
    std::string m_Text; ///< As evhttp gets it.
  };

  [[nodiscard]] bool isFraming() const;
  void takeContent(std::string_view &Bytes, std::string &Checked);
  /// Finds out whether `m_Line` can't become a line of this stage, since the
  /// peer may not send its end. \param Added the part that has just arrived.
  [[nodiscard]] std::optional<ResponseFault>
  checkIncompleteLine(std::string_view Added) const;
  std::optional<ResponseFault> takeLine(std::string &Checked);
  std::optional<ResponseFault> takeStatusLine(std::string_view Line);
  std::optional<ResponseFault> takeField(std::string_view Line);
  std::optional<ResponseFault> takeLength(std::string_view Value);
  std::optional<ResponseFault> takeCoding(std::string_view Value);
  std::optional<ResponseFault> endHead(std::string &Checked);
  void enterChunkSize();
  std::optional<ResponseFault> takeChunkSize(std::string_view Line,
                                             std::string &Checked);

  bool m_IsHead;
  std::size_t m_MaxFramingBytes;
  Stage m_Stage = Stage::StatusLine;
  Head m_Head;
  std::string m_Line;               ///< Being received.
  bool m_EndsLinesWithCrLf = false; ///< Otherwise with LF alone.
  std::size_t m_FramingBytes = 0;   ///< Of complete lines.
  std::uint64_t m_Remaining = 0;
};

} // namespace wasabivale::http

#endif // WASABIVALE_HTTP_SRC_RESPONSEREADER_H
