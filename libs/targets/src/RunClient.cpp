#include "ClientParts.h"

#include <utility>

namespace wasabivale::targets {

namespace {

/// Collects the answer to one run. Lives in the handlers of its call.
struct RunState {
  RunHandlers m_Handlers;
  StreamReader m_Reader;
  std::string m_Peer;
  std::string m_Refusal; ///< Body of an answer other than 200.
  std::weak_ptr<http::ClientCall> m_Call;
  RunEnding m_Ending;
  bool m_Ended = false;
};

/// Ends its run with the call, so that no piece that has already arrived
/// follows a `cancel`.
class RunCall final : public http::ClientCall {
public:
  RunCall(std::shared_ptr<RunState> Run, std::shared_ptr<ClientCall> Call)
      : m_Run(std::move(Run)), m_Call(std::move(Call)) {}

  [[nodiscard]] bool hasSent() const override { return m_Call->hasSent(); }
  [[nodiscard]] bool isReused() const override { return m_Call->isReused(); }
  void cancel() override {
    m_Run->m_Ended = true;
    m_Call->cancel();
  }
  void pause() override { m_Call->pause(); }
  void resume() override { m_Call->resume(); }

private:
  std::shared_ptr<RunState> m_Run;
  std::shared_ptr<http::ClientCall> m_Call;
};

void endRun(RunState &Run, RunResult How, Error Failure) {
  if (std::exchange(Run.m_Ended, true))
    return;
  Run.m_Ending.m_Result = How;
  Run.m_Ending.m_Offset = Run.m_Reader.offset();
  Run.m_Ending.m_Duplicates = Run.m_Reader.duplicates();
  Run.m_Ending.m_Failure = std::move(Failure);
  Run.m_Ending.m_Failure.m_Peer = Run.m_Peer;
  if (const auto OnEnd = std::exchange(Run.m_Handlers, {}).m_OnEnd)
    OnEnd(std::move(Run.m_Ending));
}

void takePieces(RunState &Run, std::string_view Bytes) {
  std::vector<StreamEvent> Events;
  const Status Fed = Run.m_Reader.feed(Bytes, Events);
  for (StreamEvent &Event : Events) {
    if (auto *End = std::get_if<StreamEnd>(&Event))
      Run.m_Ending.m_End = std::move(*End);
    const auto *Piece = std::get_if<StreamPiece>(&Event);
    if (Run.m_Ended)
      return;
    if (Piece != nullptr && Run.m_Handlers.m_OnPiece)
      Run.m_Handlers.m_OnPiece(*Piece);
  }
  if (!failed(Fed))
    return;
  if (const auto Call = Run.m_Call.lock())
    Call->cancel();
  endRun(Run, RunResult::Broken, errorOf(Fed));
}

void takeChunk(RunState &Run, std::string_view Bytes) {
  if (Run.m_Ended)
    return;
  if (Run.m_Ending.m_HttpStatus == HttpOk)
    return takePieces(Run, Bytes);
  if (Run.m_Refusal.size() + Bytes.size() <= MaxLineBytes)
    Run.m_Refusal += Bytes;
}

void endCall(RunState &Run, const Result<http::Response> &Answer) {
  const auto Call = Run.m_Call.lock();
  const bool Sent = Call == nullptr || Call->hasSent();
  if (failed(Answer)) {
    if (Run.m_Reader.isWhole())
      return endRun(Run, RunResult::Whole, {});
    return endRun(Run, Sent ? RunResult::Broken : RunResult::NotRun,
                  errorOf(Answer));
  }
  const int HttpStatus = valueOf(Answer).m_Status;
  Run.m_Ending.m_HttpStatus = HttpStatus;
  const Error Refusal{"targets.run", "",
                      "the engine answered " + std::to_string(HttpStatus)};
  if (HttpStatus == HttpOk && Run.m_Reader.isWhole())
    return endRun(Run, RunResult::Whole, {});
  if (HttpStatus == HttpOk)
    return endRun(Run, RunResult::Broken,
                  {"targets.run", "", "the stream ended without its marker"});
  if (refusedForNow(HttpStatus, Run.m_Refusal))
    return endRun(Run, RunResult::NotRun, Refusal);
  endRun(Run,
         refusedForGood(HttpStatus) ? RunResult::Refused : RunResult::Broken,
         Refusal);
}

} // namespace

std::shared_ptr<http::ClientCall> runOnEngine(event_base *Loop,
                                              const http::Address &Engine,
                                              const RunRequest &What,
                                              RunHandlers Handlers) {
  auto Run = std::make_shared<RunState>(
      RunState{std::move(Handlers),
               StreamReader(What.m_StreamId, What.m_Offset, What.m_MaxTokens),
               http::printAddress(Engine),
               {},
               {},
               {},
               false});
  http::ClientHandlers Inner;
  Inner.m_OnHead = [Run](int HttpStatus, const http::Headers &) {
    Run->m_Ending.m_HttpStatus = HttpStatus;
    if (HttpStatus == HttpOk && Run->m_Handlers.m_OnStarted)
      Run->m_Handlers.m_OnStarted();
  };
  // A cancel in the middle of a piece drops the handlers.
  Inner.m_OnChunk = [Weak = std::weak_ptr(Run)](std::string_view Bytes) {
    if (const auto Held = Weak.lock())
      takeChunk(*Held, Bytes);
  };
  Inner.m_OnDone = [Run](const Result<http::Response> &Answer) {
    // A body that is not chunked may come whole with the end.
    if (!failed(Answer))
      takeChunk(*Run, valueOf(Answer).m_Body);
    endCall(*Run, Answer);
  };
  auto Call = http::call(Loop,
                         post(Engine, "/engine/v1/run",
                              print(What, BootClock::now()), What.m_Deadline),
                         std::move(Inner));
  Run->m_Call = Call;
  return std::make_shared<RunCall>(Run, Call);
}

} // namespace wasabivale::targets
