#include "Fields.h"

#include <algorithm>

namespace wasabivale::targets {

namespace {

constexpr auto Required = Presence::Required;
constexpr auto Optional = Presence::Optional;

constexpr std::uint64_t MaxPriority = 9;
/// Longest time left that a request may carry: a day.
constexpr std::uint64_t MaxDeadlineMs = 86'400'000;
/// Time left of a request that names none.
constexpr std::uint64_t DefaultDeadlineMs = 60'000;
constexpr std::uint64_t LowestHttpStatus = 100;
constexpr std::uint64_t HighestHttpStatus = 599;

StreamEvent readEnd(Fields &In) {
  StreamEnd End;
  In.number("length", End.m_Length, Required, MaxStreamTokens);
  In.text("finish", End.m_Finish, Required);
  if (!In.bad() && End.m_Finish != "stop" && End.m_Finish != "length")
    In.refuse("finish", "stop or length");
  In.number("cached_blocks", End.m_CachedBlocks, Optional);
  In.text("kv_ticket", End.m_KvTicket, Optional);
  if (!End.m_KvTicket.empty() && failed(parseKvTicket(End.m_KvTicket)))
    In.refuse("kv_ticket", "ip:port/ticket");
  return End;
}

StreamEvent readPiece(Fields &In, std::uint64_t Offset) {
  StreamPiece Piece;
  Piece.m_Offset = Offset;
  In.text("text", Piece.m_Text, Required, MaxLineBytes);
  In.number("tokens", Piece.m_Tokens, Required, MaxStreamTokens);
  if (!In.bad() && Piece.m_Tokens == 0)
    In.refuse("tokens", "at least 1");
  return Piece;
}

} // namespace

Result<RunRequest> parseRunRequest(std::string_view Text, TimePoint Now) {
  RunRequest Made;
  Fields In(Text, "targets.run");
  In.text("request", Made.m_Request, Required);
  In.text("model", Made.m_Model, Required);
  In.text("prompt", Made.m_Prompt, Required, MaxTextBytes);
  In.number("max_tokens", Made.m_MaxTokens, Required, MaxStreamTokens);
  In.number("priority", Made.m_Priority, Optional, MaxPriority);
  In.number("offset", Made.m_Offset, Optional, MaxStreamTokens);
  In.text("stream_id", Made.m_StreamId, Required);
  std::uint64_t Left = DefaultDeadlineMs;
  In.number("deadline_ms", Left, Optional, MaxDeadlineMs);
  Made.m_Deadline = Now + std::chrono::milliseconds(Left);
  In.text("kv_ticket", Made.m_KvTicket, Optional);
  In.flag("prefill_only", Made.m_PrefillOnly, Optional);
  return In.finish(Made);
}

std::string print(const RunRequest &Value, TimePoint Now) {
  const auto Left = std::chrono::floor<std::chrono::milliseconds>(
      std::max(Value.m_Deadline - Now, Duration(0)));
  const auto LeftMs =
      std::min(static_cast<std::uint64_t>(Left.count()), MaxDeadlineMs);
  Json Made{
      {"request", Value.m_Request.m_Value}, {"model", Value.m_Model.m_Value},
      {"prompt", Value.m_Prompt},           {"max_tokens", Value.m_MaxTokens},
      {"priority", Value.m_Priority},       {"offset", Value.m_Offset},
      {"stream_id", Value.m_StreamId},      {"deadline_ms", LeftMs},
      {"prefill_only", Value.m_PrefillOnly}};
  if (!Value.m_KvTicket.empty())
    Made["kv_ticket"] = Value.m_KvTicket;
  return dump(Made);
}

Result<StreamLine> parseStreamLine(std::string_view Text) {
  StreamLine Made;
  Fields In(Text, "targets.stream");
  In.text("stream", Made.m_StreamId, Required);
  std::uint64_t Offset = 0;
  In.number("offset", Offset, Required, MaxStreamTokens);
  bool Resumed = false;
  bool End = false;
  In.flag("resumed", Resumed, Optional);
  In.flag("end", End, Optional);
  if (Resumed)
    Made.m_Event = StreamResumed{Offset};
  else if (End)
    Made.m_Event = readEnd(In);
  else
    Made.m_Event = readPiece(In, Offset);
  if (const auto *Marker = std::get_if<StreamEnd>(&Made.m_Event))
    if (!In.bad() && Marker->m_Length != Offset)
      In.refuse("length", "the offset of the end marker");
  return In.finish(std::move(Made));
}

std::string print(const StreamLine &Value) {
  Json Made{{"stream", Value.m_StreamId}};
  if (const auto *Resumed = std::get_if<StreamResumed>(&Value.m_Event)) {
    Made["offset"] = Resumed->m_Offset;
    Made["resumed"] = true;
  } else if (const auto *Piece = std::get_if<StreamPiece>(&Value.m_Event)) {
    Made["offset"] = Piece->m_Offset;
    Made["tokens"] = Piece->m_Tokens;
    Made["text"] = Piece->m_Text;
  } else {
    const auto &End = std::get<StreamEnd>(Value.m_Event);
    Made["offset"] = End.m_Length;
    Made["end"] = true;
    Made["length"] = End.m_Length;
    Made["finish"] = End.m_Finish;
    Made["cached_blocks"] = End.m_CachedBlocks;
    if (!End.m_KvTicket.empty())
      Made["kv_ticket"] = End.m_KvTicket;
  }
  return dump(Made);
}

Result<RequestId> parseCancel(std::string_view Text) {
  RequestId Request;
  Fields In(Text, "targets.cancel");
  In.text("request", Request, Required);
  return In.finish(std::move(Request));
}

std::string printCancel(const RequestId &Request) {
  return dump({{"request", Request.m_Value}});
}

Result<bool> parseCancelAnswer(std::string_view Text) {
  bool Cancelled = false;
  Fields In(Text, "targets.cancel_answer");
  In.flag("cancelled", Cancelled, Required);
  return In.finish(Cancelled);
}

std::string printCancelAnswer(bool Cancelled) {
  return dump({{"cancelled", Cancelled}});
}

Result<ServiceCall> parseServiceCall(std::string_view Text) {
  ServiceCall Made;
  Fields In(Text, "targets.call");
  In.text("request", Made.m_Request, Required);
  In.text("service", Made.m_Service, Required);
  In.text("method", Made.m_Method, Required);
  In.text("path", Made.m_Path, Required, MaxTextBytes);
  In.text("body", Made.m_Body, Required, MaxTextBytes);
  In.flag("not_repeatable", Made.m_NotRepeatable, Required);
  In.text("idempotency_key", Made.m_IdempotencyKey, Optional);
  return In.finish(std::move(Made));
}

std::string print(const ServiceCall &Value) {
  Json Made{{"request", Value.m_Request.m_Value},
            {"service", Value.m_Service},
            {"method", Value.m_Method},
            {"path", Value.m_Path},
            {"body", Value.m_Body},
            {"not_repeatable", Value.m_NotRepeatable}};
  if (!Value.m_IdempotencyKey.empty())
    Made["idempotency_key"] = Value.m_IdempotencyKey;
  return dump(Made);
}

Result<ServiceAnswer> parseServiceAnswer(std::string_view Text) {
  ServiceAnswer Made;
  Fields In(Text, "targets.call_answer");
  std::uint64_t Status = 0;
  In.number("status", Status, Required, HighestHttpStatus);
  if (!In.bad() && Status < LowestHttpStatus)
    In.refuse("status", "an HTTP status");
  Made.m_Status = static_cast<int>(Status);
  In.text("body", Made.m_Body, Required, MaxTextBytes);
  In.text("content_type", Made.m_ContentType, Optional);
  // It becomes a header of the answer to a caller.
  if (Made.m_ContentType.find_first_of("\r\n") != std::string::npos)
    In.refuse("content_type", "one line");
  return In.finish(std::move(Made));
}

std::string print(const ServiceAnswer &Value) {
  return dump({{"status", Value.m_Status},
               {"body", Value.m_Body},
               {"content_type", Value.m_ContentType}});
}

Result<KvTicket> parseKvTicket(std::string_view Text) {
  const Error Malformed{"targets.kv_ticket", "", "expected ip:port/ticket"};
  const std::size_t Slash = Text.find('/');
  if (Text.size() > MaxNameBytes || Slash == std::string_view::npos)
    return Malformed;
  auto Engine = http::parseAddress(Text.substr(0, Slash));
  const std::string_view Ticket = Text.substr(Slash + 1);
  const bool Plain = std::all_of(Ticket.begin(), Ticket.end(), [](char Byte) {
    return (Byte >= '0' && Byte <= '9') || (Byte >= 'a' && Byte <= 'z') ||
           (Byte >= 'A' && Byte <= 'Z') || Byte == '-' || Byte == '_';
  });
  if (failed(Engine) || Ticket.empty() || !Plain)
    return Malformed;
  return KvTicket{valueOf(Engine), std::string(Ticket)};
}

std::string print(const KvTicket &Value) {
  return http::printAddress(Value.m_Engine) + "/" + Value.m_Ticket;
}

std::string printRefusal(std::string_view Reason, bool NotRun) {
  return dump({{"reason", Reason}, {"not_run", NotRun}});
}

bool saysNotRun(std::string_view Text) {
  bool NotRun = false;
  Fields In(Text, "targets.refusal");
  In.flag("not_run", NotRun, Required);
  return !In.bad() && NotRun;
}

} // namespace wasabivale::targets
