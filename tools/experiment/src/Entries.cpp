// Entries of a run: admission by limits, placement by routing.

#include "State.h"

#include <algorithm>

namespace wasabivale::experiment {

namespace {

using namespace std::chrono_literals;

/// Tries of one request at targets that refuse it as full or away.
constexpr std::size_t MostTries = 3;
/// Weight of the newest answer in a caller's mean answer length.
constexpr double OutputWeight = 0.02;

const ModelId &modelOf(const Arrival &Of) {
  static const ModelId Model{"model"};
  static const ModelId Service{"orders"};
  return Of.m_IsService ? Service : Model;
}

routing::Kind kindOf(const Arrival &Of) {
  return Of.m_IsService ? routing::Kind::Service : routing::Kind::Engine;
}

std::uint32_t expectedOutput(const Entry &At, const Arrival &Of) {
  if (Of.m_IsService)
    return Of.m_OutputTokens;
  return static_cast<std::uint32_t>(At.m_Output[Of.m_Caller].m_Share *
                                    Of.m_MaxTokens);
}

routing::Request requestOf(const Entry &At, const Arrival &Of) {
  routing::Request Made;
  Made.m_Kind = kindOf(Of);
  Made.m_Model = modelOf(Of);
  Made.m_Priority = Of.m_Priority;
  Made.m_PromptTokens = Of.m_PromptTokens;
  Made.m_ExpectedOutputTokens = expectedOutput(At, Of);
  Made.m_Blocks = Of.m_Blocks;
  if (Of.m_IsService)
    Made.m_ServiceTime = 1ms * static_cast<std::int64_t>(Of.m_OutputTokens);
  return Made;
}

const CallerId &callerOf(const World &In, const Arrival &Of) {
  return In.m_Setup.m_Workload.m_Callers[Of.m_Caller].m_Id;
}

limits::Capacity roomFor(const Entry &At, routing::Kind Kind,
                         const ModelId &Model, TimePoint Now) {
  routing::Capacity Room = routing::capacityFor(At.m_Routing, Kind, Model, Now);
  return {Room.m_FreeSlots, Room.m_Slots};
}

void refuse(World &In, JobIndex Index, Refusal Reason) {
  const Arrival &Of = In.m_Arrivals[Index];
  In.m_Jobs[Index].m_State = JobState::Ended;
  if (Of.m_IsService)
    return;
  ++In.m_Result.m_RefusedByReason[std::string(refusalInfo(Reason).m_Name)];
  ++In.m_Result.m_Callers[Of.m_Caller].m_Refused;
  ++In.m_Entries[In.m_Jobs[Index].m_Entry].m_Demand.m_Refused;
}

void refuseAll(World &In, Entry &At,
               const std::vector<limits::RefusedTicket> &Tickets) {
  for (const limits::RefusedTicket &Each : Tickets) {
    auto Found = At.m_Jobs.find(Each.m_Ticket);
    WASABIVALE_INVARIANT(Found != At.m_Jobs.end());
    JobIndex Index = Found->second;
    At.m_Jobs.erase(Found);
    refuse(In, Index, Each.m_Refused.m_Reason);
  }
}

/// Submits the next leg of a chosen try. \returns whether it was taken.
bool submitLeg(World &In, JobIndex Index) {
  Job &Of = In.m_Jobs[Index];
  const Arrival &What = In.m_Arrivals[Index];
  bool Prefills = Of.m_State == JobState::Waiting && Of.m_Choice.m_Prefill;
  const routing::Leg &Leg =
      Prefills ? *Of.m_Choice.m_Prefill : Of.m_Choice.m_Run;
  enginemodel::Run Made;
  Made.m_Key = In.m_NextRun++;
  Made.m_PromptTokens = What.m_PromptTokens + Of.m_Made;
  Made.m_OutputTokens = Prefills ? 0 : What.m_OutputTokens - Of.m_Made;
  Made.m_Priority = What.m_Priority;
  Made.m_Blocks = What.m_Blocks;
  Made.m_ImportsKv = Of.m_State == JobState::Prefilling || Of.m_Made > 0;
  Of.m_At = In.m_ByTarget.at(Leg.m_Target);
  Of.m_Run = Made.m_Key;
  Target &At = In.m_Targets[Of.m_At];
  enginemodel::SubmitResult Taken =
      enginemodel::submit(At.m_Engine, std::move(Made), In.m_Now);
  touch(In, Of.m_At);
  if (Taken != enginemodel::SubmitResult::Taken)
    return false;
  Of.m_State = Prefills ? JobState::Prefilling : JobState::Running;
  In.m_Runs[Of.m_Run] = Index;
  return true;
}

/// Ends an admitted job and frees its place.
void endJob(World &In, JobIndex Index, bool Ran) {
  Job &Of = In.m_Jobs[Index];
  const Arrival &What = In.m_Arrivals[Index];
  Entry &At = In.m_Entries[Of.m_Entry];
  Of.m_State = JobState::Ended;
  At.m_Jobs.erase(Of.m_Ticket);
  limits::finish(At.m_Limits, Of.m_Ticket,
                 {What.m_PromptTokens, What.m_OutputTokens, Ran}, In.m_Now);
}

void giveUp(World &In, JobIndex Index, Refusal Reason) {
  endJob(In, Index, false);
  refuse(In, Index, Reason);
}

/// Chooses a target for an admitted job and starts it there.
void dispatch(World &In, JobIndex Index) {
  Job &Of = In.m_Jobs[Index];
  Entry &At = In.m_Entries[Of.m_Entry];
  routing::Request Wanted = requestOf(At, In.m_Arrivals[Index]);
  Wanted.m_MaySplit = Of.m_Made == 0;
  for (std::size_t Count = 0; Count < MostTries; ++Count) {
    Result<routing::Choice> Chosen =
        routing::choose(At.m_Routing, Wanted, In.m_Now, At.m_Random);
    if (failed(Chosen))
      return giveUp(In, Index, Refusal::NoTarget);
    Of.m_Choice = valueOf(Chosen);
    Of.m_Try = Of.m_Choice.m_Try;
    routing::recordStarted(At.m_Routing, Of.m_Try, In.m_Now);
    if (submitLeg(In, Index)) {
      std::uint64_t Cached = Of.m_Choice.m_Estimate.m_CachedBlocks;
      At.m_Demand.m_CachedPromptTokens += Cached * routing::BlockTokens;
      return;
    }
    routing::recordEnded(At.m_Routing, Of.m_Try, routing::TryOutcome::Full,
                         In.m_Now, Of.m_Choice.m_Prefill.has_value());
    Wanted.m_Avoid.push_back(Of.m_Choice.m_Prefill
                                 ? Of.m_Choice.m_Prefill->m_Target
                                 : Of.m_Choice.m_Run.m_Target);
  }
  giveUp(In, Index, Refusal::QueueFull);
}

void countDemand(Entry &At, const Arrival &Of) {
  roles::Demand &Counted = At.m_Demand;
  ++Counted.m_Requests;
  Counted.m_PromptTokens += Of.m_PromptTokens;
  Counted.m_OutputTokens += expectedOutput(At, Of);
}

void countOffered(World &In, const Arrival &Of) {
  if (Of.m_IsService) {
    ++In.m_Result.m_ServiceOffered;
    return;
  }
  ++In.m_Result.m_Offered;
  ++In.m_Result.m_Callers[Of.m_Caller].m_Offered;
}

void countInTime(World &In, JobIndex Index) {
  const Arrival &Of = In.m_Arrivals[Index];
  if (Of.m_IsService) {
    ++In.m_Result.m_ServiceInTime;
    return;
  }
  ++In.m_Result.m_InTime;
  ++In.m_Result.m_Callers[Of.m_Caller].m_InTime;
  Entry &At = In.m_Entries[In.m_Jobs[Index].m_Entry];
  ++At.m_Demand.m_CompletedInTime;
  double &Mean = At.m_Output[Of.m_Caller].m_Share;
  double Share = static_cast<double>(Of.m_OutputTokens) / Of.m_MaxTokens;
  Mean += OutputWeight * (Share - Mean);
}

/// A prompt has been prefilled apart: the rest runs elsewhere.
void continueElsewhere(World &In, JobIndex Index) {
  Job &Of = In.m_Jobs[Index];
  Entry &At = In.m_Entries[Of.m_Entry];
  routing::recordPrefilled(At.m_Routing, Of.m_Try, In.m_Now);
  if (submitLeg(In, Index))
    return;
  routing::recordEnded(At.m_Routing, Of.m_Try, routing::TryOutcome::Full,
                       In.m_Now);
  Of.m_State = JobState::Waiting;
  dispatch(In, Index);
}

void moveStream(World &In, JobIndex Index) {
  Job &Of = In.m_Jobs[Index];
  Target &At = In.m_Targets[Of.m_At];
  auto Made = static_cast<std::uint32_t>(
      enginemodel::tokensMade(At.m_Engine, Of.m_Run));
  Entry &Owner = In.m_Entries[Of.m_Entry];
  enginemodel::cancel(At.m_Engine, Of.m_Run, In.m_Now);
  touch(In, Of.m_At);
  In.m_Runs.erase(Of.m_Run);
  routing::recordProgress(Owner.m_Routing, Of.m_Try, Made, In.m_Now);
  routing::recordEnded(Owner.m_Routing, Of.m_Try,
                       routing::TryOutcome::Cancelled, In.m_Now);
  Of.m_Made += Made;
  Of.m_State = JobState::Waiting;
  dispatch(In, Index);
}

} // namespace

void moveStreams(World &In, TargetIndex From) {
  // Lets the target finish what is due before its streams are counted.
  touch(In, From);
  settleTargets(In);
  for (JobIndex Index = 0; Index < In.m_Jobs.size(); ++Index) {
    const Job &Each = In.m_Jobs[Index];
    if (Each.m_State == JobState::Running && Each.m_At == From &&
        Each.m_SawFirst)
      moveStream(In, Index);
  }
}

void makeEntries(World &In) {
  const Setup &What = In.m_Setup;
  for (std::uint32_t Index = 0; Index < What.m_Entries; ++Index) {
    Entry Made;
    Made.m_Random.seed(What.m_Workload.m_Seed * 1'000 + Index);
    Made.m_Output.resize(What.m_Workload.m_Callers.size());
    routing::Settings &Options = Made.m_Routing.m_Settings;
    Options.m_Policy = What.m_Routing;
    Options.m_Zone = {"zone-" + std::to_string(Index % 3)};
    Options.m_Region = {"region"};
    Options.m_Entries = What.m_Entries;
    for (const Target &Each : In.m_Targets)
      routing::updateTarget(Made.m_Routing, Each.m_Description, In.m_Now);
    In.m_Entries.push_back(std::move(Made));
  }
}

void arrive(World &In, JobIndex Index) {
  const Arrival &What = In.m_Arrivals[Index];
  Job &Of = In.m_Jobs[Index];
  Of.m_Entry = Index % In.m_Setup.m_Entries;
  Entry &At = In.m_Entries[Of.m_Entry];
  countOffered(In, What);
  if (!What.m_IsService)
    countDemand(At, What);
  routing::Request Wanted = requestOf(At, What);
  Result<routing::Estimate> Expected =
      routing::estimate(At.m_Routing, Wanted, In.m_Now, At.m_Random);
  if (failed(Expected))
    return refuse(In, Index, Refusal::NoTarget);
  limits::AdmissionRequest Asked;
  Asked.m_Caller = callerOf(In, What);
  Asked.m_Model = modelOf(What);
  Asked.m_Priority = What.m_Priority;
  Asked.m_PromptTokens = What.m_PromptTokens;
  Asked.m_OutputTokens = Wanted.m_ExpectedOutputTokens;
  Asked.m_Deadline = What.m_Deadline;
  Asked.m_ServiceTime = valueOf(Expected).m_Finish - In.m_Now;
  Asked.m_Capacity = roomFor(At, kindOf(What), Asked.m_Model, In.m_Now);
  limits::Decision Made = limits::admit(At.m_Limits, Asked, In.m_Now);
  refuseAll(In, At, Made.m_Evicted);
  if (const auto *Refused = std::get_if<limits::Refused>(&Made.m_Verdict))
    return refuse(In, Index, Refused->m_Reason);
  In.m_Deadlines.push({What.m_Deadline, Index});
  if (const auto *Queued = std::get_if<limits::Queued>(&Made.m_Verdict)) {
    Of.m_Ticket = Queued->m_Ticket;
    At.m_Jobs[Of.m_Ticket] = Index;
    return;
  }
  Of.m_Ticket = std::get<limits::Admitted>(Made.m_Verdict).m_Ticket;
  At.m_Jobs[Of.m_Ticket] = Index;
  dispatch(In, Index);
}

void onFirstToken(World &In, JobIndex Index) {
  Job &Of = In.m_Jobs[Index];
  if (Of.m_State != JobState::Running)
    return;
  Entry &At = In.m_Entries[Of.m_Entry];
  routing::recordFirstToken(At.m_Routing, Of.m_Try, In.m_Now);
  if (Of.m_SawFirst) // It is the first token since the stream was moved.
    return;
  Of.m_SawFirst = true;
  if (!In.m_Arrivals[Index].m_IsService)
    In.m_FirstTokens.push_back(In.m_Now - In.m_Arrivals[Index].m_At);
}

void onRunFinished(World &In, JobIndex Index) {
  Job &Of = In.m_Jobs[Index];
  if (Of.m_State == JobState::Prefilling)
    return continueElsewhere(In, Index);
  Entry &At = In.m_Entries[Of.m_Entry];
  routing::recordProgress(At.m_Routing, Of.m_Try,
                          In.m_Arrivals[Index].m_OutputTokens - Of.m_Made,
                          In.m_Now);
  routing::recordEnded(At.m_Routing, Of.m_Try, routing::TryOutcome::Completed,
                       In.m_Now);
  endJob(In, Index, true);
  countInTime(In, Index);
  serveQueue(In, Of.m_Entry);
}

void onDeadline(World &In, JobIndex Index) {
  Job &Of = In.m_Jobs[Index];
  if (Of.m_State == JobState::Waiting || Of.m_State == JobState::Ended)
    return;
  enginemodel::Engine &Engine = In.m_Targets[Of.m_At].m_Engine;
  auto Made =
      static_cast<std::uint32_t>(enginemodel::tokensMade(Engine, Of.m_Run));
  enginemodel::cancel(Engine, Of.m_Run, In.m_Now);
  touch(In, Of.m_At);
  In.m_Runs.erase(Of.m_Run);
  Entry &At = In.m_Entries[Of.m_Entry];
  routing::recordProgress(At.m_Routing, Of.m_Try, Made, In.m_Now);
  routing::recordEnded(At.m_Routing, Of.m_Try, routing::TryOutcome::Cancelled,
                       In.m_Now);
  endJob(In, Index, true);
  if (!In.m_Arrivals[Index].m_IsService)
    ++In.m_Result.m_Late;
  serveQueue(In, Of.m_Entry);
}

void serveQueue(World &In, std::uint32_t Number) {
  Entry &At = In.m_Entries[Number];
  refuseAll(In, At, limits::expire(At.m_Limits, In.m_Now));
  limits::CapacityView Room = [&At, &In](const ModelId &Model) {
    bool IsService = Model.m_Value == "orders";
    return roomFor(At,
                   IsService ? routing::Kind::Service : routing::Kind::Engine,
                   Model, In.m_Now);
  };
  while (std::optional<limits::Ticket> Next =
             limits::nextToStart(At.m_Limits, In.m_Now, Room))
    dispatch(In, At.m_Jobs.at(*Next));
}

void deliverNews(World &In) {
  while (!In.m_Heartbeats.empty() &&
         In.m_Heartbeats.front().m_Arrives <= In.m_Now) {
    const Heartbeat &News = In.m_Heartbeats.front();
    const routing::Target &From = In.m_Targets[News.m_From].m_Description;
    for (Entry &Each : In.m_Entries) {
      routing::applyLoad(Each.m_Routing, From.m_Id, From.m_Incarnation,
                         News.m_Load, In.m_Now);
      if (!News.m_CacheLost && !News.m_Cache.empty())
        routing::applyCacheEvents(Each.m_Routing, From.m_Id, From.m_Incarnation,
                                  News.m_Cache);
    }
    In.m_Heartbeats.pop_front();
  }
  while (!In.m_FleetNews.empty() &&
         In.m_FleetNews.front().m_Arrives <= In.m_Now) {
    for (Entry &Each : In.m_Entries)
      routing::updateTarget(Each.m_Routing, In.m_FleetNews.front().m_Target,
                            In.m_Now);
    In.m_FleetNews.pop_front();
  }
}

} // namespace wasabivale::experiment
