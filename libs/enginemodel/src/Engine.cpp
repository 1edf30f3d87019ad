#include "Memory.h"

#include <algorithm>
#include <cmath>

namespace wasabivale::enginemodel {

namespace {

/// Token counts closer than this are equal; below what the fastest engine
/// makes in a nanosecond.
constexpr double TokenTolerance = 1e-6;
constexpr double NanosPerSecond = 1e9;

/// Tokens a second that the engine makes now.
struct Rates {
  double m_Prefill = 0; ///< Of the one prompt that is being prefilled.
  double m_Decode = 0;  ///< Of each decoding stream.
};

double chunkTokens(const Engine &At) {
  switch (At.m_Role) {
  case Role::Mixed:
    return At.m_Settings.m_MixedChunkTokens;
  case Role::Prefill:
    return At.m_Settings.m_PrefillChunkTokens;
  case Role::Decode:
    return At.m_Settings.m_DecodeChunkTokens;
  }
  return At.m_Settings.m_MixedChunkTokens;
}

Rates ratesOf(const Engine &At) {
  const Settings &With = At.m_Settings;
  const auto Streams = static_cast<double>(At.m_Decoding.size());
  double StepSeconds = 0;
  if (!At.m_Decoding.empty())
    StepSeconds += (1 + With.m_BatchSlowdown * (Streams - 1)) /
                   With.m_DecodeTokensPerSecond;
  if (!At.m_Prefilling.empty())
    StepSeconds += chunkTokens(At) / With.m_PrefillTokensPerSecond;
  Rates Now;
  if (!At.m_Decoding.empty())
    Now.m_Decode = At.m_Speed / StepSeconds;
  if (!At.m_Prefilling.empty())
    Now.m_Prefill = At.m_Speed * chunkTokens(At) / StepSeconds;
  return Now;
}

TimePoint after(TimePoint Now, double Tokens, double Rate) {
  const double Nanos = std::max(Tokens, 0.0) / Rate * NanosPerSecond;
  return Now + Duration(static_cast<Duration::rep>(std::ceil(Nanos)));
}

Place placeOf(const ActiveRun &Of) {
  constexpr std::uint64_t Highest = ~std::uint64_t{0};
  return {Highest - Of.m_Run.m_Priority, Of.m_Arrival, Of.m_Run.m_Key};
}

double lastTokenClock(const ActiveRun &Of) {
  return Of.m_DecodeStart + static_cast<double>(Of.m_Run.m_OutputTokens - 1);
}

std::uint64_t madeBy(const Engine &At, const ActiveRun &Of) {
  if (!Of.m_Decoding)
    return 0;
  const double Further = At.m_DecodeClock - Of.m_DecodeStart + TokenTolerance;
  return std::min(Of.m_Run.m_OutputTokens,
                  1 + static_cast<std::uint64_t>(Further));
}

void note(Engine &At, EventKind Kind, RunKey Which, std::uint64_t Value = 0) {
  At.m_Events.push_back({At.m_Now, Kind, Which, Value});
}

std::uint64_t admittedRuns(const Engine &At) {
  return At.m_Prefilling.size() + At.m_Importing.size() + At.m_Decoding.size();
}

void finish(Engine &At, RunKey Which) {
  const auto Found = At.m_Runs.find(Which);
  release(At, Found->second);
  note(At, EventKind::Finished, Which, Found->second.m_Run.m_OutputTokens);
  At.m_Runs.erase(Found);
}

/// The prompt's KV is there: the first token is made.
void startDecoding(Engine &At, ActiveRun &Of) {
  publish(At, Of);
  note(At, EventKind::FirstToken, Of.m_Run.m_Key);
  if (Of.m_Run.m_OutputTokens <= 1)
    return finish(At, Of.m_Run.m_Key);
  Of.m_Decoding = true;
  Of.m_DecodeStart = At.m_DecodeClock;
  At.m_Decoding.emplace(lastTokenClock(Of), Of.m_Run.m_Key);
}

bool admitFirst(Engine &At) {
  if (At.m_Waiting.empty() || admittedRuns(At) >= At.m_Settings.m_MaxRunning)
    return false;
  const Place First = *At.m_Waiting.begin();
  ActiveRun &Next = At.m_Runs.at(First.m_Run);
  if (!reserve(At, Next))
    return false;
  At.m_Waiting.erase(First);
  Next.m_Admitted = true;
  const auto Cached = static_cast<double>(Next.m_CachedBlocks * BlockTokens);
  Next.m_PrefillLeft =
      std::max(static_cast<double>(Next.m_Run.m_PromptTokens) - Cached, 1.0);
  if (!Next.m_Run.m_ImportsKv) {
    At.m_Prefilling.insert(First);
    return true;
  }
  const double Blocks = Next.m_PrefillLeft / static_cast<double>(BlockTokens);
  At.m_Importing.emplace(
      after(At.m_Now, Blocks, At.m_Settings.m_ImportBlocksPerSecond),
      Next.m_Run.m_Key);
  return true;
}

void comeBack(Engine &At) {
  if (!At.m_Away || At.m_Now < At.m_AwayUntil)
    return;
  At.m_Away = false;
  At.m_Role = At.m_NextRole;
  note(At, EventKind::RoleChanged, 0, static_cast<std::uint64_t>(At.m_Role));
}

void endStreams(Engine &At) {
  while (!At.m_Decoding.empty() &&
         At.m_Decoding.begin()->first <= At.m_DecodeClock + TokenTolerance) {
    const RunKey Which = At.m_Decoding.begin()->second;
    At.m_Decoding.erase(At.m_Decoding.begin());
    finish(At, Which);
  }
}

void endPrefill(Engine &At) {
  if (At.m_Prefilling.empty())
    return;
  const Place First = *At.m_Prefilling.begin();
  ActiveRun &Done = At.m_Runs.at(First.m_Run);
  if (Done.m_PrefillLeft > TokenTolerance)
    return;
  At.m_Prefilling.erase(First);
  startDecoding(At, Done);
}

void endImports(Engine &At) {
  while (!At.m_Importing.empty() && At.m_Importing.begin()->first <= At.m_Now) {
    const RunKey Which = At.m_Importing.begin()->second;
    At.m_Importing.erase(At.m_Importing.begin());
    startDecoding(At, At.m_Runs.at(Which));
  }
}

/// Does everything that is due at the engine's time.
void settle(Engine &At) {
  comeBack(At);
  endStreams(At);
  endPrefill(At);
  endImports(At);
  while (admitFirst(At))
    continue;
}

void work(Engine &At, TimePoint Until) {
  const Rates Now = ratesOf(At);
  const double Seconds =
      static_cast<double>((Until - At.m_Now).count()) / NanosPerSecond;
  At.m_DecodeClock += Now.m_Decode * Seconds;
  if (!At.m_Prefilling.empty()) {
    const RunKey First = At.m_Prefilling.begin()->m_Run;
    At.m_Runs.at(First).m_PrefillLeft -= Now.m_Prefill * Seconds;
  }
  At.m_Now = Until;
}

void workUntil(Engine &At, TimePoint Now) {
  while (At.m_Now < Now) {
    work(At, std::min(Now, nextEvent(At)));
    settle(At);
  }
}

void goAway(Engine &At, Role To, Duration For, TimePoint Now) {
  workUntil(At, Now);
  WASABIVALE_INVARIANT(At.m_Runs.empty());
  clearCache(At);
  At.m_Away = true;
  At.m_NextRole = To;
  At.m_AwayUntil = At.m_Now + For;
}

void reportTokens(Engine &At) {
  for (const auto &[Clock, Which] : At.m_Decoding) {
    ActiveRun &Stream = At.m_Runs.at(Which);
    const std::uint64_t Made = madeBy(At, Stream);
    if (Made == Stream.m_Reported)
      continue;
    Stream.m_Reported = Made;
    note(At, EventKind::Tokens, Which, Made);
  }
}

} // namespace

Engine makeEngine(const Settings &With, Role As, TimePoint Now) {
  Engine Made;
  Made.m_Settings = With;
  Made.m_Role = As;
  Made.m_NextRole = As;
  Made.m_Now = Now;
  return Made;
}

SubmitResult submit(Engine &At, Run What, TimePoint Now) {
  workUntil(At, Now);
  if (At.m_Away)
    return SubmitResult::Away;
  if (blocksNeeded(What) > At.m_Settings.m_KvBlocks)
    return SubmitResult::TooLarge;
  if (At.m_Waiting.size() >= At.m_Settings.m_MaxWaiting)
    return SubmitResult::Full;
  ActiveRun Made;
  Made.m_Run = std::move(What);
  Made.m_Run.m_Blocks.resize(std::min<std::size_t>(
      Made.m_Run.m_Blocks.size(), Made.m_Run.m_PromptTokens / BlockTokens));
  Made.m_Arrival = ++At.m_Arrivals;
  const Place Queued = placeOf(Made);
  const RunKey Key = Made.m_Run.m_Key;
  WASABIVALE_INVARIANT(At.m_Runs.emplace(Key, std::move(Made)).second);
  At.m_Waiting.insert(Queued);
  settle(At);
  return SubmitResult::Taken;
}

std::vector<Event> advance(Engine &At, TimePoint Now) {
  workUntil(At, Now);
  if (At.m_ReportsTokens)
    reportTokens(At);
  return std::exchange(At.m_Events, {});
}

bool cancel(Engine &At, RunKey Which, TimePoint Now) {
  workUntil(At, Now);
  const auto Found = At.m_Runs.find(Which);
  if (Found == At.m_Runs.end())
    return false;
  const ActiveRun &Run = Found->second;
  At.m_Waiting.erase(placeOf(Run));
  At.m_Prefilling.erase(placeOf(Run));
  if (Run.m_Decoding)
    At.m_Decoding.erase({lastTokenClock(Run), Which});
  std::erase_if(At.m_Importing,
                [Which](const auto &Entry) { return Entry.second == Which; });
  if (Run.m_Admitted)
    release(At, Run);
  At.m_Runs.erase(Found);
  settle(At);
  return true;
}

void setRole(Engine &At, Role To, TimePoint Now) {
  goAway(At, To, At.m_Settings.m_RoleChangeTime, Now);
}

void loadModel(Engine &At, TimePoint Now) {
  goAway(At, At.m_Role, At.m_Settings.m_ModelLoadTime, Now);
}

void setSpeed(Engine &At, double Factor, TimePoint Now) {
  WASABIVALE_INVARIANT(Factor > 0);
  workUntil(At, Now);
  At.m_Speed = Factor;
}

TimePoint nextEvent(const Engine &At) {
  TimePoint Next = TimePoint::max();
  if (At.m_Away)
    Next = std::min(Next, At.m_AwayUntil);
  if (!At.m_Importing.empty())
    Next = std::min(Next, At.m_Importing.begin()->first);
  const Rates Now = ratesOf(At);
  if (!At.m_Prefilling.empty()) {
    const RunKey First = At.m_Prefilling.begin()->m_Run;
    const double Left = At.m_Runs.at(First).m_PrefillLeft;
    Next = std::min(Next, after(At.m_Now, Left, Now.m_Prefill));
  }
  if (!At.m_Decoding.empty()) {
    const double Left = At.m_Decoding.begin()->first - At.m_DecodeClock;
    Next = std::min(Next, after(At.m_Now, Left, Now.m_Decode));
  }
  return Next;
}

std::uint64_t tokensMade(const Engine &At, RunKey Which) {
  const auto Found = At.m_Runs.find(Which);
  return Found == At.m_Runs.end() ? 0 : madeBy(At, Found->second);
}

std::uint64_t cachedBlocks(const Engine &At, RunKey Which) {
  const auto Found = At.m_Runs.find(Which);
  return Found == At.m_Runs.end() ? 0 : Found->second.m_CachedBlocks;
}

Load load(const Engine &At) {
  Load Now;
  Now.m_Running = admittedRuns(At);
  Now.m_Waiting = At.m_Waiting.size();
  double Prefill = 0;
  for (const Place &Queued : At.m_Prefilling)
    Prefill += At.m_Runs.at(Queued.m_Run).m_PrefillLeft;
  for (const Place &Queued : At.m_Waiting)
    Prefill +=
        static_cast<double>(At.m_Runs.at(Queued.m_Run).m_Run.m_PromptTokens);
  Now.m_PrefillTokensWaiting = static_cast<std::uint64_t>(Prefill);
  Now.m_KvBlocksFree = freeBlocks(At);
  Now.m_Away = At.m_Away;
  return Now;
}

} // namespace wasabivale::enginemodel
