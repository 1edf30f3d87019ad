#include "EngineWork.h"

#include <algorithm>

namespace wasabivale::faketargets {

namespace {

constexpr int HttpBadRequest = 400;
constexpr int HttpNotFound = 404;
constexpr int HttpTooMany = 429;
constexpr int HttpUnavailable = 503;

enginemodel::Role toModel(targets::Role From) {
  switch (From) {
  case targets::Role::Mixed:
    return enginemodel::Role::Mixed;
  case targets::Role::Prefill:
    return enginemodel::Role::Prefill;
  case targets::Role::Decode:
    return enginemodel::Role::Decode;
  }
  return enginemodel::Role::Mixed;
}

nlohmann::json detailsOf(const targets::RunRequest &What) {
  return {{"request", What.m_Request.m_Value},
          {"stream", What.m_StreamId},
          {"offset", What.m_Offset},
          {"prompt_digest", digestHex(What.m_Prompt)}};
}

} // namespace

EngineWork::EngineWork(Life &Of)
    : m_Life(Of),
      m_Model(enginemodel::makeEngine(Of.m_Shared.m_Settings.m_Model,
                                      toModel(Of.m_Self.m_Role),
                                      BootClock::now())) {
  m_Model.m_ReportsTokens = true;
}

void EngineWork::run(const std::shared_ptr<http::Exchange> &From,
                     bool Accepts) {
  auto Parsed =
      targets::parseRunRequest(From->request().m_Body, BootClock::now());
  if (failed(Parsed))
    return refuse(*From, HttpBadRequest, errorOf(Parsed).m_Message, true);
  targets::RunRequest &What = valueOf(Parsed);
  if (!Accepts || useFault(m_Life.m_Faults.m_Refuse))
    return refuse(*From, HttpUnavailable, "draining", true);
  const auto &Models = m_Life.m_Self.m_Models;
  if (std::find(Models.begin(), Models.end(), What.m_Model) == Models.end())
    return refuse(*From, HttpNotFound, "model_not_loaded", true);
  if (useFault(m_Life.m_Faults.m_Stall)) {
    m_Life.note("run_stalled", detailsOf(What));
    m_Stalled.push_back(From);
    return;
  }
  if (!useFault(m_Life.m_Faults.m_Late))
    return begin(From, std::move(What));
  callLater(m_Life.m_Shared.m_Loop, m_Life.m_Faults.m_LateBy, m_Alive,
            [this, From, What] { begin(From, What); });
}

void EngineWork::begin(const std::shared_ptr<http::Exchange> &From,
                       targets::RunRequest What) {
  if (What.m_KvTicket.empty())
    return submit(From, std::move(What), false);
  fetchKv(From, What);
}

void EngineWork::fetchKv(const std::shared_ptr<http::Exchange> &From,
                         const targets::RunRequest &What) {
  const auto Ticket = targets::parseKvTicket(What.m_KvTicket);
  if (failed(Ticket))
    return refuse(*From, HttpBadRequest, "kv_ticket", true);
  http::ClientRequest Fetch;
  Fetch.m_To = valueOf(Ticket).m_Engine;
  Fetch.m_Method = "GET";
  Fetch.m_Path = "/engine/v1/kv/" + valueOf(Ticket).m_Ticket;
  Fetch.m_Deadline = What.m_Deadline;
  http::ClientHandlers Handlers;
  Handlers.m_OnDone = [this, From, What, Alive = std::weak_ptr<void>(m_Alive)](
                          const Result<http::Response> &Got) {
    // Without the blocks the prompt is prefilled here.
    const bool Fetched = !failed(Got) && valueOf(Got).m_Status == 200;
    if (Alive.lock())
      submit(From, What, Fetched);
  };
  http::call(m_Life.m_Shared.m_Loop, std::move(Fetch), std::move(Handlers));
}

void EngineWork::submit(const std::shared_ptr<http::Exchange> &From,
                        targets::RunRequest What, bool ImportsKv) {
  enginemodel::Run Made;
  Made.m_Key = ++m_LastKey;
  Made.m_PromptTokens = enginemodel::tokensOf(What.m_Prompt) + What.m_Offset;
  Made.m_OutputTokens = What.m_PrefillOnly || What.m_Offset >= What.m_MaxTokens
                            ? 0
                            : What.m_MaxTokens - What.m_Offset;
  Made.m_Priority = What.m_Priority;
  Made.m_Blocks = enginemodel::blockHashes(What.m_Model.m_Value, What.m_Prompt);
  Made.m_ImportsKv = ImportsKv;
  const enginemodel::RunKey Key = Made.m_Key;
  switch (enginemodel::submit(m_Model, std::move(Made), BootClock::now())) {
  case enginemodel::SubmitResult::Taken:
    return startStream(Key, {std::move(What), From});
  case enginemodel::SubmitResult::Away:
    return refuse(*From, HttpUnavailable, "changing", true);
  case enginemodel::SubmitResult::Full:
    return refuse(*From, HttpTooMany, "full", true);
  case enginemodel::SubmitResult::TooLarge:
    return refuse(*From, HttpBadRequest, "too_large", true);
  }
}

void EngineWork::startStream(enginemodel::RunKey Key, Stream Made) {
  m_Life.note("run_started", detailsOf(Made.m_Request));
  http::Exchange &To = *Made.m_To;
  const targets::RunRequest &What = Made.m_Request;
  To.startStream(200, {{"Content-Type", "application/x-ndjson"}});
  if (What.m_Offset > 0)
    To.write(print(targets::StreamLine{What.m_StreamId,
                                       targets::StreamResumed{What.m_Offset}}) +
             "\n");
  To.onGone([this, Key, Alive = std::weak_ptr<void>(m_Alive)] {
    if (Alive.lock())
      callLater(m_Life.m_Shared.m_Loop, std::chrono::milliseconds(0), m_Alive,
                [this, Key] { dropStream(Key, "run_cancelled"); });
  });
  m_Streams.emplace(Key, std::move(Made));
}

void EngineWork::turn(TimePoint Now) {
  if (m_Streams.empty() && !m_Model.m_Away)
    return;
  for (const enginemodel::Event &Event : enginemodel::advance(m_Model, Now))
    take(Event);
  dropLateStreams(Now);
}

void EngineWork::take(const enginemodel::Event &What) {
  using enginemodel::EventKind;
  if (What.m_Kind == EventKind::CacheAdded ||
      What.m_Kind == EventKind::CacheRemoved) {
    m_CacheEvents.push_back(
        {What.m_At,
         {++m_LastCacheEvent, What.m_Kind == EventKind::CacheAdded,
          What.m_Value}});
    return;
  }
  const auto Found = m_Streams.find(What.m_Run);
  if (Found == m_Streams.end())
    return;
  if (What.m_Kind == EventKind::Finished)
    return endStream(What.m_Run, What.m_Value);
  if (What.m_Kind == EventKind::Tokens)
    sendTokens(Found->second, What.m_Value);
  cutStream(What.m_Run, Found->second);
}

void EngineWork::sendTokens(Stream &To, std::uint64_t Made) {
  const std::uint64_t Count = Made - To.m_Sent;
  const bool Last = To.m_Request.m_Offset + Made >= To.m_Request.m_MaxTokens;
  if (Count == 0 || (Count < m_Life.m_Shared.m_Settings.m_PieceTokens && !Last))
    return;
  targets::StreamPiece Piece;
  Piece.m_Offset = To.m_Request.m_Offset + To.m_Sent;
  Piece.m_Tokens = Count;
  Piece.m_Text =
      enginemodel::expectedText(To.m_Request.m_Prompt, Piece.m_Offset, Count);
  To.m_To->write(
      print(targets::StreamLine{To.m_Request.m_StreamId, std::move(Piece)}) +
      "\n");
  To.m_Sent = Made;
}

bool EngineWork::cutStream(enginemodel::RunKey Key, const Stream &Which) {
  if (Which.m_Sent < m_Life.m_Faults.m_CutAfter ||
      !useFault(m_Life.m_Faults.m_Cut))
    return false;
  const auto To = Which.m_To;
  dropStream(Key, "run_cut");
  To->abort();
  return true;
}

void EngineWork::endStream(enginemodel::RunKey Key, std::uint64_t Made) {
  Stream &Done = m_Streams.at(Key);
  sendTokens(Done, Made);
  if (cutStream(Key, Done))
    return;
  const targets::RunRequest &What = Done.m_Request;
  targets::StreamEnd End;
  End.m_Length = What.m_Offset + Made;
  End.m_Finish = "length";
  if (What.m_PrefillOnly) {
    const std::string Ticket = randomIdentity();
    m_Tickets[Ticket] = enginemodel::tokensOf(What.m_Prompt);
    End.m_KvTicket = print(targets::KvTicket{m_Life.m_Self.m_Address, Ticket});
  }
  m_Life.note("run_finished", detailsOf(What));
  Done.m_To->write(print(targets::StreamLine{What.m_StreamId, End}) + "\n");
  Done.m_To->finish();
  m_Streams.erase(Key);
}

void EngineWork::dropStream(enginemodel::RunKey Key, std::string_view Why) {
  const auto Found = m_Streams.find(Key);
  if (Found == m_Streams.end())
    return;
  m_Life.note(Why, detailsOf(Found->second.m_Request));
  enginemodel::cancel(m_Model, Key, BootClock::now());
  m_Streams.erase(Found);
}

void EngineWork::dropLateStreams(TimePoint Now) {
  std::vector<enginemodel::RunKey> Late;
  for (const auto &[Key, Each] : m_Streams)
    if (Each.m_Request.m_Deadline < Now)
      Late.push_back(Key);
  for (const enginemodel::RunKey Key : Late)
    dropStream(Key, "run_late");
}

void EngineWork::cancel(http::Exchange &From) {
  const auto Request = targets::parseCancel(From.request().m_Body);
  if (failed(Request))
    return refuse(From, HttpBadRequest, errorOf(Request).m_Message, true);
  const auto Found = std::find_if(
      m_Streams.begin(), m_Streams.end(), [&Request](const auto &Each) {
        return Each.second.m_Request.m_Request == valueOf(Request);
      });
  const bool Here = Found != m_Streams.end();
  if (Here)
    dropStream(Found->first, "run_cancelled");
  answer(From, 200, targets::printCancelAnswer(Here));
}

void EngineWork::sendKv(http::Exchange &To, const std::string &Ticket) {
  const auto Found = m_Tickets.find(Ticket);
  if (Found == m_Tickets.end())
    return refuse(To, HttpNotFound, "unknown_ticket", true);
  answer(To, 200, nlohmann::json{{"tokens", Found->second}}.dump());
  m_Tickets.erase(Found);
}

void EngineWork::changeRole(targets::Role To) {
  enginemodel::setRole(m_Model, toModel(To), BootClock::now());
}

void EngineWork::loadModels() {
  enginemodel::loadModel(m_Model, BootClock::now());
}

void EngineWork::setSpeed(double Factor) {
  enginemodel::setSpeed(m_Model, Factor, BootClock::now());
}

void EngineWork::takeCacheEvents(targets::Heartbeat &Into, TimePoint Now) {
  const Settings &With = m_Life.m_Shared.m_Settings;
  std::bernoulli_distribution Drops(With.m_CacheDropShare);
  Into.m_CacheFrom = m_LastReported + 1;
  while (!m_CacheEvents.empty() &&
         m_CacheEvents.front().m_At + With.m_CacheDelay <= Now &&
         Into.m_CacheEvents.size() < targets::MaxCacheEvents) {
    const targets::CacheEvent Next = m_CacheEvents.front().m_Event;
    m_CacheEvents.pop_front();
    m_LastReported = Next.m_Number;
    if (!Drops(m_Life.m_Shared.m_Random))
      Into.m_CacheEvents.push_back(Next);
  }
  Into.m_CacheTo = m_LastReported;
}

} // namespace wasabivale::faketargets
