/// \file
/// A target that answers with bytes that never end.

#ifndef WASABIVALE_ENTRY_TESTS_ENDLESSANSWER_H
#define WASABIVALE_ENTRY_TESTS_ENDLESSANSWER_H

#include <cstdint>
#include <event2/event.h>
#include <memory>
#include <string>

namespace wasabivale::entry::test {

/// Answers each request with \p Start, then \p Repeated until the connection is
/// closed.
class EndlessAnswer {
public:
  EndlessAnswer(event_base *Loop, std::uint16_t Port, std::string Start,
                std::string Repeated);
  ~EndlessAnswer();
  EndlessAnswer(const EndlessAnswer &) = delete;
  EndlessAnswer &operator=(const EndlessAnswer &) = delete;

  [[nodiscard]] std::size_t requests() const;
  /// Whether every connection has been closed by the other side.
  [[nodiscard]] bool isClosed() const;
  [[nodiscard]] std::size_t bytesSent() const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace wasabivale::entry::test

#endif // WASABIVALE_ENTRY_TESTS_ENDLESSANSWER_H
