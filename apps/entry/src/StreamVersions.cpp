#include "StreamVersions.h"

#include "events/events.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::entry {

namespace {

/// Streams that begin within this time share a message.
constexpr std::chrono::milliseconds SendDelay{10};
/// Shortest time between two messages: bounds their cost at busy entries.
constexpr std::chrono::milliseconds SendInterval{100};
constexpr std::chrono::seconds ReportPatience{5};
constexpr std::size_t MaxStreamsOfMessage = 2'048;
/// Records of open streams are repeated, as control forgets them after a time.
constexpr std::chrono::seconds RepeatInterval{25};
constexpr std::chrono::seconds Retention{60};
constexpr std::size_t MaxStreams = 65'536;
/// Resumed streams for which control is asked at once. Anybody can claim to
/// resume one.
constexpr std::size_t MaxQuestions = 256;
/// A stream with more records withdrawn is not recorded any longer: a resume
/// asks for each of them in turn.
constexpr std::uint32_t MaxWithdrawals = 3;
constexpr std::chrono::seconds SweepInterval{1};

/// Of the version in its service: equal names in two services are two versions.
std::uint64_t hashVersion(const std::string &Service,
                          const std::string &Version) {
  return hashBytes(Version, hashBytes(Service));
}

/// Key of the record that a stream has after \p Withdrawals others. Control
/// can't record a version under a key that was released, as reports may be
/// reordered.
StreamVersions::StreamKey recordKey(StreamVersions::StreamKey Stream,
                                    std::uint32_t Withdrawals) {
  return Withdrawals == 0
             ? Stream
             : hashBytes(fmt::format("{}/{}", Stream, Withdrawals));
}

bool isUnrecorded(const Result<wire::CallReply> &Reply) {
  return !failed(Reply) && valueOf(Reply).refusal() == 0 &&
         valueOf(Reply).result().empty();
}

} // namespace

StreamVersions::StreamVersions(event_base *Loop, const FleetView &Fleet,
                               EntryMetrics &Metrics)
    : m_Loop(Loop), m_Fleet(Fleet), m_Metrics(Metrics),
      m_Sweep(std::make_unique<http::Timer>(Loop, SweepInterval, true,
                                            [this] { sweep(); })) {}

// --- Versions of services ---------------------------------------------------

void StreamVersions::apply(const wire::FleetUpdate &Update, TimePoint Now) {
  const auto Former = std::exchange(m_Versions, {});
  for (const wire::ServiceVersion &Service : Update.service_versions())
    m_Versions[Service.service()][Service.software_version()] =
        Service.remaining_ns() == 0
            ? TimePoint::max()
            : Now + std::chrono::nanoseconds(
                        static_cast<std::int64_t>(Service.remaining_ns()));
  for (const auto &[Service, Versions] : m_Fleet.softwareVersions())
    for (const std::string &Version : Versions)
      m_Versions[Service][Version] = TimePoint::max();
  keepFormerVersions(Former, Now);
  for (const auto &[Service, Versions] : m_Versions) {
    const auto Before = Former.find(Service);
    if (Versions.size() > 1 &&
        (Before == Former.end() || Before->second.size() < 2))
      events::emit(events::Event::VersionsMixed,
                   {{"service", Service}, {"versions", Versions.size()}});
  }
  for (auto &[Stream, Record] : m_Streams)
    if (mustReport(Record, Now))
      report(Stream, Record, Now);
}

/// A leader of another version may not tell versions that have left.
void StreamVersions::keepFormerVersions(const ServiceVersions &Former,
                                        TimePoint Now) {
  for (const auto &[Service, Versions] : Former)
    for (const auto &[Version, ForgottenAt] : Versions) {
      const TimePoint KeptUntil =
          std::min<TimePoint>(ForgottenAt, Now + Retention);
      if (Now < KeptUntil)
        m_Versions[Service].try_emplace(Version, KeptUntil);
    }
}

std::vector<std::string>
StreamVersions::currentVersions(const std::string &Service,
                                TimePoint Now) const {
  std::vector<std::string> Current;
  if (const auto Found = m_Versions.find(Service); Found != m_Versions.end())
    for (const auto &[Version, ForgottenAt] : Found->second)
      if (Now < ForgottenAt)
        Current.push_back(Version);
  return Current;
}

bool StreamVersions::hasSeveralVersions(const std::string &Service,
                                        TimePoint Now) const {
  return currentVersions(Service, Now).size() > 1;
}

// --- Records ----------------------------------------------------------------

bool StreamVersions::needsRecord(const Row &Record, TimePoint Now) const {
  // A stream with a withdrawn record is known by a later one only.
  return !Record.m_Service.empty() &&
         (Record.m_Withdrawals > 0 ||
          hasSeveralVersions(Record.m_Service, Now));
}

bool StreamVersions::mustReport(const Row &Record, TimePoint Now) const {
  return !Record.m_IsReported && needsRecord(Record, Now);
}

void StreamVersions::recordSent(StreamKey Stream, const std::string &Service,
                                const std::string &Version, TimePoint Now) {
  const auto Found = m_Streams.find(Stream);
  if (Found == m_Streams.end() && m_Streams.size() >= MaxStreams)
    return;
  Row &Record = Found == m_Streams.end() ? m_Streams[Stream] : Found->second;
  const bool IsSame =
      Record.m_Service == Service && Record.m_Version == Version;
  if (Record.m_IsReported && !IsSame)
    withdraw(Record, Record.m_Withdrawals + 1);
  Record.m_HasEvent = Record.m_HasEvent && IsSame;
  Record.m_Service = Service;
  Record.m_Version = Version;
  Record.m_IsOpen = true;
  if (mustReport(Record, Now))
    report(Stream, Record, Now);
}

void StreamVersions::recordEvent(StreamKey Stream) {
  if (const auto Found = m_Streams.find(Stream); Found != m_Streams.end())
    Found->second.m_HasEvent = true;
}

void StreamVersions::recordEnded(StreamKey Stream, TimePoint Now) {
  const auto Found = m_Streams.find(Stream);
  if (Found == m_Streams.end())
    return;
  Found->second.m_IsOpen = false;
  Found->second.m_ExpiresAt = Now + Retention;
}

void StreamVersions::noteWithdrawals(StreamKey Stream, std::uint32_t Count,
                                     TimePoint Now) {
  if (Count == 0 ||
      (m_Streams.count(Stream) == 0 && m_Streams.size() >= MaxStreams))
    return;
  const auto [Found, New] = m_Streams.try_emplace(Stream);
  Row &Record = Found->second;
  if (New) {
    Record.m_IsOpen = false;
    Record.m_ExpiresAt = Now + Retention;
  }
  if (Count > Record.m_Withdrawals)
    withdraw(Record, Count);
}

void StreamVersions::withdraw(Row &Record, std::uint32_t Count) {
  Record.m_Withdrawals = std::min(Count, MaxWithdrawals + 1);
  // What was reported of it is of a former record.
  Record.m_Service.clear();
  Record.m_IsReported = false;
}

std::uint32_t StreamVersions::withdrawals(StreamKey Stream) const {
  const auto Found = m_Streams.find(Stream);
  return Found == m_Streams.end() ? 0 : Found->second.m_Withdrawals;
}

std::optional<std::string>
StreamVersions::reportedVersion(StreamKey Stream,
                                const std::string &Service) const {
  const auto Found = m_Streams.find(Stream);
  if (Found == m_Streams.end() || Found->second.m_Service != Service ||
      !Found->second.m_IsReported ||
      Found->second.m_Withdrawals > MaxWithdrawals)
    return std::nullopt;
  return Found->second.m_Version;
}

std::optional<std::string>
StreamVersions::knownVersion(StreamKey Stream,
                             const std::string &Service) const {
  const auto Found = m_Streams.find(Stream);
  if (Found == m_Streams.end() || Found->second.m_Service != Service)
    return std::nullopt;
  return Found->second.m_Version;
}

void StreamVersions::report(StreamKey Stream, Row &Record, TimePoint Now) {
  Record.m_IsReported = true;
  Record.m_NextReport = Now + RepeatInterval;
  queue(Stream, Record);
  sendSoon(Now);
}

void StreamVersions::queue(StreamKey Stream, Row &Record) {
  if (!std::exchange(Record.m_IsQueued, true))
    m_Unsent.push_back(Stream);
}

void StreamVersions::sendSoon(TimePoint Now) {
  if (m_SendTimer != nullptr || m_Unsent.empty())
    return;
  const Duration Delay = std::max<Duration>(SendDelay, m_NextSend - Now);
  m_SendTimer = std::make_unique<http::Timer>(
      m_Loop, std::chrono::ceil<std::chrono::milliseconds>(Delay), false,
      [this] { sendReports(); });
}

void StreamVersions::sendReports() {
  const TimePoint Now = BootClock::now();
  m_SendTimer.reset();
  m_NextSend = Now + SendInterval;
  wire::Command Command;
  wire::StreamVersions &Report = *Command.mutable_stream_versions();
  std::map<std::uint64_t, std::uint32_t> Indices;
  const auto Last =
      m_Unsent.begin() + static_cast<std::ptrdiff_t>(
                             std::min(m_Unsent.size(), MaxStreamsOfMessage));
  std::vector<StreamKey> Streams(m_Unsent.begin(), Last);
  m_Unsent.erase(m_Unsent.begin(), Last);
  std::erase_if(Streams, [&](StreamKey Stream) {
    const auto Found = m_Streams.find(Stream);
    if (Found == m_Streams.end())
      return true;
    Found->second.m_IsQueued = false;
    return !Found->second.m_IsReported;
  });
  for (const StreamKey Stream : Streams) {
    const Row &Record = m_Streams.at(Stream);
    // Repeated, since control forgets withdrawals as it forgets records.
    for (std::uint32_t I = 0; I < Record.m_Withdrawals; ++I)
      Report.add_released(recordKey(Stream, I));
    if (Record.m_Withdrawals > MaxWithdrawals)
      continue;
    const std::uint64_t Version =
        hashVersion(Record.m_Service, Record.m_Version);
    const auto [Index, New] = Indices.try_emplace(
        Version, static_cast<std::uint32_t>(Indices.size()));
    if (New)
      Report.add_versions(Version);
    Report.add_streams(recordKey(Stream, Record.m_Withdrawals));
    Report.add_version_indices(Index->second);
  }
  if (!Streams.empty() && m_Control) {
    m_Metrics.m_StreamRecords.add(Streams.size());
    m_Control(std::move(Command), Now + ReportPatience,
              [this, Streams, IsAlive = std::weak_ptr<bool>(m_IsAlive)](
                  const Result<wire::CallReply> &Reply) {
                if (!IsAlive.expired())
                  takeReply(Streams, Reply);
              });
  }
  sendSoon(Now);
}

void StreamVersions::takeReply(const std::vector<StreamKey> &Streams,
                               const Result<wire::CallReply> &Reply) {
  if (!failed(Reply) && valueOf(Reply).refusal() == 0)
    return;
  events::emit(events::Event::StreamRecordsDelayed,
               {{"streams", Streams.size()},
                {"message", failed(Reply) ? errorOf(Reply).m_Message
                                          : valueOf(Reply).message()}});
  for (const StreamKey Stream : Streams)
    if (const auto Found = m_Streams.find(Stream); Found != m_Streams.end())
      queue(Stream, Found->second);
  sendSoon(BootClock::now());
}

void StreamVersions::release(StreamKey Stream, TimePoint Deadline,
                             std::function<void(bool)> Done) {
  const auto Found = m_Streams.find(Stream);
  WASABIVALE_INVARIANT(Found != m_Streams.end());
  if (!m_Control)
    return Done(false);
  wire::Command Command;
  Command.mutable_stream_versions()->add_released(
      recordKey(Stream, Found->second.m_Withdrawals));
  m_Control(std::move(Command), Deadline,
            [this, Stream, Done = std::move(Done),
             IsAlive = std::weak_ptr<bool>(m_IsAlive)](
                const Result<wire::CallReply> &Reply) {
              const bool Committed =
                  !failed(Reply) && valueOf(Reply).refusal() == 0;
              if (IsAlive.expired())
                return;
              if (const auto Record = m_Streams.find(Stream);
                  Committed && Record != m_Streams.end())
                withdraw(Record->second, Record->second.m_Withdrawals + 1);
              Done(Committed);
            });
}

void StreamVersions::sweep() {
  const TimePoint Now = BootClock::now();
  std::erase_if(m_Streams, [&](const auto &Item) {
    return !Item.second.m_IsOpen && Item.second.m_ExpiresAt < Now;
  });
  for (auto &[Stream, Record] : m_Streams)
    if (Record.m_IsOpen && Record.m_IsReported && Record.m_NextReport <= Now &&
        needsRecord(Record, Now))
      report(Stream, Record, Now);
}

// --- Resumed streams --------------------------------------------------------

void StreamVersions::find(const std::string &Service,
                          std::optional<StreamKey> Stream, TimePoint Deadline,
                          std::function<void(const Finding &)> Done) {
  if (Stream)
    // A try without an event may have been followed by one elsewhere.
    if (const auto Found = m_Streams.find(*Stream);
        Found != m_Streams.end() && Found->second.m_HasEvent)
      return Found->second.m_Service == Service
                 ? Done({Found->second.m_Version, "own_memory"})
                 : Done({std::nullopt, "other_service"});
  // What this entry knows of the fleet may be older than the stream.
  if (!m_Control)
    return Done({std::nullopt, "no_control"});
  if (m_OpenQuestions >= MaxQuestions)
    return Done({std::nullopt, "too_many"});
  ++m_OpenQuestions;
  ask({Service, Stream, Deadline},
      [this, Done = std::move(Done)](const Finding &Found) {
        --m_OpenQuestions;
        Done(Found);
      });
}

void StreamVersions::ask(Question Next, OnFound Done) {
  wire::Command Command;
  wire::StreamLookUp &Query =
      *Command.mutable_stream_versions()->mutable_look_up();
  // The only version of a service tells nothing of a stream that was released.
  if (Next.m_Withdrawals == 0)
    Query.set_service(Next.m_Service);
  Query.set_stream(recordKey(Next.m_Stream.value_or(0), Next.m_Withdrawals));
  const TimePoint Deadline = Next.m_Deadline;
  m_Control(std::move(Command), Deadline,
            [this, Next = std::move(Next), Done = std::move(Done),
             IsAlive = std::weak_ptr<bool>(m_IsAlive)](
                const Result<wire::CallReply> &Reply) mutable {
              if (IsAlive.expired())
                return;
              if (isUnrecorded(Reply) && Next.m_Stream &&
                  Next.m_Withdrawals < MaxWithdrawals) {
                ++Next.m_Withdrawals;
                return ask(std::move(Next), std::move(Done));
              }
              const Finding Found = readAnswer(Next.m_Service, Reply);
              if (Found.m_Version && Next.m_Stream)
                noteWithdrawals(*Next.m_Stream, Next.m_Withdrawals,
                                BootClock::now());
              Done(Found);
            });
}

StreamVersions::Finding
StreamVersions::readAnswer(const std::string &Service,
                           const Result<wire::CallReply> &Reply) const {
  if (failed(Reply))
    return {std::nullopt, "no_answer"};
  if (valueOf(Reply).refusal() != 0)
    return {std::nullopt, "refused"};
  const std::string &Text = valueOf(Reply).result();
  if (Text.empty())
    return {std::nullopt, "not_recorded"};
  const auto Hash = http::parseNumber<std::uint64_t>(Text);
  if (!Hash)
    return {std::nullopt, "unreadable"};
  if (const auto Found = m_Versions.find(Service); Found != m_Versions.end())
    for (const auto &[Version, ForgottenAt] : Found->second)
      // Control knows no service of a stream that is recorded by the name
      // alone, or not at all.
      if (hashVersion(Service, Version) == *Hash || hashBytes(Version) == *Hash)
        return {Version, "control"};
  return {std::nullopt, "no_target"};
}

} // namespace wasabivale::entry
