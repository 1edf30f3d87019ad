#include "DataPath.h"

#include "Text.h"
#include "events/events.h"

namespace wasabivale::entry {

namespace {

constexpr std::chrono::milliseconds SweepInterval{50};
/// A lapse of the lease shorter than this is waited out by new requests.
constexpr std::chrono::milliseconds LapseGrace{1000};
constexpr std::string_view ServiceCapacity = "service:";
/// Prompt tokens of one step where engines prefill in pieces of 1,024, and of a
/// quarter of that between the tokens of others; by role.
constexpr std::array<double, 3> PlainChunks{512, 1024, 256};
/// Engines that take ranks order what waits there by themselves: only what
/// would wait for longer than its caller does is kept here.
constexpr std::chrono::milliseconds PlainPrefillWaiting{4'000};
/// Targets that manage themselves come into service warm; what is new gets no
/// rush of work before the first answers tell how it does.
constexpr std::chrono::milliseconds PlainWarmUp{1'000};
/// Engines that only stream, for each that only reads, as long as one of the
/// others is left: between two tokens of a stream a piece of a prompt takes
/// several times as long as the tokens do.
constexpr double StreamersForPrefill = 1;
/// Parts of an estimate, in percent, that must still miss the deadline before a
/// plain request is refused for it: the length of an answer is known at the
/// median only.
constexpr int FirstEventCertainty = 90;
constexpr int FirstTokenCertainty = 50;
/// As above, of the time that a request which is expected to miss its objective
/// waits: those that come later and can meet theirs go before it.
constexpr int LateWaitCertainty = 150;
constexpr int AnswerCertainty = 20;
/// A plain service's load is told with its answers: what it said this long ago
/// has ended since, and nothing more would be heard if nothing were sent.
constexpr std::chrono::milliseconds LoadKept{250};
/// Part of the fleet's reserve of retries that is handed out: the rest is for
/// entries that have joined since the count.
constexpr double RetryReserveUsed = 0.7;
/// Part of the streams at once that other entries' requests may be, so that
/// those of entries that are cut leave room for own callers.
constexpr std::size_t ForwardedPart = 2;

limits::Limits toLimits(const wire::Share &From) {
  return {From.requests_per_second(), From.prompt_tokens_per_second(),
          From.output_tokens_per_second(), From.running()};
}

limits::Limits scale(const limits::Limits &By, double Share) {
  return {By.m_RequestsPerSecond * Share, By.m_PromptTokensPerSecond * Share,
          By.m_OutputTokensPerSecond * Share,
          std::max(1.0, By.m_Running * Share)};
}

/// Whether a request was judged by customers' keys that control has not
/// confirmed, or that may be out of date.
bool dependsOnOldKeys(const std::variant<Arrival, Rejection> &Read,
                      const revocation::State &Keys, TimePoint Now) {
  if (const auto *Why = std::get_if<Rejection>(&Read))
    return Why->m_Reason == Refusal::UnknownKey &&
           !revocation::knowsAllKeys(Keys, Now);
  return !std::get<Arrival>(Read).m_Passed->m_Customer.empty() &&
         !revocation::acceptsKeys(Keys, Now);
}

/// Control answers reports within this time once it is reached again.
constexpr std::chrono::milliseconds KeysRetryAfter{500};

Rejection keysNotConfirmed() {
  Rejection Why = notRun(Refusal::NoConfiguration, "routes.customer",
                         "control has not confirmed the customers' keys");
  Why.m_RetryAfter = KeysRetryAfter;
  return Why;
}

Rejection starting() { return notRun(Refusal::NoConfiguration, "start"); }

Rejection stopping() {
  Rejection Why = notRun(Refusal::Stopping, "stop");
  Why.m_RetryAfter = StoppingRetryAfter;
  return Why;
}

/// When a stream ends whose first event comes just before its caller leaves.
TimePoint lastEnd(const Arrival &Of, const routing::Estimate &Expected,
                  Duration Least) {
  const Duration Rest = std::max<Duration>(
      Expected.m_Finish - Expected.m_FirstToken, Duration(0));
  const Duration First = Least - Rest * AnswerCertainty / 100;
  return Of.m_ArrivedAt + streamPatience(Of.m_Passed->m_Route) +
         (Least - First);
}

/// Forgets what services have told of others' requests too long ago.
void forgetOldLoads(routing::State &Of, TimePoint Now) {
  for (const routing::Slot &Each : Of.m_Slots)
    if (Each.m_Used && Each.m_Current &&
        Each.m_Target.m_Kind == routing::Kind::Service &&
        Each.m_PeerWork.m_Requests > 0 && Now - Each.m_ReportAt > LoadKept)
      routing::applyLoad(Of, Each.m_Target.m_Id, Each.m_Target.m_Incarnation,
                         {0, 0, std::nullopt, std::nullopt}, Now);
}

/// Time from \p Start to a request's first token of which \p Certainty percent
/// count, and of the wait before it \p WaitCertainty percent.
Duration firstTokenTime(const routing::Estimate &Expected, TimePoint Start,
                        int WaitCertainty, int Certainty) {
  const TimePoint Begin = std::max(Expected.m_Start, Start);
  return (Begin - Start) * WaitCertainty / 100 +
         std::max<Duration>(Expected.m_FirstToken - Begin, Duration(0)) *
             Certainty / 100;
}

/// Time that a plain request takes at least, as far as its estimate is sure.
Duration leastTime(const routing::Estimate &Expected, TimePoint Start,
                   int WaitCertainty) {
  const Duration Rest = std::max<Duration>(
      Expected.m_Finish - Expected.m_FirstToken, Duration(0));
  return firstTokenTime(Expected, Start, WaitCertainty, FirstTokenCertainty) +
         Rest * AnswerCertainty / 100;
}

} // namespace

DataPath::DataPath(event_base *Loop, const EntrySettings &Settings,
                   EntryMetrics &Metrics, Ties To)
    : m_Shared(Loop, Settings, Metrics, To.m_Ledger) {
  m_Shared.m_HoldsLease = std::move(To.m_HoldsLease);
  m_Shared.m_ReportSoon = std::move(To.m_ReportSoon);
  m_Shared.m_Dialect = To.m_Dialect;
  m_Shared.m_StreamVersions.setControl(std::move(To.m_Control));
  m_Shared.m_Reach.onChange([this] { m_Shared.m_ReportSoon(); });
  m_Shared.m_CanForward = [this](TimePoint Now) {
    return m_Shared.m_ForwardPeers.has({}, Now);
  };
  if (Settings.m_Routes) {
    // Loads come with answers, and other engines refuse what is not theirs.
    m_Shared.m_Routing.m_Settings.m_ReportLag = Settings.m_Routes->m_ReportLag;
    m_Shared.m_Routing.m_Settings.m_PrefillRunsWhole = false;
    m_Shared.m_Routing.m_Settings.m_DecodeOnlyPerPrefill = StreamersForPrefill;
    m_Shared.m_Routing.m_Settings.m_WarmUp = PlainWarmUp;
    m_Shared.m_Routing.m_Settings.m_ChunkTokens = PlainChunks;
    m_Shared.m_Routing.m_Settings.m_MaxPrefillWaiting = PlainPrefillWaiting;
    m_Shared.m_Retries.m_Settings.m_CallerShare =
        Settings.m_Routes->m_RetryShare;
    m_Shared.m_Retries.m_Settings.m_TargetShare = 1;
    m_Shared.m_Revocation.m_Bound = Settings.m_Routes->m_RevokeWithin;
  }
  m_Shared.m_Routing.m_Settings.m_Zone = Settings.m_Zone;
  m_Shared.m_Routing.m_Settings.m_Region = Settings.m_Region;
  m_Shared.m_Routing.m_Settings.m_Policy = Settings.m_Policy;
  m_Shared.m_Routing.m_Settings.m_Entries = Settings.m_Entries;
  m_Shared.m_Limits.m_Settings.m_MaxQueued = Settings.m_Queue;
  m_Sweep = std::make_unique<http::Timer>(Loop, SweepInterval, true,
                                          [this] { sweep(); });
}

DataPath::~DataPath() { endAll(); }

void DataPath::refuse(http::Exchange &Arrived, const RequestId &Id,
                      const Rejection &Why) {
  m_Shared.m_Metrics.m_Registry.refusals(Why.m_Reason).add();
  events::emit(events::Event::RequestRefused,
               {{"request", Id},
                {"reason", refusalInfo(Why.m_Reason).m_Name},
                {"outcome", outcomeName(Why.m_Outcome)}});
  replyRejection(Arrived, Id, Why);
}

void DataPath::take(const std::shared_ptr<http::Exchange> &Arrived) {
  const TimePoint Now = BootClock::now();
  const RequestId Id{randomIdentity()};
  if (m_Shared.m_StopSchedule || sendsCallersAway())
    Arrived->closeAfterLast();
  auto Read = readArrival(Arrived->request(), m_Shared.m_Configuration,
                          {m_Shared.m_Settings.m_AllowAnonymous}, Now);
  if (auto *Why = std::get_if<Rejection>(&Read))
    return refuse(*Arrived, Id, *Why);
  Arrival &Asked = std::get<Arrival>(Read);
  Asked.m_Id = Id;
  m_Shared.m_Metrics.m_Requests.add();
  if (Asked.m_Api == Api::Models)
    return answerModels(*Arrived);
  if (auto Why = refuseAtOnce(Now)) {
    // See Serving::outcomeSoFar.
    if (Asked.isKept())
      Why->m_Outcome = Outcome::Unknown;
    return refuse(*Arrived, Id, *Why);
  }
  admit(Arrived, std::move(Asked));
}

void DataPath::refusePassed(http::Exchange &Arrived, const RequestId &Id,
                            const Rejection &Why) {
  m_Shared.m_Metrics.m_Registry.refusals(Why.m_Reason).add();
  events::emit(events::Event::RequestRefused,
               {{"request", Id},
                {"reason", refusalInfo(Why.m_Reason).m_Name},
                {"step", Why.m_Step},
                {"detail", Why.m_Detail},
                {"routes", m_Shared.m_Routes.table().m_Version},
                {"outcome", outcomeName(Why.m_Outcome)}});
  replyPassedRejection(Arrived, Id, Why);
}

void DataPath::takePassed(const std::shared_ptr<http::Exchange> &Arrived) {
  const TimePoint Now = BootClock::now();
  if (m_Shared.m_StopSchedule || sendsCallersAway())
    Arrived->closeAfterLast();
  if (!m_TakesRequests)
    return refusePassed(*Arrived, {}, starting());
  auto Read = readPassed(Arrived->request(), m_Shared.m_Routes,
                         *m_Shared.m_Dialect, m_Shared.m_MeanPrompts, Now);
  if (dependsOnOldKeys(Read, m_Shared.m_Revocation, Now))
    return refusePassed(*Arrived, {}, keysNotConfirmed());
  if (const auto *Why = std::get_if<Rejection>(&Read))
    return refusePassed(*Arrived, {}, *Why);
  Arrival &Asked = std::get<Arrival>(Read);
  m_Shared.m_Metrics.m_Requests.add();
  if (m_RefusesAll)
    return refusePassed(*Arrived, Asked.m_Id, stopping());
  if (m_Open.size() >= m_Shared.m_Settings.m_Streams)
    return refusePassed(*Arrived, Asked.m_Id,
                        notRun(Refusal::TooManyStreams, "admission"));
  admit(Arrived, std::move(Asked));
}

void DataPath::takeForwarded(const std::shared_ptr<http::Exchange> &Arrived) {
  const TimePoint Now = BootClock::now();
  if (m_Shared.m_StopSchedule)
    Arrived->closeAfterLast();
  const auto Refuse = [&](const Rejection &Why) {
    m_Shared.m_Metrics.m_Registry.refusals(Why.m_Reason).add();
    events::emit(events::Event::RequestRefused,
                 {{"reason", refusalInfo(Why.m_Reason).m_Name},
                  {"outcome", outcomeName(Why.m_Outcome)},
                  {"step", Why.m_Step},
                  {"peer", Arrived->request().m_PeerAddress}});
    replyForwardRejection(*Arrived, Why);
  };
  if (!m_TakesRequests)
    return Refuse(starting());
  const auto Origin = readForwardOrigin(Arrived->request().m_Fields, Now);
  if (failed(Origin))
    return Refuse(notRun(Refusal::MalformedRequest, errorOf(Origin).m_Step,
                         errorOf(Origin).m_Message));
  auto Read =
      readPassed(Arrived->request(), m_Shared.m_Routes, *m_Shared.m_Dialect,
                 m_Shared.m_MeanPrompts, Now, valueOf(Origin));
  if (dependsOnOldKeys(Read, m_Shared.m_Revocation, Now))
    return Refuse(keysNotConfirmed());
  if (const auto *Why = std::get_if<Rejection>(&Read))
    return Refuse(*Why);
  if (m_RefusesAll)
    return Refuse(stopping());
  const std::size_t Streams = m_Shared.m_Settings.m_Streams;
  if (m_Open.size() >= Streams || m_OpenForwarded >= Streams / ForwardedPart)
    return Refuse(notRun(Refusal::TooManyStreams, "admission"));
  Arrival &Request = std::get<Arrival>(Read);
  m_Shared.m_Metrics.m_ForwardsTaken.add();
  events::emit(
      events::Event::ForwardTaken,
      {{"request", Request.m_Id},
       {"entry", valueOf(Origin).m_Entry},
       {"runs", valueOf(Origin).m_Runs},
       {"left_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                       Request.m_Deadline - Now)
                       .count()}});
  admit(Arrived, std::move(Request));
}

http::Response DataPath::refuseMalformed(int HttpStatus) {
  http::Response Page = malformedPage(HttpStatus);
  Refusal Reason = Refusal::MalformedRequest;
  for (const Refusal Other : {Refusal::BodyTooLarge, Refusal::HeaderTooLarge,
                              Refusal::MethodNotAllowed})
    if (refusalInfo(Other).m_HttpStatus == Page.m_Status)
      Reason = Other;
  m_Shared.m_Metrics.m_Registry.refusals(Reason).add();
  return Page;
}

void DataPath::answerModels(http::Exchange &Arrived) {
  const auto &Configured = m_Shared.m_Configuration.m_Models;
  const auto Names =
      Configured.empty() ? m_Shared.m_Fleet.servedModels() : Configured;
  std::string Body = R"({"object":"list","data":[)";
  for (const std::string &Name : Names) {
    if (Body.back() == '}')
      Body += ',';
    Body += R"({"object":"model","owned_by":"wasabivale","id":)";
    appendJsonString(Body, Name);
    Body += '}';
  }
  Body += "]}";
  Arrived.reply(200, {{"Content-Type", "application/json"}}, Body);
}

std::optional<Rejection> DataPath::refuseAtOnce(TimePoint Now) const {
  if (m_RefusesAll)
    return stopping();
  const bool Lapsed = !m_Shared.m_HoldsLease(Now) &&
                      (!m_HadLease || Now - m_LeaseLostAt > LapseGrace);
  if (Lapsed)
    return notRun(Refusal::NoConfiguration, "lease");
  if (m_Open.size() >= m_Shared.m_Settings.m_Streams)
    return notRun(Refusal::TooManyStreams, "admission");
  return std::nullopt;
}

void DataPath::admit(const std::shared_ptr<http::Exchange> &Arrived,
                     Arrival Asked) {
  const TimePoint Now = BootClock::now();
  ensureShare(lineOf(Asked), Now);
  auto Made =
      std::make_shared<Serving>(m_Shared, Arrived, std::move(Asked),
                                [this](Serving &Which) { takeEnded(Which); });
  m_Open[Made.get()] = Made;
  m_OpenForwarded += Made->arrival().m_Forwarded ? 1 : 0;
  Made->watchCaller();
  const Arrival &For = Made->arrival();
  if (!For.isService()) {
    wire::ModelDemand &Demand = m_Shared.m_Models[For.m_Model].m_Demand;
    Demand.set_requests(Demand.requests() + 1);
    Demand.set_prompt_tokens(Demand.prompt_tokens() + promptTokensOf(For));
  }
  if (const auto Until = Made->quarantinedUntil(Now))
    return Made->refuseUnstarted({Refusal::Quarantined, *Until - Now});
  if (Made->forwardUnstarted(false))
    return;
  if (For.m_Forwarded && Made->reachesNoTarget())
    return Made->refuseUnstarted({Refusal::NoTarget, Duration(0)});
  if (Made->needsVersion())
    return Made->findVersion([this](Serving &Found) { admitRead(Found); });
  admitRead(*Made);
}

void DataPath::admitRead(Serving &Request) {
  const TimePoint Now = BootClock::now();
  const auto Made = Request.shared_from_this();
  const Arrival &For = Made->arrival();
  const ModelUse *Use =
      For.isService() ? nullptr : &m_Shared.m_Models[For.m_Model];
  routing::Request Wanted =
      describeForRouting(For, blocksOf(For), Use ? outputShare(*Use) : 1);
  Wanted.m_RequiredVersion = Made->requiredVersion();
  auto Expected =
      routing::estimate(m_Shared.m_Routing, Wanted, Now, m_Shared.m_Random);
  const bool IsLate =
      !failed(Expected) && isExpectedLate(For, valueOf(Expected));
  if (IsLate) {
    Wanted.m_Priority = routingPriority(For.m_Passed->lateUrgency());
    Expected =
        routing::estimate(m_Shared.m_Routing, Wanted, Now, m_Shared.m_Random);
  }
  if (failed(Expected) && Made->forwardUnstarted(true))
    return;
  if (failed(Expected))
    return Made->refuseUnstarted(
        {Refusal::NoTarget, untilRateAdmits(m_Shared, Wanted, Now)});
  if (m_Shared.m_StopSchedule &&
      !shutdown::mayStart(*m_Shared.m_StopSchedule,
                          {For.m_Deadline, valueOf(Expected).m_FirstToken,
                           valueOf(Expected).m_Finish, false},
                          Now))
    return Made->refuseUnstarted({Refusal::Stopping, StoppingRetryAfter});
  // Estimates are those of a whole answer; a resumed stream has less to come.
  const bool IsResumed = For.isResumed();
  // Of a large prompt the estimate counts others that it goes before.
  if (For.m_Passed && For.m_Stream && !For.m_Passed->isLarge() && !IsResumed) {
    const Duration First = firstTokenTime(
        valueOf(Expected), Now,
        IsLate ? LateWaitCertainty : FirstEventCertainty, FirstEventCertainty);
    const Duration Patience = streamPatience(For.m_Passed->m_Route);
    if (First > Patience)
      return Made->refuseUnstarted(
          {Refusal::CannotMeetDeadline, First - Patience});
  }
  limits::AdmissionRequest Ask;
  Ask.m_Caller = lineOf(For);
  Ask.m_Model = capacityName(For);
  Ask.m_Priority = For.m_Priority;
  Ask.m_PromptTokens = Wanted.m_PromptTokens;
  Ask.m_OutputTokens = Wanted.m_ExpectedOutputTokens;
  Ask.m_Deadline = For.m_Deadline;
  Ask.m_Capacity = capacity(Ask.m_Model, Now);
  Ask.m_IsContinued = IsResumed && For.m_Stream;
  // While a target is free its own queue counts; otherwise ours stands for it.
  const TimePoint From =
      Ask.m_Capacity.m_FreeSlots > 0 ? Now : valueOf(Expected).m_Start;
  Ask.m_ServiceTime =
      std::max<Duration>(valueOf(Expected).m_Finish - From, Duration(0));
  if (For.m_Passed)
    Ask.m_MinServiceTime =
        leastTime(valueOf(Expected), From,
                  IsLate ? LateWaitCertainty : FirstTokenCertainty);
  if (IsResumed)
    Ask.m_MinServiceTime = Ask.m_ServiceTime = Duration(0);
  else if (For.m_Passed && For.m_Stream)
    Ask.m_Deadline = std::min(
        Ask.m_Deadline, lastEnd(For, valueOf(Expected), *Ask.m_MinServiceTime));
  if (m_Shared.m_StopSchedule)
    Ask.m_Deadline =
        std::min(Ask.m_Deadline, m_Shared.m_StopSchedule->m_AnswerBy);
  const limits::Decision Decided = limits::admit(m_Shared.m_Limits, Ask, Now);
  takeRefused(Decided.m_Evicted);
  if (const auto *Why = std::get_if<limits::Refused>(&Decided.m_Verdict))
    return Made->refuseUnstarted(*Why);
  if (const auto *Wait = std::get_if<limits::Queued>(&Decided.m_Verdict)) {
    m_Waiting[Wait->m_Ticket] = Made.get();
    return Made->enqueue(Wait->m_Ticket, Ask.m_Capacity, Wait->m_ExpectedStart);
  }
  Made->begin(std::get<limits::Admitted>(Decided.m_Verdict).m_Ticket);
}

limits::Capacity DataPath::capacity(const ModelId &Name, TimePoint Now) const {
  const bool IsService = Name.m_Value.rfind(ServiceCapacity, 0) == 0;
  const routing::Capacity Room = routing::capacityFor(
      m_Shared.m_Routing,
      IsService ? routing::Kind::Service : routing::Kind::Engine,
      IsService ? ModelId{Name.m_Value.substr(ServiceCapacity.size())} : Name,
      Now);
  limits::Capacity Told{Room.m_FreeSlots, Room.m_Slots};
  const auto Use = m_Shared.m_Models.find(Name.m_Value);
  const std::uint32_t Unplaced =
      Use == m_Shared.m_Models.end() ? 0 : Use->second.m_Unplaced;
  Told.m_FreeSlots -= std::min(Told.m_FreeSlots, Unplaced);
  // Nothing starts without a lease.
  if (!m_Shared.m_HoldsLease(Now))
    Told.m_FreeSlots = 0;
  return Told;
}

void DataPath::ensureShare(const CallerId &Caller, TimePoint Now) {
  const auto Held = m_Shares.find(Caller.m_Value);
  if (Held != m_Shares.end() && Now < Held->second)
    return;
  m_Shares[Caller.m_Value] = TimePoint::max();
  const auto Known = m_Shared.m_Configuration.m_Callers.find(Caller);
  // Without a share from control, the part that it leaves to everyone.
  const limits::Limits Share =
      Known == m_Shared.m_Configuration.m_Callers.end()
          ? limits::Limits{}
          : scale(Known->second.m_Limits, limits::FloorShare);
  const double Weight = Known == m_Shared.m_Configuration.m_Callers.end()
                            ? 1
                            : Known->second.m_Weight;
  limits::setShare(m_Shared.m_Limits, Caller, Weight, Share, TimePoint::max(),
                   Now);
}

void DataPath::takeRefused(const std::vector<limits::RefusedTicket> &Which) {
  for (const limits::RefusedTicket &One : Which) {
    const auto Found = m_Waiting.find(One.m_Ticket);
    if (Found == m_Waiting.end())
      continue;
    Serving *Refused = Found->second;
    m_Waiting.erase(Found);
    Refused->refuseUnstarted(One.m_Refused);
  }
}

void DataPath::takeEnded(Serving &Which) {
  m_Waiting.erase(Which.ticket());
  m_OpenForwarded -= Which.arrival().m_Forwarded ? 1 : 0;
  m_Open.erase(&Which);
  pumpSoon();
}

void DataPath::pumpSoon() {
  if (m_Pump != nullptr || m_Waiting.empty())
    return;
  m_Pump = std::make_unique<http::Timer>(
      m_Shared.m_Loop, std::chrono::milliseconds(0), false, [this] {
        m_Pump.reset();
        pump();
      });
}

void DataPath::pump() {
  const TimePoint Now = BootClock::now();
  takeRefused(limits::expire(m_Shared.m_Limits, Now));
  const limits::CapacityView Room = [this, Now](const ModelId &Name) {
    return capacity(Name, Now);
  };
  while (const auto Next = limits::nextToStart(m_Shared.m_Limits, Now, Room)) {
    const auto Found = m_Waiting.find(*Next);
    WASABIVALE_INVARIANT(Found != m_Waiting.end());
    Serving *Starting = Found->second;
    m_Waiting.erase(Found);
    Starting->begin(*Next);
  }
}

void DataPath::sweep() {
  const TimePoint Now = BootClock::now();
  const bool Holds = m_Shared.m_HoldsLease(Now);
  if (m_HadLease && Holds)
    m_LeaseLostAt = Now;
  m_HadLease = m_HadLease || Holds;
  std::vector<std::shared_ptr<Serving>> Running;
  for (const auto &[Key, One] : m_Open)
    if (One->phase() == Phase::Running || One->phase() == Phase::Forwarding)
      Running.push_back(One);
  for (const auto &One : Running)
    One->check(Now);
  if (m_Shared.m_Settings.m_Routes)
    forgetOldLoads(m_Shared.m_Routing, Now);
  if (m_Shared.m_StopSchedule)
    refuseWaitingForStop(Now);
  refuseWaitingForRest(Now);
  if (!m_Waiting.empty())
    pump();
}

void DataPath::startStopping(const shutdown::Schedule &Deadlines) {
  m_Shared.m_StopSchedule = Deadlines;
}

void DataPath::refuseWaitingForStop(TimePoint Now) {
  std::vector<limits::RefusedTicket> Refused;
  for (const auto &[Ticket, Waiting] : m_Waiting) {
    const Arrival &Request = Waiting->arrival();
    // Its target, and with it an estimate, is not known before it starts.
    if (!shutdown::mayStart(
            *m_Shared.m_StopSchedule,
            {Request.m_Deadline, Now, Now, !Request.m_NotRepeatable}, Now))
      Refused.push_back({Ticket, {Refusal::Stopping, StoppingRetryAfter}});
  }
  refuseWaiting(Refused, Now);
}

void DataPath::refuseWaitingForRest(TimePoint Now) {
  if (m_Shared.m_Routing.m_Resting.empty())
    return;
  std::map<std::string, std::optional<TimePoint>> AdmittedAt;
  std::vector<limits::RefusedTicket> Refused;
  for (const auto &[Ticket, Waiting] : m_Waiting) {
    const Arrival &Request = Waiting->arrival();
    const auto [Found, New] =
        AdmittedAt.try_emplace(capacityName(Request).m_Value);
    if (New)
      Found->second = routing::nextAdmittedAt(
          m_Shared.m_Routing,
          Request.isService() ? routing::Kind::Service : routing::Kind::Engine,
          {Request.m_Model}, Now);
    if (Found->second && *Found->second > Now &&
        *Found->second >= Request.m_Deadline)
      Refused.push_back({Ticket, {Refusal::NoTarget, *Found->second - Now}});
  }
  refuseWaiting(Refused, Now);
}

void DataPath::refuseWaiting(const std::vector<limits::RefusedTicket> &Refused,
                             TimePoint Now) {
  for (const limits::RefusedTicket &Ticket : Refused)
    limits::abandon(m_Shared.m_Limits, Ticket.m_Ticket, Now);
  takeRefused(Refused);
}

bool DataPath::sendsCallersAway() const {
  const bool CanForward =
      m_Shared.m_CanForward && m_Shared.m_CanForward(BootClock::now());
  return turnsCallersAway(WhileCut, m_Shared.m_Reach, CanForward);
}

bool DataPath::takeFleet(const wire::FleetUpdate &Update) {
  const TimePoint Now = BootClock::now();
  if (!Update.configuration().empty()) {
    auto Read = readConfiguration(Update.configuration(),
                                  Update.configuration_revision());
    if (failed(Read)) {
      events::emitError(events::Event::ConfigurationUnreadable, errorOf(Read));
      return false;
    }
    applyCallers(valueOf(Read), Now);
    m_Shared.m_Configuration = std::move(valueOf(Read));
    events::emit(events::Event::ConfigurationApplied,
                 {{"revision", Update.configuration_revision()}});
  }
  if (Update.has_routes())
    applyRoutes(Update.routes(), Now);
  m_Shared.m_Fleet.apply(Update, m_Shared.m_Routes.table(), m_Shared.m_Routing,
                         Now);
  m_Shared.m_RateLimits.applyAll(Now);
  m_Shared.m_StreamVersions.apply(Update, Now);
  events::emit(
      events::Event::FleetApplied,
      {{"revision", Update.revision()}, {"targets", m_Shared.m_Fleet.size()}});
  takeRequestsSoon();
  pumpSoon();
  return true;
}

void DataPath::takeRequestsSoon() {
  if (m_TakesRequests || m_Opening != nullptr ||
      m_Shared.m_Routes.table().m_Version == 0)
    return;
  m_Opening = std::make_unique<http::Timer>(
      m_Shared.m_Loop, std::chrono::milliseconds(0), false, [this] {
        m_TakesRequests = true;
        m_Opening.reset();
      });
}

void DataPath::applyRoutes(const wire::RouteTable &Given, TimePoint Now) {
  m_Shared.m_Routes = routes::Index(routes::fromWire(Given));
  const routes::Table &Table = m_Shared.m_Routes.table();
  m_Shared.m_Fleet.applyRoutes(Table, m_Shared.m_Routing, Now);
  events::emit(events::Event::RoutesApplied,
               {{"version", Table.m_Version},
                {"routes", Table.m_Routes.size()},
                {"services", Table.m_Services.size()}});
}

void DataPath::applyCallers(const Configuration &Next, TimePoint Now) {
  for (const auto &[Id, Former] : m_Shared.m_Configuration.m_Callers) {
    if (Next.m_Callers.count(Id) != 0)
      continue;
    m_Shares.erase(Id.m_Value);
    retries::forgetCaller(m_Shared.m_Retries, Id);
    takeRefused(limits::removeCaller(m_Shared.m_Limits, Id, Now));
  }
  // A share that was cut from other limits is not used any further.
  for (const auto &[Id, One] : Next.m_Callers) {
    const auto Former = m_Shared.m_Configuration.m_Callers.find(Id);
    const bool Same = Former != m_Shared.m_Configuration.m_Callers.end() &&
                      Former->second.m_Limits == One.m_Limits &&
                      Former->second.m_Weight == One.m_Weight;
    if (!Same)
      m_Shares.erase(Id.m_Value);
  }
}

void DataPath::takeGrant(const wire::ControlGrant &Grant, TimePoint LeaseEnd) {
  const TimePoint Now = BootClock::now();
  for (const wire::Share &Share : Grant.shares()) {
    const CallerId Id{Share.caller()};
    const auto Known = m_Shared.m_Configuration.m_Callers.find(Id);
    if (Known == m_Shared.m_Configuration.m_Callers.end())
      continue;
    m_Shares[Share.caller()] = LeaseEnd;
    limits::setShare(m_Shared.m_Limits, Id, Known->second.m_Weight,
                     toLimits(Share), LeaseEnd, Now);
  }
  if (Grant.entries() > 0) {
    m_Shared.m_Routing.m_Settings.m_Entries = Grant.entries();
    if (const auto &Routes = m_Shared.m_Settings.m_Routes)
      m_Shared.m_Retries.m_Settings.m_MaxTokens = std::max(
          1.0, Routes->m_RetryReserve * RetryReserveUsed / Grant.entries());
  }
  const TimePoint ReportSentAt =
      LeaseEnd -
      std::chrono::nanoseconds(static_cast<std::int64_t>(Grant.lease_ns()));
  revocation::recordGrant(m_Shared.m_Revocation,
                          {ReportSentAt, Grant.routes_version()},
                          m_Shared.m_Routes.table().m_Version);
  m_Shared.m_Usage.takeGrant(Grant);
  m_Shared.m_Suspects.takeGrant(Grant, Now);
  m_Shared.m_Traits.takeGrant(Grant, ReportSentAt, Now);
  m_Shared.m_RateLimits.takeGrant(Grant, Now);
  m_Shared.m_ForwardPeers.takeGrant(Grant, Now);
  pumpSoon();
}

void DataPath::fillReport(wire::EntryReport &Report) {
  const TimePoint Now = BootClock::now();
  m_Shared.m_Fleet.fillBarriers(m_Shared.m_Routing, Report);
  m_Shared.m_Fleet.fillLeaving(m_Shared.m_Routing, Report);
  m_Shared.m_Suspects.fillReport(Report, Now);
  m_Shared.m_Traits.fillReport(Report, Now);
  m_Shared.m_RateLimits.fillReport(Report);
  m_Shared.m_Usage.fillReport(Report, Now);
  Report.set_targets_unreachable(m_Shared.m_Reach.isCut());
  Report.set_forward_peers_revision(m_Shared.m_ForwardPeers.revision());
  // A process that stops is named to nobody any more.
  const auto &Routes = m_Shared.m_Settings.m_Routes;
  if (Routes && Routes->m_ForwardListen.m_Port != 0 && !m_Shared.m_StopSchedule)
    Report.set_forward_address(http::printAddress(Routes->m_ForwardListen));
  for (auto &[Name, Use] : m_Shared.m_Models) {
    const std::uint32_t Streams =
        routing::streamsInProgress(m_Shared.m_Routing, {Name});
    if (Use.m_Demand.requests() == 0 && Use.m_Demand.output_tokens() == 0 &&
        Use.m_Demand.refused() == 0 && Streams == 0)
      continue;
    Use.m_Demand.set_model(Name);
    Use.m_Demand.set_streams(Streams);
    if (const auto Rate =
            routing::observedPrefillRate(m_Shared.m_Routing, {Name}))
      Use.m_Demand.set_prefill_rate(*Rate);
    *Report.add_demand() = std::exchange(Use.m_Demand, {});
  }
  for (const limits::Usage &One : limits::takeUsage(m_Shared.m_Limits)) {
    wire::ShareUse &Use = *Report.add_shares();
    Use.set_caller(One.m_Caller.m_Value);
    Use.set_requests(One.m_Requests);
    Use.set_prompt_tokens(One.m_PromptTokens);
    Use.set_output_tokens(One.m_OutputTokens);
    Use.set_wanted_requests(One.m_OfferedRequests);
    Use.set_wanted_tokens(One.m_OfferedPromptTokens +
                          One.m_OfferedOutputTokens);
    Use.set_wanted_prompt_tokens(One.m_OfferedPromptTokens);
    Use.set_wanted_output_tokens(One.m_OfferedOutputTokens);
    Use.set_running(One.m_PeakRunning);
  }
}

bool DataPath::fillWork(wire::WorkNotice &Notice) {
  // Targets of our own API tell what waits there by themselves.
  if (!m_Shared.m_Settings.m_Routes)
    return false;
  workdigest::Rows Reported;
  for (const routing::EngineWork &Each : routing::ownWork(m_Shared.m_Routing)) {
    wire::TargetWork &Row = *Notice.add_work();
    Row.set_target(Each.m_Target.m_Value);
    Row.set_requests(Each.m_Requests);
    for (const std::uint64_t Tokens : Each.m_PromptTokens)
      Row.add_prompt_tokens(Tokens);
    Reported[workdigest::targetKey(Each.m_Target)] = {Each.m_Requests,
                                                      Each.m_PromptTokens};
  }
  Notice.set_last_digest(m_SentNotices.m_LastDigest);
  Notice.set_number(
      workdigest::recordNotice(m_SentNotices, std::move(Reported)));
  for (const routing::CachedPrefix &Each :
       routing::takePrefixUpdates(m_Shared.m_Routing)) {
    wire::KeptPrefix &Kept = *Notice.add_kept();
    Kept.set_target(Each.m_Target.m_Value);
    Kept.set_prefix(Each.m_Prefix);
    Kept.set_blocks(Each.m_Blocks);
  }
  return true;
}

void DataPath::applyTraits(const wire::TraitsUpdate &Update) {
  m_Shared.m_Traits.apply(Update, BootClock::now());
}

void DataPath::takeOthersWork(const wire::OthersWork &Told) {
  std::vector<routing::EngineWork> Rows;
  for (const wire::TargetWork &Each : Told.work()) {
    routing::EngineWork Row;
    Row.m_Target = {Each.target()};
    Row.m_Requests = Each.requests();
    Row.m_PromptTokens.assign(Each.prompt_tokens().begin(),
                              Each.prompt_tokens().end());
    Rows.push_back(std::move(Row));
  }
  routing::applyPeerWork(m_Shared.m_Routing, Rows, BootClock::now());
  std::vector<routing::CachedPrefix> Kept;
  for (const wire::KeptPrefix &Each : Told.kept())
    Kept.push_back({{Each.target()}, Each.prefix(), Each.blocks()});
  routing::applyPrefixUpdates(m_Shared.m_Routing, Kept);
  pumpSoon();
}

bool DataPath::applyWorkDigest(const wire::WorkDigest &Digest) {
  const auto Kept = workdigest::decodePrefixes(Digest.kept());
  if (failed(Kept))
    return false;
  const auto Others = workdigest::othersWork(m_SentNotices, Digest);
  if (failed(Others))
    return false;
  std::vector<routing::EngineWork> Rows;
  for (const auto &[Key, Work] : valueOf(Others))
    if (const TargetId *Target = m_Shared.m_Fleet.findByKey(Key))
      Rows.push_back({*Target, Work.m_Requests, Work.m_PromptTokens});
  routing::applyPeerWork(m_Shared.m_Routing, Rows, BootClock::now());
  std::vector<routing::CachedPrefix> Prefixes;
  for (const workdigest::Prefix &Item : valueOf(Kept))
    if (const TargetId *Target = m_Shared.m_Fleet.findByKey(Item.m_Target))
      Prefixes.push_back({*Target, Item.m_Hash, Item.m_Blocks});
  routing::applyPrefixUpdates(m_Shared.m_Routing, Prefixes);
  pumpSoon();
  return true;
}

void DataPath::endAll() {
  std::vector<std::shared_ptr<Serving>> All;
  for (const auto &[Key, One] : m_Open)
    All.push_back(One);
  for (const auto &One : All)
    One->endForStop();
}

void DataPath::updateGauges() {
  EntryMetrics &Metrics = m_Shared.m_Metrics;
  std::size_t Paused = 0;
  for (const auto &[Key, One] : m_Open)
    Paused += One->isPaused() ? 1 : 0;
  Metrics.m_Open.m_Value = static_cast<double>(m_Open.size());
  Metrics.m_Queued.m_Value = static_cast<double>(m_Waiting.size());
  Metrics.m_Running.m_Value =
      static_cast<double>(m_Open.size() - m_Waiting.size());
  Metrics.m_Paused.m_Value = static_cast<double>(Paused);
}

} // namespace wasabivale::entry
