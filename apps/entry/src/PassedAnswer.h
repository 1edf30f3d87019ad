/// \file
/// Passes a target's answer on, unchanged.

#ifndef WASABIVALE_ENTRY_PASSEDANSWER_H
#define WASABIVALE_ENTRY_PASSEDANSWER_H

#include "AnswerWriter.h"

namespace wasabivale::entry {

class PassedAnswer final : public Answer {
public:
  /// \param IsForwarded the caller is an entry, which is told more than a
  /// caller is.
  PassedAnswer(std::shared_ptr<http::Exchange> Caller, RequestId Request,
               bool IsForwarded)
      : m_Caller(std::move(Caller)), m_Request(std::move(Request)),
        m_IsForwarded(IsForwarded) {}

  void head(int Status, const http::Fields &Fields,
            const StreamOrigin &Origin) override;
  void piece(std::string_view Text) override;
  void restart() override;
  [[nodiscard]] bool hasPassed() const override { return m_Started; }
  void finish(std::string_view FinishReason, std::uint64_t PromptTokens,
              std::uint64_t OutputTokens) override;
  /// A stream that has begun is broken off, as by `refuse`.
  void pass(const KeptAnswer &Whole) override;
  /// A stream that has begun is broken off: its end would look complete.
  void refuse(const Rejection &Why) override;
  void drop() override;
  [[nodiscard]] const KeptAnswer &kept() const override { return m_Kept; }

private:
  void start();
  [[nodiscard]] http::Fields answerFields(const http::Fields &Target,
                                          const StreamOrigin &Origin) const;

  std::shared_ptr<http::Exchange> m_Caller;
  RequestId m_Request;
  bool m_IsForwarded;
  KeptAnswer m_Kept; ///< Never filled: plain requests are not kept.
  int m_Status = 0;
  http::Fields m_Fields;
  bool m_Started = false; ///< Only events may follow.
  bool m_Ended = false;   ///< Nothing may follow.
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_PASSEDANSWER_H
