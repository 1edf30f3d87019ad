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
  http::Fields m_Fields = {}; ///< As the target sent them; never kept.
};

/// Exactly one of `finish`, `pass` and `refuse` ends an answer. All calls are
/// harmless after the caller has gone; what is kept for the ledger is still
/// collected then.
class Answer {
public:
  virtual ~Answer() = default;
  /// Takes the head of a target's stream, to be passed on with the first piece.
  virtual void head(int Status, const http::Fields &Fields,
                    const StreamOrigin &Origin) = 0;
  /// Takes the next piece of a stream.
  virtual void piece(std::string_view Text) = 0;
  /// Forgets the pieces so far, for a restart. \pre !hasPassed()
  virtual void restart() = 0;
  /// Whether the caller has a part of the answer.
  [[nodiscard]] virtual bool hasPassed() const = 0;
  /// Ends a stream that is whole.
  virtual void finish(std::string_view FinishReason, std::uint64_t PromptTokens,
                      std::uint64_t OutputTokens) = 0;
  /// Passes on a whole answer, from a target or from the ledger.
  virtual void pass(const KeptAnswer &Whole) = 0;
  /// Ends with a refusal.
  virtual void refuse(const Rejection &Why) = 0;
  /// Drops the caller's connection.
  virtual void drop() = 0;
  /// The answer for the ledger. \pre `finish` or `pass` has been called
  [[nodiscard]] virtual const KeptAnswer &kept() const = 0;
};

/// The answer in the form that the request asks for.
/// \param KeepBytes how much of it is kept for the ledger; zero: nothing.
std::unique_ptr<Answer> makeAnswer(std::shared_ptr<http::Exchange> Caller,
                                   const Arrival &For, std::size_t KeepBytes);

/// Answers with generated text in the form of one of our own APIs.
class AnswerWriter final : public Answer {
public:
  /// \param Caller null when nobody waits for the answer.
  /// \param KeepBytes how much of a stream is kept for the ledger; zero when
  /// it is not kept.
  AnswerWriter(std::shared_ptr<http::Exchange> Caller, const Arrival &For,
               std::size_t KeepBytes);

  void head(int Status, const http::Fields &Fields,
            const StreamOrigin &Origin) override;
  void piece(std::string_view Text) override;
  void restart() override;
  [[nodiscard]] bool hasPassed() const override { return m_Started; }
  void finish(std::string_view FinishReason, std::uint64_t PromptTokens,
              std::uint64_t OutputTokens) override;
  void pass(const KeptAnswer &Whole) override;
  /// As a status, or as an event of a stream that has begun.
  void refuse(const Rejection &Why) override;
  void drop() override;
  [[nodiscard]] const KeptAnswer &kept() const override { return m_Kept; }

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
