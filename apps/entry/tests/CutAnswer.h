/// \file
/// A peer that answers with part of an answer and ends the connection.

#ifndef WASABIVALE_ENTRY_TESTS_CUTANSWER_H
#define WASABIVALE_ENTRY_TESTS_CUTANSWER_H

#include <cstdint>
#include <event2/event.h>
#include <memory>
#include <string>
#include <vector>

namespace wasabivale::entry::test {

enum class CutBy : std::uint8_t { Close, Reset };

/// Answers each request with the same bytes, then ends the connection.
class CutAnswer {
public:
  CutAnswer(event_base *Loop, std::uint16_t Port, std::string Bytes,
            CutBy Ending);
  ~CutAnswer();
  CutAnswer(const CutAnswer &) = delete;
  CutAnswer &operator=(const CutAnswer &) = delete;

  [[nodiscard]] std::size_t requests() const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

struct WholeAnswer {
  const char *m_Name;
  std::string m_Bytes;
  std::size_t m_HeadBytes;
  /// Its end is the end of its connection.
  bool m_EndsWithConnection;
};

/// Answers of every framing with this body and these fields, each of which ends
/// with a line break.
std::vector<WholeAnswer> wholeAnswers(const std::string &Fields,
                                      const std::string &Body);

} // namespace wasabivale::entry::test

#endif // WASABIVALE_ENTRY_TESTS_CUTANSWER_H
