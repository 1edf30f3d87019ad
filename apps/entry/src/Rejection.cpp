#include "Rejection.h"

#include "Text.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::entry {

Refusal refusalFromNumber(std::uint32_t Number, Refusal Otherwise) {
  for (std::size_t I = 0; I < refusalCount(); ++I)
    if (refusalAt(I).m_Number == Number)
      return static_cast<Refusal>(Number);
  return Otherwise;
}

Rejection notRun(Refusal Reason, std::string Step, std::string Detail) {
  Rejection Made;
  Made.m_Reason = Reason;
  Made.m_Step = std::move(Step);
  Made.m_Detail = std::move(Detail);
  return Made;
}

std::string printRejection(const Rejection &Value) {
  const RefusalInfo &Info = refusalInfo(Value.m_Reason);
  std::string Text = fmt::format(
      R"({{"error":{{"number":{},"reason":"{}","outcome":"{}","message":)",
      Info.m_Number, Info.m_Name, outcomeName(Value.m_Outcome));
  appendJsonString(Text, Value.m_Detail.empty() ? Info.m_Text : Value.m_Detail);
  Text += R"(,"step":)";
  appendJsonString(Text, Value.m_Step);
  Text += R"(,"peer":)";
  appendJsonString(Text, Value.m_Peer);
  Text += "}}";
  return Text;
}

void replyRejection(http::Exchange &To, const RequestId &Request,
                    const Rejection &Value) {
  const RefusalInfo &Info = refusalInfo(Value.m_Reason);
  http::Headers With = {
      {"Content-Type", "application/json"},
      {OutcomeHeader, std::string(outcomeName(Value.m_Outcome))}};
  if (!Request.empty())
    With[RequestHeader] = Request.m_Value;
  if (Info.m_RetryHelps) {
    const auto After = std::max<std::chrono::seconds>(
        std::chrono::ceil<std::chrono::seconds>(Value.m_RetryAfter),
        DefaultRetryAfter);
    With["Retry-After"] = std::to_string(After.count());
  }
  To.reply(Info.m_HttpStatus, With, printRejection(Value));
}

int promisedStatus(const Rejection &Value) {
  constexpr int BadGateway = 502;
  constexpr int Unavailable = 503;
  constexpr int FirstServerError = 500;
  constexpr int Promises[] = {408, 421, 429, Unavailable};
  // A quarantine ends; the request itself is well formed.
  const int Usual = Value.m_Reason == Refusal::Quarantined
                        ? Unavailable
                        : refusalInfo(Value.m_Reason).m_HttpStatus;
  const bool Promised = std::find(std::begin(Promises), std::end(Promises),
                                  Usual) != std::end(Promises);
  if (Value.m_Outcome != Outcome::NotRun)
    return Promised ? BadGateway : Usual;
  return Usual >= FirstServerError ? Unavailable : Usual;
}

void replyPassedRejection(http::Exchange &To, const RequestId &Request,
                          const Rejection &Value) {
  constexpr double MillisecondsPerSecond = 1000;
  constexpr int FirstServerError = 500;
  const int Status = promisedStatus(Value);
  http::Headers With = {
      {"Content-Type", "application/json"},
      {OutcomeHeader, std::string(outcomeName(Value.m_Outcome))}};
  if (!Request.empty())
    With[RequestHeader] = Request.m_Value;
  if (Value.m_Outcome == Outcome::NotRun && Status >= FirstServerError) {
    const Duration After = Value.m_RetryAfter > Duration(0)
                               ? Value.m_RetryAfter
                               : Duration(DefaultPassedRetryAfter);
    const auto Rounded = std::chrono::ceil<std::chrono::milliseconds>(After);
    With["Retry-After"] = fmt::format(
        "{:.3f}", static_cast<double>(Rounded.count()) / MillisecondsPerSecond);
  }
  To.reply(Status, With, printRejection(Value));
}

http::Response malformedPage(int HttpStatus) {
  constexpr int TooLarge = 413;
  constexpr int HeadersTooLarge = 431;
  constexpr int NotImplemented = 501;
  Rejection Why = notRun(Refusal::MalformedRequest, "arrival.http");
  if (HttpStatus == TooLarge)
    Why = notRun(Refusal::BodyTooLarge, "arrival.http");
  if (HttpStatus == HeadersTooLarge)
    Why = notRun(Refusal::HeaderTooLarge, "arrival.http");
  if (HttpStatus == NotImplemented)
    Why = notRun(Refusal::MethodNotAllowed, "arrival.http");
  http::Response Page;
  Page.m_Status = refusalInfo(Why.m_Reason).m_HttpStatus;
  Page.m_Headers = {{"Content-Type", "application/json"},
                    {OutcomeHeader, std::string(outcomeName(Why.m_Outcome))}};
  Page.m_Body = printRejection(Why);
  return Page;
}

} // namespace wasabivale::entry
