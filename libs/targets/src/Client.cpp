#include "ClientParts.h"

#include <utility>

namespace wasabivale::targets {

namespace {

constexpr int HttpBadRequest = 400;
constexpr int HttpNotFound = 404;
constexpr int HttpConflict = 409;
constexpr int HttpTooMany = 429;
constexpr int HttpUnavailable = 503;
/// The longest text may grow to twice its size by escapes.
constexpr std::size_t MaxAnswerBytes = 2 * MaxTextBytes + MaxLineBytes;

/// Called once with the answer and whether anything was sent.
using OnAnswer = std::function<void(const Result<http::Response> &, bool Sent)>;

/// Collects an answer of at most `MaxAnswerBytes`. Lives in its handlers.
struct Collector {
  OnAnswer m_OnDone;
  std::string m_Body;
  std::weak_ptr<http::ClientCall> m_Call;

  void end(const Result<http::Response> &Answer) {
    const auto Call = m_Call.lock();
    const bool Sent = Call == nullptr || Call->hasSent();
    if (const auto OnDone = std::exchange(m_OnDone, nullptr))
      OnDone(Answer, Sent);
  }

  void take(std::string_view Piece) {
    if (!m_OnDone)
      return;
    if (m_Body.size() + Piece.size() <= MaxAnswerBytes) {
      m_Body += Piece;
      return;
    }
    if (const auto Call = m_Call.lock())
      Call->cancel();
    end(Error{"targets.answer", "", "the answer is too long"});
  }
};

std::shared_ptr<http::ClientCall>
callBounded(event_base *Loop, http::ClientRequest What, OnAnswer OnDone) {
  auto Made = std::make_shared<Collector>();
  Made->m_OnDone = std::move(OnDone);
  http::ClientHandlers Handlers;
  // A cancel in the middle of a piece drops the handlers.
  Handlers.m_OnChunk = [Weak = std::weak_ptr(Made)](std::string_view Piece) {
    if (const auto Held = Weak.lock())
      Held->take(Piece);
  };
  Handlers.m_OnDone = [Made](Result<http::Response> Answer) {
    if (!failed(Answer))
      valueOf(Answer).m_Body.insert(0, Made->m_Body);
    Made->end(Answer);
  };
  auto Call = http::call(Loop, std::move(What), std::move(Handlers));
  Made->m_Call = Call;
  return Call;
}

CallEnding readCallEnding(const Result<http::Response> &Answer, bool Sent,
                          const std::string &Peer) {
  CallEnding Ending;
  if (failed(Answer)) {
    Ending.m_Result = Sent ? CallResult::Unknown : CallResult::NotRun;
    Ending.m_Failure = errorOf(Answer);
    return Ending;
  }
  const http::Response &Got = valueOf(Answer);
  Ending.m_HttpStatus = Got.m_Status;
  if (Got.m_Status == HttpOk) {
    auto Parsed = parseServiceAnswer(Got.m_Body);
    if (failed(Parsed)) {
      Ending.m_Failure = errorOf(Parsed);
    } else {
      Ending.m_Result = CallResult::Answered;
      Ending.m_Answer = std::move(valueOf(Parsed));
    }
  } else {
    if (refusedForNow(Got.m_Status, Got.m_Body))
      Ending.m_Result = CallResult::NotRun;
    else if (refusedForGood(Got.m_Status))
      Ending.m_Result = CallResult::Refused;
    Ending.m_Failure = {"targets.call", "",
                        "the service answered " + std::to_string(Got.m_Status)};
  }
  Ending.m_Failure.m_Peer = Peer;
  return Ending;
}

/// Calls and reads the answer's body by \p Parse.
template <typename T, typename Parser>
std::shared_ptr<http::ClientCall>
callAndParse(event_base *Loop, http::ClientRequest What, Parser Parse,
             std::function<void(Result<T>)> OnEnd) {
  const std::string Peer = http::printAddress(What.m_To);
  return callBounded(Loop, std::move(What),
                     [Parse, Peer, OnEnd = std::move(OnEnd)](
                         const Result<http::Response> &Answer, bool) {
                       Result<T> Read = failed(Answer)
                                            ? Result<T>(errorOf(Answer))
                                            : Parse(valueOf(Answer));
                       if (failed(Read))
                         std::get<Error>(Read).m_Peer = Peer;
                       OnEnd(std::move(Read));
                     });
}

} // namespace

http::ClientRequest post(const http::Address &To, std::string Path,
                         std::string Body, TimePoint Deadline) {
  http::ClientRequest What;
  What.m_To = To;
  What.m_Path = std::move(Path);
  What.m_Headers = {{"Content-Type", "application/json"}};
  What.m_Body = std::move(Body);
  What.m_Deadline = Deadline;
  return What;
}

bool refusedForGood(int HttpStatus) {
  return HttpStatus == HttpBadRequest || HttpStatus == HttpNotFound ||
         HttpStatus == HttpConflict;
}

bool refusedForNow(int HttpStatus, std::string_view Body) {
  return (HttpStatus == HttpTooMany || HttpStatus == HttpUnavailable) &&
         saysNotRun(Body);
}

std::shared_ptr<http::ClientCall>
callService(event_base *Loop, const http::Address &Service,
            const ServiceCall &What, TimePoint Deadline,
            std::function<void(CallEnding)> OnEnd) {
  return callBounded(
      Loop, post(Service, "/service/v1/call", print(What), Deadline),
      [Peer = http::printAddress(Service), OnEnd = std::move(OnEnd)](
          const Result<http::Response> &Answer, bool Sent) {
        OnEnd(readCallEnding(Answer, Sent, Peer));
      });
}

std::shared_ptr<http::ClientCall>
cancelRun(event_base *Loop, const http::Address &Engine,
          const RequestId &Request, TimePoint Deadline,
          std::function<void(Result<bool>)> OnEnd) {
  return callAndParse<bool>(
      Loop, post(Engine, "/engine/v1/cancel", printCancel(Request), Deadline),
      [](const http::Response &Got) { return parseCancelAnswer(Got.m_Body); },
      std::move(OnEnd));
}

std::shared_ptr<http::ClientCall>
getState(event_base *Loop, const http::Address &Target, TimePoint Deadline,
         std::function<void(Result<TargetState>)> OnEnd) {
  http::ClientRequest What = post(Target, "/target/v1/state", "", Deadline);
  What.m_Method = "GET";
  What.m_Headers.clear();
  return callAndParse<TargetState>(
      Loop, std::move(What),
      [](const http::Response &Got) -> Result<TargetState> {
        if (Got.m_Status != HttpOk)
          return Error{"targets.state", "", "unexpected status"};
        return parseTargetState(Got.m_Body);
      },
      std::move(OnEnd));
}

std::shared_ptr<http::ClientCall>
sendOrder(event_base *Loop, const http::Address &Target, const Order &What,
          TimePoint Deadline, std::function<void(Result<OrderAnswer>)> OnEnd) {
  return callAndParse<OrderAnswer>(
      Loop, post(Target, "/target/v1/orders", print(What), Deadline),
      [](const http::Response &Got) {
        return parseOrderAnswer(Got.m_Status, Got.m_Body);
      },
      std::move(OnEnd));
}

} // namespace wasabivale::targets
