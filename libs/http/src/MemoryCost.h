/// \file
/// What the bytes of a request cost of the memory budget, and which client is
/// closed when it is used up. Nothing here does I/O.

#ifndef WASABIVALE_HTTP_SRC_MEMORYCOST_H
#define WASABIVALE_HTTP_SRC_MEMORYCOST_H

#include "http/http.h"

namespace wasabivale::http {

struct MemoryCost {
  /// Of an open connection: evhttp's and our own state, and a first read.
  static constexpr std::size_t Connection = 8U << 10U;
  /// Copies of each byte of a head: of evhttp, in two forms here, at targets.
  static constexpr std::size_t HeadFactor = 4;
  /// Of a header line with its name and value: nodes of evhttp's list and ours.
  static constexpr std::size_t Line = 320;
  /// Copies of each byte of a body: as received, in `Request`, and written.
  static constexpr std::size_t BodyFactor = 3;
  /// Least of a read of a body: evbuffer keeps a buffer of that size for it.
  static constexpr std::size_t Read = 1U << 10U;
  /// What one request may hold of `Requests` before its body counts as long.
  static constexpr std::size_t ShortRequest = 384U << 10U;
  static constexpr std::size_t Slack = 1U << 20U;
};

/// Follows a request's bytes up to the end of its head.
class HeadScan {
public:
  /// \returns the cost of these bytes; they follow those of the last call.
  std::size_t scan(std::string_view Bytes);
  [[nodiscard]] bool isDone() const { return m_IsDone; }

private:
  bool m_IsDone = false;
  bool m_HasLine = false; ///< A line with text has ended or begun.
  bool m_IsEmptyLine = true;
};

/// What is known of a client that may make room for others.
struct Candidate {
  TimePoint m_Since;          ///< Of its request's first byte, or its accept.
  Duration m_Waited{0};       ///< Of that, time in which we did not read.
  std::size_t m_Received = 0; ///< Of its request.
  bool m_HasHead = false;     ///< Its head is whole.
  bool m_HoldsBody = false;   ///< Part of `Bodies`.
  bool m_IsWaiting = false;
};

/// Whether a client that is receiving a request may be closed for others that
/// wait for a part of the budget.
bool mayGoForOthers(const Candidate &Who, MemoryPart Wanted, TimePoint Now);

} // namespace wasabivale::http

#endif // WASABIVALE_HTTP_SRC_MEMORYCOST_H
