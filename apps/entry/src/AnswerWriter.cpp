#include "AnswerWriter.h"

#include "PassedAnswer.h"
#include "Text.h"

#include <ctime>
#include <fmt/format.h>

namespace wasabivale::entry {

namespace {

constexpr const char *StreamType = "text/event-stream";
constexpr const char *JsonType = "application/json";

} // namespace

std::unique_ptr<Answer> makeAnswer(std::shared_ptr<http::Exchange> Caller,
                                   const Arrival &For, std::size_t KeepBytes) {
  if (For.m_Passed)
    return std::make_unique<PassedAnswer>(std::move(Caller), For.m_Id,
                                          For.m_Forwarded.has_value());
  return std::make_unique<AnswerWriter>(std::move(Caller), For, KeepBytes);
}

AnswerWriter::AnswerWriter(std::shared_ptr<http::Exchange> Caller,
                           const Arrival &For, std::size_t KeepBytes)
    : m_Caller(std::move(Caller)), m_Request(For.m_Id),
      m_IsChat(For.m_Api == Api::Chat),
      m_IsStream(For.m_Stream && !For.isService()), m_KeepBytes(KeepBytes),
      m_Created(std::time(nullptr)) {
  appendJsonString(m_Model, For.m_Model);
  m_ChunkHead = fmt::format(
      R"(data: {{"id":"{}","object":"{}","created":{},"model":{},"choices":[{{"index":0,{})",
      m_Request.m_Value, m_IsChat ? "chat.completion.chunk" : "text_completion",
      m_Created, m_Model, m_IsChat ? R"("delta":{"content":)" : R"("text":)");
}

void AnswerWriter::appendChunk(std::string &To, std::string_view Text,
                               std::string_view FinishReason) const {
  To += m_ChunkHead;
  appendJsonString(To, Text);
  To += m_IsChat ? R"(},"finish_reason":)" : R"(,"finish_reason":)";
  if (FinishReason.empty())
    To += "null";
  else
    appendJsonString(To, FinishReason);
  To += "}]}\n\n";
}

void AnswerWriter::head(int, const http::Fields &, const StreamOrigin &) {
  // The head of our own streams does not depend on the target's.
}

void AnswerWriter::startStream() {
  if (m_Started)
    return;
  m_Started = true;
  if (m_Caller != nullptr)
    m_Caller->startStream(200, {{"Content-Type", StreamType},
                                {"Cache-Control", "no-store"},
                                {RequestHeader, m_Request.m_Value}});
}

void AnswerWriter::keep(std::string_view Text) {
  // One byte more than may be kept shows that it was too much.
  if (m_KeepBytes > 0 && m_Kept.m_Body.size() <= m_KeepBytes)
    m_Kept.m_Body += Text;
}

void AnswerWriter::writeEvent(std::string_view Text) {
  startStream();
  if (m_Caller != nullptr)
    m_Caller->write(Text);
}

void AnswerWriter::piece(std::string_view Text) {
  if (!m_IsStream) {
    m_Text += Text;
    return;
  }
  m_Buffer.clear();
  appendChunk(m_Buffer, Text, {});
  writeEvent(m_Buffer);
  keep(m_Buffer);
}

void AnswerWriter::restart() {
  WASABIVALE_INVARIANT(!m_Started);
  m_Text.clear();
  m_Kept.m_Body.clear();
}

std::string AnswerWriter::wholeBody(std::string_view FinishReason,
                                    std::uint64_t PromptTokens,
                                    std::uint64_t OutputTokens) const {
  std::string Body = fmt::format(
      R"({{"id":"{}","object":"{}","created":{},"model":{},"choices":[{{"index":0,)",
      m_Request.m_Value, m_IsChat ? "chat.completion" : "text_completion",
      m_Created, m_Model);
  Body +=
      m_IsChat ? R"("message":{"role":"assistant","content":)" : R"("text":)";
  appendJsonString(Body, m_Text);
  Body += m_IsChat ? R"(},"finish_reason":)" : R"(,"finish_reason":)";
  appendJsonString(Body, FinishReason);
  Body += fmt::format(
      R"(}}],"usage":{{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{}}}}})",
      PromptTokens, OutputTokens, PromptTokens + OutputTokens);
  return Body;
}

void AnswerWriter::finish(std::string_view FinishReason,
                          std::uint64_t PromptTokens,
                          std::uint64_t OutputTokens) {
  if (!m_IsStream) {
    pass({200, JsonType, wholeBody(FinishReason, PromptTokens, OutputTokens)});
    return;
  }
  m_Buffer.clear();
  appendChunk(m_Buffer, {}, FinishReason);
  m_Buffer +=
      fmt::format("data: [DONE]\n\nevent: outcome\ndata: "
                  "{{\"outcome\":\"completed\",\"request\":\"{}\"}}\n\n",
                  m_Request.m_Value);
  writeEvent(m_Buffer);
  keep(m_Buffer);
  m_Kept.m_Status = 200;
  m_Kept.m_ContentType = StreamType;
  if (m_Caller != nullptr)
    m_Caller->finish();
}

void AnswerWriter::pass(const KeptAnswer &Whole) {
  WASABIVALE_INVARIANT(!m_Started);
  m_Kept = Whole;
  if (m_Caller == nullptr)
    return;
  m_Caller->reply(
      Whole.m_Status,
      {{"Content-Type", Whole.m_ContentType},
       {RequestHeader, m_Request.m_Value},
       {OutcomeHeader, std::string(outcomeName(Outcome::Completed))}},
      Whole.m_Body);
}

void AnswerWriter::refuse(const Rejection &Why) {
  if (m_Caller == nullptr)
    return;
  if (!m_Started) {
    replyRejection(*m_Caller, m_Request, Why);
    return;
  }
  m_Caller->write(
      fmt::format("event: error\ndata: {}\n\n", printRejection(Why)));
  m_Caller->finish();
}

void AnswerWriter::drop() {
  if (m_Caller != nullptr)
    m_Caller->abort();
}

} // namespace wasabivale::entry
