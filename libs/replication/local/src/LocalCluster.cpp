#include "replication_local/replication_local.h"

#include <filesystem>
#include <fmt/format.h>

namespace wasabivale::replication {

namespace {

/// Time for which the event loop runs between two checks of the condition.
constexpr timeval PollInterval{0, 2000};

std::string joinLines(const std::vector<std::string> &Lines) {
  std::string Bytes;
  for (const std::string &Line : Lines)
    Bytes += Line + "\n";
  return Bytes;
}

std::vector<std::string> splitLines(const std::string &Bytes) {
  std::vector<std::string> Lines;
  for (std::size_t Begin = 0; Begin < Bytes.size();) {
    const std::size_t End = Bytes.find('\n', Begin);
    Lines.push_back(Bytes.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Lines;
}

} // namespace

LocalCluster::LocalCluster(LocalClusterOptions Options)
    : m_Options(std::move(Options)), m_Loop(event_base_new()) {
  std::filesystem::create_directories(m_Options.m_Root);
  m_Members.resize(static_cast<std::size_t>(m_Options.m_Members));
  int Number = 0;
  for (LocalMember &Member : m_Members) {
    Member.m_Address =
        fmt::format("127.0.0.1:{}", m_Options.m_FirstPort + Number);
    Member.m_Id = {fmt::format("c{}", ++Number)};
    Member.m_Folder = m_Options.m_Root + "/" + Member.m_Id.m_Value;
    if (auto Keys = wire::generateKeys(); !failed(Keys))
      Member.m_Keys = valueOf(Keys);
  }
}

LocalCluster::~LocalCluster() {
  for (LocalMember &Member : m_Members)
    stop(Member);
  event_base_free(m_Loop);
  std::error_code Ignored;
  std::filesystem::remove_all(m_Options.m_Root, Ignored);
}

ReplicaCallbacks LocalCluster::callbacks(LocalMember &Member) {
  ReplicaCallbacks Callbacks;
  Callbacks.m_Apply = [&Member](consensus::Index, const std::string &Payload) {
    Member.m_Applied.push_back(Payload);
  };
  Callbacks.m_TakeSnapshot = [&Member] { return joinLines(Member.m_Applied); };
  if (Member.m_TakesDigests)
    Callbacks.m_TakeDigest = [&Member](consensus::Index) {
      return hashBytes(joinLines(Member.m_Applied));
    };
  Callbacks.m_Install = [&Member](const std::string &Bytes) -> Status {
    Member.m_Applied = splitLines(Bytes);
    return std::monostate{};
  };
  Callbacks.m_OnLeadershipGained = [] {};
  Callbacks.m_OnLeadershipLost = [] {};
  Callbacks.m_OnFailure = [&Member](const Error &Failure) {
    Member.m_Failures.push_back(Failure);
  };
  return Callbacks;
}

Status LocalCluster::start(LocalMember &Member) {
  Member.m_Applied.clear();
  wire::HubOptions HubSettings;
  HubSettings.m_Self = Member.m_Id;
  HubSettings.m_Keys = Member.m_Keys;
  HubSettings.m_ListenAddress = Member.m_Address;
  ReplicaOptions Settings;
  for (const LocalMember &Listed : m_Members) {
    HubSettings.m_Peers.push_back(
        {Listed.m_Id, Listed.m_Keys.m_Public, Listed.m_Address});
    Settings.m_Listed.push_back(Listed.m_Id);
  }
  auto Hub = wire::Hub::open(
      m_Loop, HubSettings, m_Registry,
      [&Member](const NodeId &Sender, const wire::Envelope &Message) {
        if (Member.m_Replica && Message.has_consensus())
          Member.m_Replica->receive(Sender, Message.consensus());
      });
  if (failed(Hub))
    return errorOf(Hub);
  Member.m_Hub = std::move(valueOf(Hub));
  if (!Member.m_Seeds.empty()) {
    Settings.m_Listed = Member.m_Seeds;
    Settings.m_ListKind = ListKind::Seeds;
  }
  Settings.m_MayForm = Member.m_MayForm;
  Settings.m_Folder = Member.m_Folder;
  Settings.m_Files = Member.m_Files;
  Settings.m_Cluster = "local";
  Settings.m_Self = Member.m_Id;
  Settings.m_Timing = m_Options.m_Timing;
  Settings.m_Limits = m_Options.m_Limits;
  Settings.m_SnapshotRecords = m_Options.m_SnapshotRecords;
  Settings.m_DigestRecords = m_Options.m_DigestRecords;
  auto Opened = Replica::open(m_Loop, *Member.m_Hub, m_Registry, Settings,
                              callbacks(Member));
  if (failed(Opened))
    return errorOf(Opened);
  Member.m_Replica = std::move(valueOf(Opened));
  return std::monostate{};
}

Status LocalCluster::startAll() {
  for (LocalMember &Member : m_Members)
    if (Status Started = start(Member); failed(Started))
      return Started;
  return std::monostate{};
}

void LocalCluster::stop(LocalMember &Member) {
  Member.m_Replica.reset();
  Member.m_Hub.reset();
}

bool LocalCluster::runUntil(const std::function<bool()> &Condition,
                            Duration Timeout) const {
  const TimePoint End = BootClock::now() + Timeout;
  while (!Condition() && BootClock::now() < End) {
    event_base_loopexit(m_Loop, &PollInterval);
    event_base_dispatch(m_Loop);
  }
  return Condition();
}

LocalMember *LocalCluster::leader() {
  for (LocalMember &Member : m_Members)
    if (Member.m_Replica && Member.m_Replica->holdsLease())
      return &Member;
  return nullptr;
}

} // namespace wasabivale::replication
