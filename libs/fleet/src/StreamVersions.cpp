#include "StreamVersions.h"

#include "Replies.h"

#include <algorithm>

namespace wasabivale::fleet {

namespace {

/// A record is renewed only when half of its time is over, so that a stream
/// with many attempts has few elements in `m_Expiries`.
constexpr std::chrono::nanoseconds RenewalAge = StreamVersionRetention / 2;

bool isRegistered(const Target &Target) {
  return Target.m_State != TargetState::Lost &&
         Target.m_State != TargetState::Withdrawn;
}

void dropOldestStream(StreamVersions &Versions) {
  const auto [Stream, ExpiresAt] = Versions.m_Expiries.front();
  Versions.m_Expiries.pop_front();
  const auto Found = Versions.m_Begun.find(Stream);
  if (Found != Versions.m_Begun.end() && Found->second.m_ExpiresAt == ExpiresAt)
    Versions.m_Begun.erase(Found);
}

void recordStream(State &Fleet, std::uint64_t Stream, std::uint64_t Version) {
  StreamVersions &Versions = Fleet.m_StreamVersions;
  const auto [Found, New] = Versions.m_Begun.try_emplace(Stream);
  StreamVersions::Origin &Origin = Found->second;
  Origin.m_Version = New || Origin.m_Version == Version ? Version : 0;
  const LogTime ExpiresAt = Fleet.m_Now + StreamVersionRetention;
  if (!New && ExpiresAt - Origin.m_ExpiresAt < RenewalAge)
    return;
  Origin.m_ExpiresAt = ExpiresAt;
  Versions.m_Expiries.emplace_back(Stream, ExpiresAt);
  while (Versions.m_Begun.size() > MaxBegunStreams)
    dropOldestStream(Versions);
}

bool isWellFormed(const wire::StreamVersions &Report) {
  return Report.streams_size() == Report.version_indices_size() &&
         std::all_of(Report.version_indices().begin(),
                     Report.version_indices().end(), [&](std::uint32_t Index) {
                       return Index < static_cast<std::uint32_t>(
                                          Report.versions_size());
                     });
}

/// Removes the version whose last target is gone for longest.
void dropOldestVersion(StreamVersions &Versions) {
  Versions.m_LastServed.erase(std::min_element(
      Versions.m_LastServed.begin(), Versions.m_LastServed.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; }));
}

} // namespace

void recordServedVersions(State &Fleet) {
  auto &LastServed = Fleet.m_StreamVersions.m_LastServed;
  for (const auto &[Name, Target] : Fleet.m_Targets.m_ById)
    if (isRegistered(Target))
      for (const std::string &Service : Target.m_Models)
        LastServed[{Service, Target.m_SoftwareVersion}] = Fleet.m_Now;
  while (LastServed.size() > MaxServedVersions)
    dropOldestVersion(Fleet.m_StreamVersions);
}

void deriveServedVersions(State &Fleet) {
  auto &LastServed = Fleet.m_StreamVersions.m_LastServed;
  for (const auto &[Name, Target] : Fleet.m_Targets.m_ById)
    for (const std::string &Service : Target.m_Models) {
      LogTime &Served = LastServed[{Service, Target.m_SoftwareVersion}];
      Served = std::max(Served, Target.m_StateSince);
    }
  recordServedVersions(Fleet);
}

void expireStreamVersions(State &Fleet) {
  StreamVersions &Versions = Fleet.m_StreamVersions;
  const auto IsOld = [&](const auto &Item) {
    return Fleet.m_Now - Item.second > StreamVersionRetention;
  };
  if (std::any_of(Versions.m_LastServed.begin(), Versions.m_LastServed.end(),
                  IsOld)) {
    // Targets that stay registered are recorded with changes only.
    recordServedVersions(Fleet);
    std::erase_if(Versions.m_LastServed, IsOld);
  }
  while (!Versions.m_Expiries.empty() &&
         Versions.m_Expiries.front().second < Fleet.m_Now)
    dropOldestStream(Versions);
}

Reply handleStreamVersions(State &Fleet, const wire::StreamVersions &Report) {
  if (!isWellFormed(Report))
    return refuse(Refusal::InvalidField, "streams without a version");
  for (int I = 0; I < Report.streams_size(); ++I)
    recordStream(Fleet, Report.streams(I),
                 Report.versions(static_cast<int>(Report.version_indices(I))));
  for (const std::uint64_t Stream : Report.released())
    recordStream(Fleet, Stream, 0);
  return accept();
}

std::optional<std::uint64_t>
findStreamVersion(const State &Fleet, const wire::StreamLookUp &Query) {
  const StreamVersions &Versions = Fleet.m_StreamVersions;
  if (const auto Found = Versions.m_Begun.find(Query.stream());
      Query.stream() != 0 && Found != Versions.m_Begun.end())
    return Found->second.m_Version == 0
               ? std::nullopt
               : std::optional(Found->second.m_Version);
  std::optional<std::uint64_t> Only;
  for (const auto &[Key, LastServed] : Versions.m_LastServed) {
    if (Key.first != Query.service())
      continue;
    if (Only)
      return std::nullopt;
    Only = hashBytes(Key.second);
  }
  return Only;
}

bool append(wire::StreamVersions &Batch, const wire::StreamVersions &Report) {
  if (!isWellFormed(Report))
    return false;
  const auto First = static_cast<std::uint32_t>(Batch.versions_size());
  Batch.mutable_versions()->MergeFrom(Report.versions());
  Batch.mutable_streams()->MergeFrom(Report.streams());
  for (const std::uint32_t Index : Report.version_indices())
    Batch.add_version_indices(First + Index);
  Batch.mutable_released()->MergeFrom(Report.released());
  return true;
}

void fillServedVersions(const State &Fleet, wire::FleetUpdate &Update) {
  std::set<std::pair<std::string, std::string>> Registered;
  for (const auto &[Name, Target] : Fleet.m_Targets.m_ById)
    if (isRegistered(Target))
      for (const std::string &Service : Target.m_Models)
        Registered.emplace(Service, Target.m_SoftwareVersion);
  for (const auto &[Key, LastServed] : Fleet.m_StreamVersions.m_LastServed) {
    wire::ServiceVersion &Row = *Update.add_service_versions();
    Row.set_service(Key.first);
    Row.set_software_version(Key.second);
    // Log time stands still between commands: the rest is not too short.
    if (Registered.count(Key) == 0)
      Row.set_remaining_ns(std::max<std::uint64_t>(
          1, nanosecondsOf(std::chrono::nanoseconds(
                 LastServed + StreamVersionRetention - Fleet.m_Now))));
  }
}

void write(wire::StreamVersionsState &Message, const StreamVersions &Versions) {
  for (const auto &[Key, LastServed] : Versions.m_LastServed) {
    wire::ServedVersionState &Row = *Message.add_served();
    Row.set_service(Key.first);
    Row.set_software_version(Key.second);
    Row.set_last_served_ns(nanosecondsOf(LastServed));
  }
  for (const auto &[Stream, ExpiresAt] : Versions.m_Expiries) {
    const auto Found = Versions.m_Begun.find(Stream);
    if (Found == Versions.m_Begun.end() ||
        Found->second.m_ExpiresAt != ExpiresAt)
      continue;
    Message.add_streams(Stream);
    Message.add_versions(Found->second.m_Version);
    Message.add_expires_ns(nanosecondsOf(ExpiresAt));
  }
}

StreamVersions read(const wire::StreamVersionsState &Message) {
  StreamVersions Versions;
  for (const wire::ServedVersionState &Row : Message.served())
    Versions.m_LastServed[{Row.service(), Row.software_version()}] =
        logTime(Row.last_served_ns());
  const int Streams = std::min({Message.streams_size(), Message.versions_size(),
                                Message.expires_ns_size()});
  for (int I = 0; I < Streams; ++I) {
    const LogTime ExpiresAt = logTime(Message.expires_ns(I));
    Versions.m_Begun[Message.streams(I)] = {Message.versions(I), ExpiresAt};
    Versions.m_Expiries.emplace_back(Message.streams(I), ExpiresAt);
  }
  return Versions;
}

} // namespace wasabivale::fleet
