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
  /// \param MaxFramingBytes of the head with the interim ones before it; line
  /// ends not counted.
  explicit ResponseReader(std::size_t MaxFramingBytes)
      : m_MaxFramingBytes(MaxFramingBytes) {}

  /// \returns whether the next bytes are behind the head, which needs no check.
  [[nodiscard]] bool skipContent(std::size_t Count) const;

  /// Appends to \p Checked what evhttp may parse: heads are held back until
  /// they are complete, and interim responses are left out.
  /// \returns what is wrong; nothing may be fed after that.
  std::optional<ResponseFault> feed(std::string_view Bytes,
                                    std::string &Checked);

private:
  enum class Stage : std::uint8_t { StatusLine, FieldLines, Complete };

  /// What the head states.
  struct Head {
    int m_Status = 0;
    std::string m_Text; ///< As evhttp gets it.
  };

  [[nodiscard]] bool isFraming() const;
  /// Finds out whether `m_Line` can't become a line of this stage, since the
  /// peer may not send its end. \param Added the part that has just arrived.
  [[nodiscard]] std::optional<ResponseFault>
  checkIncompleteLine(std::string_view Added) const;
  std::optional<ResponseFault> takeLine(std::string &Checked);
  std::optional<ResponseFault> takeStatusLine(std::string_view Line);
  std::optional<ResponseFault> takeField(std::string_view Line);
  std::optional<ResponseFault> endHead(std::string &Checked);

  std::size_t m_MaxFramingBytes;
  Stage m_Stage = Stage::StatusLine;
  Head m_Head;
  std::string m_Line;               ///< Being received.
  bool m_EndsLinesWithCrLf = false; ///< Otherwise with LF alone.
  std::size_t m_FramingBytes = 0;   ///< Of complete lines.
};

} // namespace wasabivale::http

#endif // WASABIVALE_HTTP_SRC_RESPONSEREADER_H
