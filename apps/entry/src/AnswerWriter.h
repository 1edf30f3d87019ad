/// \file
/// Writes the answer to one request: a stream of server-sent events or one
/// whole body, in the form that its API asks for.

#ifndef WASABIVALE_ENTRY_ANSWERWRITER_H
#define WASABIVALE_ENTRY_ANSWERWRITER_H

#include "Arrival.h"
#include "Rejection.h"
#include "http/http.h"

#include <memory>
#include <string>

namespace wasabivale::entry {

/// An answer as the ledger keeps it.
struct KeptAnswer {
  int m_Status = 200;
  std::string m_ContentType;
  std::string m_Body;
};

/// Exactly one of `finish`, `pass` and `refuse` ends an answer. All calls are
/// harmless after the caller has gone; what is kept for the ledger is still
/// collected then.
class AnswerWriter {
public:
  /// \param Caller null when nobody waits for the answer.
  /// \param KeepBytes how much of a stream is kept for the ledger; zero when
  /// it is not kept.
  AnswerWriter(std::shared_ptr<http::Exchange> Caller, const Arrival &For,
               std::size_t KeepBytes);

  /// Takes the next piece of generated text.
  void piece(std::string_view Text);
  /// Forgets the pieces so far, for a restart. \pre !hasPassed()
  void restart();
  /// Whether the caller has a part of the answer.
  [[nodiscard]] bool hasPassed() const { return m_Started; }

  /// Ends a generated answer that is whole.
  void finish(std::string_view FinishReason, std::uint64_t PromptTokens,
              std::uint64_t OutputTokens);
  /// Passes on a whole answer, from a service or from the ledger.
  void pass(const KeptAnswer &Whole);
  /// Ends with a refusal: as a status, or as an event of a stream that has
  /// begun.
  void refuse(const Rejection &Why);
  /// Drops the caller's connection.
  void drop();

  /// The answer for the ledger. \pre `finish` or `pass` has been called
  [[nodiscard]] const KeptAnswer &kept() const { return m_Kept; }

private:
  void startStream();
  void writeEvent(std::string_view Text);
  void appendChunk(std::string &To, std::string_view Text,
                   std::string_view FinishReason) const;
  [[nodiscard]] std::string wholeBody(std::string_view FinishReason,
                                      std::uint64_t PromptTokens,
                                      std::uint64_t OutputTokens) const;
  void keep(std::string_view Text);

  std::shared_ptr<http::Exchange> m_Caller;
  RequestId m_Request;
  bool m_IsChat;
  bool m_IsStream;
  std::size_t m_KeepBytes;
  std::int64_t m_Created;
  std::string m_ChunkHead; ///< Of each event, up to its text.
  std::string m_Model;
  std::string m_Buffer; ///< Reused for each event.
  std::string m_Text;   ///< Collected, when not streamed.
  KeptAnswer m_Kept;
  bool m_Started = false;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_ANSWERWRITER_H
