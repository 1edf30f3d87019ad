#include "Judge.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <sstream>

namespace wasabivale::soak {

using namespace std::chrono_literals;

namespace {

constexpr int Ok = 200;
constexpr int NotFound = 404;
/// Requests that an entry must have been sent in a window to judge it.
constexpr std::uint64_t WindowRequests = 10;
constexpr std::chrono::milliseconds WindowLength{4'000};
/// A caller's connection that ends this soon after its request may have ended
/// before the entry read it.
constexpr std::chrono::milliseconds ReadSlack{600};
/// Requests sent this soon after a SIGTERM may still run at the end.
constexpr std::chrono::milliseconds EarlyAfterStop{3'000};

bool promisesNotRun(int Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

bool isStream(Kind Value) {
  return Value == Kind::Stream || Value == Kind::Resumable;
}

bool isRepeatable(Kind Value) {
  return Value == Kind::Safe || Value == Kind::Resumable;
}

std::int64_t inMilliseconds(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

} // namespace

unsigned linkNumber(unsigned Entry, unsigned Target) {
  return (Entry << 16U) + Target;
}

std::string eventText(std::uint64_t Id, std::uint64_t Total,
                      const std::string &Request, const std::string &Version) {
  return fmt::format("id: {}\ndata: {} {} {} {}\n\n", Id, Request, Id, Total,
                     Version);
}

Events readEvents(std::string_view Body, const Sent &Request) {
  Events Seen;
  Seen.m_Last = Request.m_LastEventId;
  Seen.m_Version = Request.m_FirstVersion;
  constexpr std::string_view End = "\n\n";
  constexpr std::string_view Data = "data: ";
  for (std::size_t Length = Body.find(End); Length != std::string_view::npos;
       Length = Body.find(End)) {
    const std::string_view Event = Body.substr(0, Length);
    Body.remove_prefix(Length + End.size());
    const std::size_t DataStart = Event.find(Data);
    std::uint64_t Id = 0;
    std::string Owner;
    std::string Version;
    if (DataStart != std::string_view::npos) {
      std::istringstream Text(
          std::string(Event.substr(DataStart + Data.size())));
      Text >> Owner >> Id >> Seen.m_Total >> Version;
    }
    Seen.m_IsForeign = Seen.m_IsForeign || Owner != Request.m_Id;
    Seen.m_HasGap = Seen.m_HasGap || Id != Seen.m_Last + 1;
    if (Seen.m_Version.empty())
      Seen.m_Version = Version;
    Seen.m_IsMixed = Seen.m_IsMixed || Version != Seen.m_Version;
    Seen.m_Last = Id;
  }
  return Seen;
}

void Judge::report(const std::string &Rule, const Record &Request,
                   const std::string &Text, TimePoint Now) {
  std::string Runs;
  for (const Run &Attempt : Request.m_Runs)
    Runs += fmt::format(
        " target={} began_ms={} answered_ms={}", Attempt.m_Target,
        inMilliseconds(Attempt.m_BeganAt - Request.m_Sent.m_SentAt),
        Attempt.m_AnsweredAt
            ? inMilliseconds(*Attempt.m_AnsweredAt - Request.m_Sent.m_SentAt)
            : -1);
  const auto Stop = stopBefore(Request.m_Sent.m_Entry, Now);
  m_Violations.push_back(
      {Rule, Request.m_Sent.m_Id,
       fmt::format("{}: route={} entry={} after_sending_ms={} "
                   "sent_after_stop_ms={}{}",
                   Text, Request.m_Sent.m_Route, Request.m_Sent.m_Entry,
                   inMilliseconds(Now - Request.m_Sent.m_SentAt),
                   Stop ? inMilliseconds(Request.m_Sent.m_SentAt - *Stop) : 0,
                   Runs),
       Now});
}

bool Judge::wasDisturbed(Part Kind, unsigned Number, TimePoint Start,
                         TimePoint Until) const {
  const auto Found = m_Disturbances.find({Kind, Number});
  if (Found == m_Disturbances.end())
    return false;
  return std::any_of(
      Found->second.begin(), Found->second.end(), [&](const auto &Disturbance) {
        return Disturbance.first <= Until && Disturbance.second >= Start;
      });
}

bool Judge::isInTouch(unsigned Entry, TimePoint Start, TimePoint Until) const {
  const TimePoint Earliest = Start - m_Bounds.m_Contact - m_Bounds.m_Margin;
  return !wasDisturbed(Part::Entry, Entry, Earliest, Until) &&
         !wasDisturbed(Part::Start, Entry, Earliest, Until) &&
         !wasDisturbed(Part::Core, 0, Earliest, Until) &&
         !wasDisturbed(Part::Observer, 0, Earliest, Until);
}

std::size_t Judge::disturbedTargets(TimePoint Start, TimePoint Until) const {
  std::set<unsigned> Found;
  for (const auto &[Subject, Spans] : m_Disturbances)
    if (Subject.first == Part::Target &&
        wasDisturbed(Subject.first, Subject.second, Start, Until))
      Found.insert(Subject.second);
  return Found.size();
}

std::optional<TimePoint> Judge::stopBefore(unsigned Entry,
                                           TimePoint Now) const {
  const auto Found = m_Stops.find(Entry);
  if (Found == m_Stops.end())
    return std::nullopt;
  std::optional<TimePoint> Last;
  for (const TimePoint StoppedAt : Found->second)
    if (StoppedAt <= Now && Now - StoppedAt < m_Bounds.m_Grace + 1s)
      Last = StoppedAt;
  return Last;
}

void Judge::sent(const Sent &Request) {
  ++m_Counts.m_Sent;
  ++m_Windows[Request.m_Entry].m_Sent;
  m_Requests[Request.m_Id].m_Sent = Request;
  m_Entries.insert(Request.m_Entry);
}

std::optional<unsigned> Judge::entryOf(const std::string &Id) const {
  const auto Found = m_Requests.find(Id);
  if (Found == m_Requests.end())
    return std::nullopt;
  return Found->second.m_Sent.m_Entry;
}

void Judge::countWhen(const Sent &Request, TimePoint BeganAt) {
  constexpr std::chrono::milliseconds LateFrom{3'500};
  constexpr std::chrono::milliseconds LateTo{6'000};
  constexpr std::chrono::milliseconds Young{1'000};
  const auto Start = m_Starts.find(Request.m_Entry);
  const bool IsYoung = Start != m_Starts.end() &&
                       Request.m_SentAt >= Start->second &&
                       Request.m_SentAt < Start->second + Young;
  m_Counts.m_RunsAtStart += IsYoung ? 1 : 0;
  const auto Stop = stopBefore(Request.m_Entry, BeganAt);
  if (!Stop || Request.m_SentAt <= *Stop)
    return;
  ++m_Counts.m_RunsWhileStopping;
  const bool IsOfNext = Start != m_Starts.end() && Start->second > *Stop;
  const Duration After = Request.m_SentAt - *Stop;
  m_Counts.m_RunsLate +=
      !IsOfNext && After >= LateFrom && After < LateTo ? 1 : 0;
}

std::size_t Judge::began(const std::string &Id, Run Started) {
  ++m_Counts.m_Runs;
  const auto Found = m_Requests.find(Id);
  if (Found == m_Requests.end()) {
    Record Unknown;
    Unknown.m_Sent.m_Id = Id;
    report("UNASKED", Unknown, "no caller sent this", Started.m_BeganAt);
    return 0;
  }
  Record &Request = Found->second;
  countWhen(Request.m_Sent, Started.m_BeganAt);
  Request.m_Runs.push_back(std::move(Started));
  const Run &Newest = Request.m_Runs.back();
  const bool IsOnce = !isRepeatable(Request.m_Sent.m_Kind);
  if (IsOnce && Request.m_Runs.size() > 1)
    report("TWICE", Request, "runs again", Newest.m_BeganAt);
  if (IsOnce && Request.m_Ending && !Request.m_Ending->m_IsBroken &&
      promisesNotRun(Request.m_Ending->m_Status))
    report("REFUSED", Request, "runs after its refusal", Newest.m_BeganAt);
  checkRoute(Request, Newest);
  checkDrain(Request, Newest);
  return Request.m_Runs.size() - 1;
}

void Judge::answered(const std::string &Id, std::size_t Number, TimePoint Now) {
  const auto Found = m_Requests.find(Id);
  if (Found != m_Requests.end() && Number < Found->second.m_Runs.size())
    Found->second.m_Runs[Number].m_AnsweredAt = Now;
}

std::uint64_t Judge::leastVersion(const Sent &Request, TimePoint Until) const {
  std::uint64_t Least = 0;
  if (!isInTouch(Request.m_Entry, Request.m_SentAt, Until))
    return Least;
  for (const auto &[Version, AcknowledgedAt] : m_Acknowledged)
    if (AcknowledgedAt + m_Bounds.m_Apply + m_Bounds.m_Margin <
        Request.m_SentAt)
      Least = std::max(Least, Version);
  return Least;
}

void Judge::checkRoute(const Record &Request, const Run &Started) {
  const std::uint64_t Least = leastVersion(Request.m_Sent, Started.m_BeganAt);
  bool IsAllowed = false;
  bool WasEver = false;
  for (const auto &[Version, Content] : m_Routes) {
    const auto Found = Content.find(Request.m_Sent.m_Route);
    const bool Allows =
        Found != Content.end() && Found->second.count(Started.m_Service) > 0;
    WasEver = WasEver || Allows;
    IsAllowed = IsAllowed || (Allows && Version >= Least);
  }
  if (!WasEver)
    report("ROUTE", Request, "no configuration allows " + Started.m_Service,
           Started.m_BeganAt);
  else if (!IsAllowed)
    report("CONFIG", Request,
           fmt::format("run by {}, which version {} no longer allows",
                       Started.m_Service, Least),
           Started.m_BeganAt);
}

void Judge::checkDrain(const Record &Request, const Run &Started) {
  const auto Left = m_Leaves.find(Started.m_Target);
  if (Left == m_Leaves.end() || Request.m_Sent.m_SentAt < Left->second +
                                                              m_Bounds.m_Drain +
                                                              m_Bounds.m_Margin)
    return;
  if (isInTouch(Request.m_Sent.m_Entry, Left->second, Started.m_BeganAt))
    report("DRAIN", Request, "reaches a target that leaves", Started.m_BeganAt);
}

void Judge::checkLost(const Record &Request) {
  const Sent &Call = Request.m_Sent;
  const TimePoint EndAt = Request.m_Ending->m_EndedAt;
  const auto Stop = stopBefore(Call.m_Entry, EndAt);
  if (EndAt > Call.m_Deadline - m_Bounds.m_Margin ||
      wasDisturbed(Part::Entry, Call.m_Entry,
                   Call.m_SentAt - m_Bounds.m_Contact, EndAt) ||
      wasDisturbed(Part::Cut, Call.m_Entry, Call.m_SentAt - m_Bounds.m_Contact,
                   EndAt) ||
      wasDisturbed(Part::Observer, 0, Call.m_SentAt, EndAt))
    return;
  if (Request.m_Runs.empty()) {
    // Without a SIGTERM, an entry closes no connection that is in use.
    if (Call.m_OnKeptConnection && (!Stop || EndAt - Call.m_SentAt > ReadSlack))
      report("LOST", Request, "not passed on and not answered", EndAt);
    return;
  }
  for (const Run &Attempt : Request.m_Runs)
    if (wasDisturbed(Part::Target, Attempt.m_Target, Call.m_SentAt, EndAt) ||
        wasDisturbed(Part::Link, linkNumber(Call.m_Entry, Attempt.m_Target),
                     Call.m_SentAt, EndAt))
      return;
  const bool IsAnswered = Request.m_Runs.back().m_AnsweredAt.has_value();
  if (!IsAnswered && Stop && EndAt >= *Stop + m_Bounds.m_Grace * 5 / 6 &&
      Call.m_SentAt <= *Stop + EarlyAfterStop)
    return;
  report("LOST", Request,
         IsAnswered ? "the target's answer did not arrive"
                    : "ended while its target was at work",
         EndAt);
}

void Judge::checkAnswer(const Record &Request) {
  const Ending &Got = *Request.m_Ending;
  if (Got.m_Status != Ok)
    return;
  if (isStream(Request.m_Sent.m_Kind)) {
    const Events Seen = readEvents(Got.m_Body, Request.m_Sent);
    if (Seen.m_HasGap)
      report("ORDER", Request, "a piece is missing or comes twice",
             Got.m_EndedAt);
    if (Seen.m_IsForeign)
      report("MIXED", Request, "events of another request", Got.m_EndedAt);
    if (m_ChecksVersions && Seen.m_IsMixed)
      report("ORDER", Request, "pieces of two software versions",
             Got.m_EndedAt);
    if (!Got.m_IsBroken && (Seen.m_Total == 0 || Seen.m_Last != Seen.m_Total))
      report("ORDER", Request,
             fmt::format("looks complete after event {} of {}", Seen.m_Last,
                         Seen.m_Total),
             Got.m_EndedAt);
  }
  if (Got.m_IsBroken)
    return;
  const bool IsOfRun = std::any_of(Request.m_Runs.begin(), Request.m_Runs.end(),
                                   [&](const Run &Attempt) {
                                     return Attempt.m_Stamp == Got.m_Stamp &&
                                            (isStream(Request.m_Sent.m_Kind) ||
                                             Attempt.m_Body == Got.m_Body);
                                   });
  if (!IsOfRun)
    report("MIXED", Request, "a success that no target gave to this request",
           Got.m_EndedAt);
}

void Judge::checkDenied(const Record &Request) {
  const Ending &Got = *Request.m_Ending;
  if (Got.m_Status != NotFound)
    return;
  const std::uint64_t Least = leastVersion(Request.m_Sent, Got.m_EndedAt);
  const bool IsEverywhere = std::all_of(
      m_Routes.lower_bound(Least), m_Routes.end(),
      [&](const auto &Configuration) {
        return Configuration.second.count(Request.m_Sent.m_Route) > 0;
      });
  if (IsEverywhere)
    report("CONFIG", Request, "not found, though its route is in force",
           Got.m_EndedAt);
}

void Judge::countOldConnection(const Record &Request) {
  const Ending &Got = *Request.m_Ending;
  const TimePoint SentAt = Request.m_Sent.m_SentAt;
  const auto Stop = stopBefore(Request.m_Sent.m_Entry, SentAt);
  if (!Got.m_IsOnOldConnection || !Stop)
    return;
  const auto Count = [&](OldCalls &Calls, std::chrono::milliseconds Later) {
    if (SentAt - *Stop <= Later)
      return;
    ++Calls.m_Sent;
    if (!Request.m_Runs.empty())
      ++Calls.m_Taken;
    else if (Got.m_IsBroken)
      Calls.m_Closed += Got.m_IsTimeout ? 0 : 1;
    else if (promisesNotRun(Got.m_Status))
      ++Calls.m_Refused;
  };
  Count(m_Counts.m_OldAfter2800, 2'800ms);
  Count(m_Counts.m_OldAfter4000, 4'000ms);
  Count(m_Counts.m_OldAfter6000, 6'000ms);
}

void Judge::checkOldConnections(TimePoint Now) {
  if (m_Counts.m_OldAfter4000.m_Sent == 0)
    m_Violations.push_back({"COVERAGE", "",
                            "no call was sent later than 4 s after a SIGTERM "
                            "on a connection from before it",
                            Now});
}

void Judge::countDuringCuts(const Record &Request) {
  const Sent &Call = Request.m_Sent;
  const Ending &Got = *Request.m_Ending;
  // Not found is right for a route that comes and goes.
  if (Got.m_Status == NotFound ||
      !isInTouch(Call.m_Entry, Call.m_SentAt, Got.m_EndedAt))
    return;
  // Some entry was cut off for the contact time before, and still is.
  const auto IsCut = [&](unsigned Entry) {
    const auto Found = m_Disturbances.find({Part::Cut, Entry});
    return Found != m_Disturbances.end() &&
           std::any_of(Found->second.begin(), Found->second.end(),
                       [&](const auto &CutOff) {
                         return CutOff.first + m_Bounds.m_Contact +
                                        m_Bounds.m_Margin <=
                                    Call.m_SentAt &&
                                Call.m_SentAt < CutOff.second;
                       });
  };
  const bool IsAtCut = IsCut(Call.m_Entry);
  const auto IsOther = [&](unsigned Entry) {
    return !IsCut(Entry) &&
           !wasDisturbed(Part::Cut, Entry, Call.m_SentAt, Call.m_SentAt) &&
           isInTouch(Entry, Call.m_SentAt, Got.m_EndedAt);
  };
  const bool IsAtOther = IsOther(Call.m_Entry);
  // The rule compares with others in touch at the time.
  if (std::none_of(m_Entries.begin(), m_Entries.end(), IsOther))
    return;
  const bool IsAnyCut =
      std::any_of(m_Disturbances.begin(), m_Disturbances.end(),
                  [&](const auto &Disturbance) {
                    return Disturbance.first.first == Part::Cut &&
                           IsCut(Disturbance.first.second);
                  });
  if (!IsAnyCut || (!IsAtCut && !IsAtOther))
    return;
  const std::uint64_t Served = !Got.m_IsBroken && Got.m_Status == Ok ? 1 : 0;
  ++(IsAtCut ? m_Counts.m_SentAtCut : m_Counts.m_SentAtOthers);
  (IsAtCut ? m_Counts.m_ServedAtCut : m_Counts.m_ServedAtOthers) += Served;
}

void Judge::checkCuts(TimePoint Now) {
  constexpr std::uint64_t FailuresAllowed = 10;
  constexpr std::uint64_t OneInAllowed = 50;
  const std::uint64_t Failed = m_Counts.m_SentAtCut - m_Counts.m_ServedAtCut;
  // Served less than two thirds as often.
  if (Failed > FailuresAllowed + m_Counts.m_SentAtCut / OneInAllowed &&
      m_Counts.m_ServedAtCut * m_Counts.m_SentAtOthers * 3 <
          m_Counts.m_ServedAtOthers * m_Counts.m_SentAtCut * 2)
    m_Violations.push_back(
        {"RECOVER", "",
         fmt::format("entries that were cut off served {} of {} requests, the "
                     "others {} of {}",
                     m_Counts.m_ServedAtCut, m_Counts.m_SentAtCut,
                     m_Counts.m_ServedAtOthers, m_Counts.m_SentAtOthers),
         Now});
}

void Judge::ended(const std::string &Id, const Ending &Got) {
  Record &Request = m_Requests[Id];
  Request.m_Ending = Got;
  if (Got.m_IsBroken)
    ++m_Counts.m_Broken;
  else if (Got.m_Status == Ok) {
    ++m_Counts.m_Served;
    ++m_Windows[Request.m_Sent.m_Entry].m_Served;
  } else
    ++(promisesNotRun(Got.m_Status) ? m_Counts.m_Refused : m_Counts.m_Failed);
  countOldConnection(Request);
  countDuringCuts(Request);
  checkAnswer(Request);
  if (Got.m_IsBroken) {
    if (!Got.m_IsTimeout)
      checkLost(Request);
    return;
  }
  if (!Got.m_Id.empty() && Got.m_Id != Id)
    report("MIXED", Request, "answer of " + Got.m_Id, Got.m_EndedAt);
  if (!isRepeatable(Request.m_Sent.m_Kind) && !Request.m_Runs.empty() &&
      promisesNotRun(Got.m_Status))
    report("REFUSED", Request, fmt::format("{}, and has run", Got.m_Status),
           Got.m_EndedAt);
  checkDenied(Request);
}

void Judge::disturbed(Part Kind, unsigned Number, TimePoint Start,
                      TimePoint Until) {
  m_Disturbances[{Kind, Number}].emplace_back(Start, Until);
}

void Judge::stopAsked(unsigned Entry, TimePoint Now) {
  m_Stops[Entry].push_back(Now);
}

void Judge::started(unsigned Entry, TimePoint Now) { m_Starts[Entry] = Now; }

void Judge::leaveAcknowledged(unsigned Target, TimePoint Now) {
  m_Leaves.emplace(Target, Now);
}

void Judge::targetStarted(unsigned Target) { m_Leaves.erase(Target); }

void Judge::routesSent(std::uint64_t Version, const Routes &Content) {
  m_Routes[Version] = Content;
}

void Judge::routesAcknowledged(std::uint64_t Version, TimePoint Now) {
  m_Acknowledged.emplace(Version, Now);
}

void Judge::stateDiverged(const std::string &LogLine, TimePoint Now) {
  m_Violations.push_back({"STATE", "", LogLine, Now});
}

void Judge::processEnded(const ProcessEnd &Ended, TimePoint Now) {
  const auto Report = [&](std::string_view How) {
    m_Violations.push_back(
        {"ENDED", "",
         Ended.m_Status < 0
             ? fmt::format("{} {}: signal {}", Ended.m_Name, How,
                           -Ended.m_Status)
             : fmt::format("{} {}: code {}", Ended.m_Name, How, Ended.m_Status),
         Now});
  };
  const bool IsKill = Ended.m_Status == -SIGKILL;
  if (IsKill && Ended.m_WasKilled)
    return;
  if (!Ended.m_StopAskedAt)
    return Report("ended by itself");
  if (Ended.m_Status == 0)
    return;
  if (IsKill && Ended.m_IsOverGrace) {
    if (!Ended.m_WasPausedInStop)
      Report("did not stop within its grace");
    return;
  }
  // The signal came before there was a handler; nothing was taken yet.
  if (Ended.m_Status == -SIGTERM &&
      *Ended.m_StopAskedAt <
          Ended.m_StartedAt + m_Bounds.m_Start + m_Bounds.m_Margin)
    return;
  Report("failed while it stopped");
}

void Judge::sanitizerReported(const std::string &Name, const std::string &Line,
                              TimePoint Now) {
  m_Violations.push_back(
      {"SANITIZER", "", fmt::format("{}: {}", Name, Line), Now});
}

void Judge::checkService(TimePoint Now) {
  for (auto &[Entry, Current] : m_Windows) {
    if (Now - Current.m_Start < WindowLength)
      continue;
    if (Current.m_Sent >= WindowRequests &&
        Current.m_Served * 2 < Current.m_Sent &&
        Current.m_Start != TimePoint{} &&
        isInTouch(Entry, Current.m_Start, Now) &&
        !wasDisturbed(Part::Cut, Entry, Current.m_Start - m_Bounds.m_Contact,
                      Now) &&
        disturbedTargets(Current.m_Start - m_Bounds.m_Contact, Now) <= 1)
      m_Violations.push_back(
          {"SERVED", "",
           fmt::format("entry {} was sent {} requests in {} ms and served {}",
                       Entry, Current.m_Sent,
                       inMilliseconds(Now - Current.m_Start), Current.m_Served),
           Now});
    Current = {0, 0, Now};
  }
}

std::vector<Violation> Judge::take() { return std::exchange(m_Violations, {}); }

} // namespace wasabivale::soak
