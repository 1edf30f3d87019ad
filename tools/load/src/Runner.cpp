#include "Runner.h"

#include <fmt/format.h>

namespace wasabivale::load {

namespace {

using namespace std::chrono_literals;
using settings::Json;

/// How often due requests are looked for.
constexpr std::chrono::milliseconds TickLength{1};
/// A resend follows its request after this.
constexpr std::chrono::milliseconds ResendDelay{200};
/// A call is given up this long after its deadline.
constexpr std::chrono::seconds Grace{5};

std::string bodyOf(const Stream &Of, const Call &What) {
  if (!Of.m_Service.empty())
    return Json{{"text", What.m_Prompt}}.dump();
  return Json{{"model", Of.m_Model},
              {"prompt", What.m_Prompt},
              {"max_tokens", What.m_MaxTokens},
              {"stream", Of.m_Streaming}}
      .dump();
}

http::Headers headersOf(const Stream &Of, const Call &What) {
  http::Headers Made{
      {"Content-Type", "application/json"},
      {"Wasabivale-Deadline-Ms", std::to_string(Of.m_Deadline.count())},
      {"Wasabivale-Priority", std::to_string(Of.m_Priority)}};
  if (!Of.m_Key.empty())
    Made["Authorization"] = "Bearer " + Of.m_Key;
  if (!What.m_IdempotencyKey.empty()) {
    Made["Wasabivale-Not-Repeatable"] = "true";
    Made["Idempotency-Key"] = What.m_IdempotencyKey;
  }
  return Made;
}

std::optional<Outcome> outcomeIn(const http::Headers &In) {
  std::string_view Name = http::header(In, "wasabivale-outcome");
  for (Outcome Each : {Outcome::Completed, Outcome::NotRun, Outcome::Unknown})
    if (outcomeName(Each) == Name)
      return Each;
  return std::nullopt;
}

/// A service's answer is whole when it came with its outcome.
Verdict judgeService(const Answer &Read) {
  if (Read.m_Refusal != 0)
    return Verdict::Refused;
  return Read.m_Outcome == Outcome::Completed ? Verdict::Whole
                                              : Verdict::Broken;
}

} // namespace

/// A call that has been sent.
struct Runner::Open {
  Call m_Call;
  bool m_IsResend = false;
  bool m_IsEvents = false;
  Duration m_FirstByte{0};
  Answer m_Answer;
  std::string m_Body; ///< Of what is not a stream of events.
};

Runner::Runner(daemon::EventLoop &Loop, const Plan &Of, std::string RunName)
    : m_Loop(Loop), m_Plan(Of), m_Source(makeSource(Of, std::move(RunName))),
      m_Tally(makeTally(Of)) {}

std::chrono::nanoseconds Runner::elapsed() const {
  return BootClock::now() - m_Start;
}

void Runner::start() {
  m_Start = BootClock::now();
  m_Next = nextCall(m_Source);
  m_Tick = std::make_unique<http::Timer>(m_Loop.base(), TickLength, true,
                                         [this] { sendDue(); });
  m_Progress = std::make_unique<http::Timer>(m_Loop.base(), 1000ms, true,
                                             [this] { reportProgress(); });
}

void Runner::stop() {
  m_Tally.m_Unanswered = m_Tally.m_Open;
  m_Tick.reset();
  m_Progress.reset();
  m_Loop.end();
}

void Runner::sendDue() {
  while (m_Next && m_Next->m_At <= elapsed()) {
    send(*m_Next, false);
    m_Next = nextCall(m_Source);
  }
  while (!m_Resends.empty() && m_Resends.begin()->first <= elapsed()) {
    Call Again = std::move(m_Resends.begin()->second);
    m_Resends.erase(m_Resends.begin());
    send(Again, true);
  }
  bool Sending = m_Next || !m_Resends.empty();
  bool Drained = elapsed() > m_Plan.m_Length + m_Plan.m_Drain;
  if (!Sending && (m_Tally.m_Open == 0 || Drained))
    stop();
}

void Runner::scheduleResend(const Call &What) {
  Call Again = What;
  Again.m_At = What.m_At + ResendDelay;
  Again.m_Resends = false;
  m_Resends.emplace(Again.m_At, std::move(Again));
}

void Runner::send(const Call &What, bool IsResend) {
  const Stream &Of = m_Plan.m_Streams[What.m_Stream];
  auto Sent = std::make_shared<Open>();
  Sent->m_Call = What;
  Sent->m_IsResend = IsResend;
  noteSent(m_Tally, What.m_Stream);
  if (What.m_Resends)
    scheduleResend(What);

  http::ClientRequest Request;
  Request.m_To = m_Plan.m_Entries[m_NextEntry++ % m_Plan.m_Entries.size()];
  Request.m_Path =
      Of.m_Service.empty() ? "/v1/completions" : "/v1/services/" + Of.m_Service;
  Request.m_Headers = headersOf(Of, What);
  Request.m_Body = bodyOf(Of, What);
  Request.m_Deadline = m_Start + What.m_At + Of.m_Deadline + Grace;

  http::ClientHandlers Handlers;
  Handlers.m_OnHead = [Sent](int, const http::Headers &With) {
    Sent->m_Answer.m_Outcome = outcomeIn(With);
    Sent->m_IsEvents =
        http::header(With, "content-type").starts_with("text/event-stream");
  };
  Handlers.m_OnChunk = [this, Sent](std::string_view Piece) {
    if (Sent->m_FirstByte == Duration{0})
      Sent->m_FirstByte = elapsed() - Sent->m_Call.m_At;
    if (Sent->m_IsEvents)
      readEvents(Sent->m_Answer, Piece);
    else
      Sent->m_Body += Piece;
  };
  Handlers.m_OnDone = [this, Sent](Result<http::Response> How) {
    finish(Sent, std::move(How));
  };
  http::call(m_Loop.base(), std::move(Request), std::move(Handlers));
}

void Runner::finish(const std::shared_ptr<Open> &Of,
                    Result<http::Response> How) {
  const Call &What = Of->m_Call;
  const Stream &From = m_Plan.m_Streams[What.m_Stream];
  Answer &Read = Of->m_Answer;
  if (!Of->m_IsEvents && !failed(How))
    readWhole(Read, Of->m_Body);
  Ending Made;
  Made.m_Stream = What.m_Stream;
  Made.m_FirstByte = Of->m_FirstByte;
  Made.m_Total = elapsed() - What.m_At;
  Made.m_InTime = Made.m_Total <= From.m_Deadline;
  Made.m_Outcome = Read.m_Outcome;
  Made.m_Reason = failed(How) ? errorOf(How).m_Step : Read.m_RefusalName;
  Made.m_Verdict = From.m_Service.empty()
                       ? judge(Read, What.m_Prompt, What.m_MaxTokens)
                       : judgeService(Read);
  noteEnded(m_Tally, Made);
  if (Made.m_Verdict == Verdict::Whole)
    compareResend(*Of);
}

void Runner::compareResend(const Open &Of) {
  const std::string &Key = Of.m_Call.m_IdempotencyKey;
  bool IsPair = Of.m_IsResend || Of.m_Call.m_Resends;
  if (Key.empty() || !IsPair)
    return;
  const std::string &Text = Of.m_IsEvents ? Of.m_Answer.m_Text : Of.m_Body;
  auto [Found, IsFirst] = m_KeptAnswers.emplace(Key, Text);
  if (IsFirst)
    return;
  if (Found->second != Text)
    ++m_Tally.m_ResendsDiffer;
  m_KeptAnswers.erase(Found);
}

void Runner::reportProgress() {
  fmt::print(stderr, "{}\n",
             progressLine(
                 m_Tally,
                 std::chrono::duration_cast<std::chrono::seconds>(elapsed())));
}

} // namespace wasabivale::load
