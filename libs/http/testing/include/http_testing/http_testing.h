/// \file
/// A server of raw bytes and responses that a client must refuse or take, for
/// tests of everything that reads responses.

#ifndef WASABIVALE_HTTP_TESTING_HTTP_TESTING_H
#define WASABIVALE_HTTP_TESTING_HTTP_TESTING_H

#include "http/http.h"

#include <memory>
#include <string>
#include <vector>

namespace wasabivale::http::testing {

struct ResponseCase {
  std::string m_Name;
  std::string m_Bytes;
  /// Where the response is malformed: name of the `ResponseFault`.
  std::string m_Fault{};
  bool m_IsHeadSound = false;        ///< The fault is behind the head.
  bool m_EndsWithConnection = false; ///< Its end is that of its connection.
};

/// Responses of status 200 with the content \p Body, each with one fault.
/// \param FieldLines further lines of each head, with their ends.
std::vector<ResponseCase> malformedCases(const std::string &FieldLines,
                                         const std::string &Body);
/// Responses that are unusual, or tolerated by RFC 9112, and have the content
/// \p Body.
std::vector<ResponseCase> unusualCases(const std::string &FieldLines,
                                       const std::string &Body);

/// \p Body in two chunks with the last one. \param Extension of each size.
std::string chunked(const std::string &Body, const std::string &Extension = "",
                    const std::string &Trailers = "");

enum class Ending : std::uint8_t {
  Open,        ///< Until the client closes the connection.
  Closed,      ///< With the last byte.
  ClosedLater, ///< Once the last byte has been read.
  Reset,       ///< Once the last byte has been read.
};

struct ByteServerSettings {
  std::string m_Bytes;
  Ending m_Ending = Ending::Open;
  std::uint16_t m_Port = 0; ///< Zero: any that is free.
  /// Bytes that are sent at once; zero: all.
  std::size_t m_PieceBytes = 0;
  /// Answers when the first bytes of a request arrive, and reads no further.
  bool m_AnswersEarly = false;
  /// From the last byte to the end of the connection.
  std::chrono::milliseconds m_EndDelay{2};
  /// Chooses the bytes for a request; they are `m_Bytes` without it.
  std::function<std::string(const std::string &Request)> m_Choose{};
};

/// Answers each request with the same bytes. Requests have to arrive one at a
/// time on a connection.
class ByteServer {
public:
  ByteServer(event_base *Loop, ByteServerSettings Settings);
  ~ByteServer();
  ByteServer(const ByteServer &) = delete;
  ByteServer &operator=(const ByteServer &) = delete;

  [[nodiscard]] const Address &address() const;
  [[nodiscard]] std::size_t requests() const;
  /// Connections that neither side has closed.
  [[nodiscard]] std::size_t openConnections() const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace wasabivale::http::testing

#endif // WASABIVALE_HTTP_TESTING_HTTP_TESTING_H
