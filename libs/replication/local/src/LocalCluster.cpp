#include "replication_local/replication_local.h"

#include <filesystem>
#include <fmt/format.h>

namespace wasabivale::replication {

namespace {

/// How long the loop turns before the condition is looked at again.
constexpr timeval PollInterval{0, 2000};

std::string joinLines(const std::vector<std::string> &Lines) {
  std::string Bytes;
  for (const std::string &Each : Lines)
    Bytes += Each + "\n";
  return Bytes;
}

std::vector<std::string> splitLines(const std::string &Bytes) {
  std::vector<std::string> Lines;
  for (std::size_t At = 0; At < Bytes.size();) {
    const std::size_t End = Bytes.find('\n', At);
    Lines.push_back(Bytes.substr(At, End - At));
    At = End + 1;
  }
  return Lines;
}

} // namespace

LocalCluster::LocalCluster(LocalClusterOptions Options)
    : m_Options(std::move(Options)), m_Loop(event_base_new()) {
  std::filesystem::create_directories(m_Options.m_Root);
  m_Members.resize(static_cast<std::size_t>(m_Options.m_Members));
  int Number = 0;
  for (LocalMember &Each : m_Members) {
    Each.m_Address =
        fmt::format("127.0.0.1:{}", m_Options.m_FirstPort + Number);
    Each.m_Id = {fmt::format("c{}", ++Number)};
    Each.m_Folder = m_Options.m_Root + "/" + Each.m_Id.m_Value;
    if (auto Keys = wire::generateKeys(); !failed(Keys))
      Each.m_Keys = valueOf(Keys);
  }
}

LocalCluster::~LocalCluster() {
  for (LocalMember &Each : m_Members)
    stop(Each);
  event_base_free(m_Loop);
  std::error_code Ignored;
  std::filesystem::remove_all(m_Options.m_Root, Ignored);
}

ReplicaCallbacks LocalCluster::callbacks(LocalMember &Of) {
  ReplicaCallbacks Made;
  Made.m_Apply = [&Of](consensus::Index, const std::string &Payload) {
    Of.m_Applied.push_back(Payload);
  };
  Made.m_TakeSnapshot = [&Of] { return joinLines(Of.m_Applied); };
  Made.m_Install = [&Of](const std::string &Bytes) -> Status {
    Of.m_Applied = splitLines(Bytes);
    return std::monostate{};
  };
  Made.m_OnLeadershipGained = [] {};
  Made.m_OnLeadershipLost = [] {};
  Made.m_OnFailure = [&Of](const Error &Failure) {
    Of.m_Failures.push_back(Failure);
  };
  return Made;
}

Status LocalCluster::start(LocalMember &Which) {
  Which.m_Applied.clear();
  wire::HubOptions Network;
  Network.m_Self = Which.m_Id;
  Network.m_Keys = Which.m_Keys;
  Network.m_ListenAddress = Which.m_Address;
  ReplicaOptions Own;
  for (const LocalMember &Each : m_Members) {
    Network.m_Peers.push_back(
        {Each.m_Id, Each.m_Keys.m_Public, Each.m_Address});
    Own.m_Listed.push_back(Each.m_Id);
  }
  auto Hub = wire::Hub::open(
      m_Loop, Network, m_Registry,
      [&Which](const NodeId &From, const wire::Envelope &Message) {
        if (Which.m_Replica && Message.has_consensus())
          Which.m_Replica->receive(From, Message.consensus());
      });
  if (failed(Hub))
    return errorOf(Hub);
  Which.m_Hub = std::move(valueOf(Hub));
  Own.m_Folder = Which.m_Folder;
  Own.m_Files = Which.m_Files;
  Own.m_Cluster = "local";
  Own.m_Self = Which.m_Id;
  Own.m_Timing = m_Options.m_Timing;
  Own.m_Limits = m_Options.m_Limits;
  Own.m_SnapshotRecords = m_Options.m_SnapshotRecords;
  auto Opened =
      Replica::open(m_Loop, *Which.m_Hub, m_Registry, Own, callbacks(Which));
  if (failed(Opened))
    return errorOf(Opened);
  Which.m_Replica = std::move(valueOf(Opened));
  return std::monostate{};
}

Status LocalCluster::startAll() {
  for (LocalMember &Each : m_Members)
    if (Status Started = start(Each); failed(Started))
      return Started;
  return std::monostate{};
}

void LocalCluster::stop(LocalMember &Which) {
  Which.m_Replica.reset();
  Which.m_Hub.reset();
}

bool LocalCluster::runUntil(const std::function<bool()> &Done,
                            Duration Limit) const {
  const TimePoint End = BootClock::now() + Limit;
  while (!Done() && BootClock::now() < End) {
    event_base_loopexit(m_Loop, &PollInterval);
    event_base_dispatch(m_Loop);
  }
  return Done();
}

LocalMember *LocalCluster::leader() {
  for (LocalMember &Each : m_Members)
    if (Each.m_Replica && Each.m_Replica->holdsLease())
      return &Each;
  return nullptr;
}

} // namespace wasabivale::replication
