/// \file
/// Measures the replicated log with three members in one process, on one loop
/// and one disk: commits a second, syncs a commit, and the time from the loss
/// of the leader to the next commit, and what a member costs at rest. Prints
/// one row `name value unit` for each.

#include "events/events.h"
#include "replication_local/replication_local.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <iostream>
#include <sys/resource.h>

namespace po = boost::program_options;
using namespace wasabivale;
using namespace std::chrono_literals;
using replication::LocalCluster;
using replication::LocalMember;

namespace {

constexpr std::size_t PayloadBytes = 256;
constexpr Duration LongestWait = 60s;

struct Settings {
  std::string m_Folder = std::filesystem::temp_directory_path().string();
  int m_Seconds = 3;
  int m_Failovers = 10;
  int m_FirstPort = 28540;
};

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

void printRow(const std::string &Name, double Value, const char *Unit) {
  fmt::print("{} {:.3f} {}\n", Name, Value, Unit);
}

/// Keeps a number of proposals waiting for a while.
class Load {
public:
  Load(LocalMember &At, std::size_t Waiting) : m_At(&At) {
    for (std::size_t Count = 0; Count < Waiting; ++Count)
      propose();
  }
  void stop() { m_Stopped = true; }
  [[nodiscard]] std::uint64_t commits() const { return m_Commits; }
  [[nodiscard]] bool isDone() const { return m_Waiting == 0; }

private:
  void propose() {
    ++m_Waiting;
    m_At->m_Replica->propose(
        std::string(PayloadBytes, 'x'), [this](const consensus::Decision &Of) {
          --m_Waiting;
          m_Commits += Of.m_Verdict == consensus::Verdict::Committed ? 1 : 0;
          if (!m_Stopped)
            propose();
        });
  }

  LocalMember *m_At;
  std::uint64_t m_Commits = 0;
  std::size_t m_Waiting = 0;
  bool m_Stopped = false;
};

void measureCommits(LocalCluster &Members, std::size_t Waiting, int Seconds) {
  LocalMember &Leads = *Members.leader();
  const std::uint64_t SyncsBefore = Leads.m_Replica->syncCount();
  const TimePoint Began = BootClock::now();
  Load Offered(Leads, Waiting);
  Members.runUntil([] { return false; }, std::chrono::seconds(Seconds));
  const auto Commits = static_cast<double>(Offered.commits());
  const Duration Took = BootClock::now() - Began;
  const auto Syncs =
      static_cast<double>(Leads.m_Replica->syncCount() - SyncsBefore);
  Offered.stop();
  Members.runUntil([&] { return Offered.isDone(); }, LongestWait);
  printRow(fmt::format("commits_per_second_{}_waiting", Waiting),
           Commits / toSeconds(Took), "commits/s");
  printRow(fmt::format("leader_syncs_per_commit_{}_waiting", Waiting),
           Syncs / Commits, "syncs");
}

/// Processor time of this process so far.
Duration processorTime() {
  rusage Used{};
  getrusage(RUSAGE_SELF, &Used);
  const auto ToDuration = [](const timeval &Of) {
    return std::chrono::seconds(Of.tv_sec) +
           std::chrono::microseconds(Of.tv_usec);
  };
  return ToDuration(Used.ru_utime) + ToDuration(Used.ru_stime);
}

void measureRest(LocalCluster &Members, int Seconds) {
  metrics::Counter &Sent =
      Members.registry().counter("wasabivale_consensus_sent_bytes_total", "");
  const std::uint64_t SentBefore = Sent.m_Value;
  const Duration UsedBefore = processorTime();
  const TimePoint Began = BootClock::now();
  Members.runUntil([] { return false; }, std::chrono::seconds(Seconds));
  const double Took = toSeconds(BootClock::now() - Began) *
                      static_cast<double>(Members.members().size());
  const double Used = toSeconds(processorTime() - UsedBefore);
  constexpr double PerCent = 100;
  printRow("member_bytes_at_rest",
           static_cast<double>(Sent.m_Value - SentBefore) / Took, "B/s");
  printRow("member_processor_at_rest", PerCent * Used / Took, "%");
}

/// \returns the time from the loss of the leader to the next commit.
Result<Duration> measureFailover(LocalCluster &Members) {
  LocalMember &Lost = *Members.leader();
  const TimePoint Began = BootClock::now();
  LocalCluster::stop(Lost);
  bool Waits = false;
  bool Committed = false;
  const bool Done = Members.runUntil(
      [&] {
        LocalMember *At = Members.leader();
        if (At != nullptr && !Waits) {
          Waits = true;
          At->m_Replica->propose("next", [&](const consensus::Decision &Of) {
            Waits = false;
            Committed = Of.m_Verdict == consensus::Verdict::Committed;
          });
        }
        return Committed;
      },
      LongestWait);
  const Duration Took = BootClock::now() - Began;
  if (!Done)
    return Error{"commit_bench.failover", Lost.m_Id.m_Value, "no new leader"};
  if (Status Started = Members.start(Lost); failed(Started))
    return errorOf(Started);
  Members.runUntil(
      [&] {
        LocalMember *At = Members.leader();
        return At != nullptr && Lost.m_Replica->status().m_CommitIndex ==
                                    At->m_Replica->status().m_CommitIndex;
      },
      LongestWait);
  return Took;
}

Status measureFailovers(LocalCluster &Members, int Count) {
  std::vector<Duration> Times;
  for (int At = 0; At < Count; ++At) {
    const Result<Duration> Took = measureFailover(Members);
    if (failed(Took))
      return errorOf(Took);
    Times.push_back(valueOf(Took));
  }
  std::sort(Times.begin(), Times.end());
  printRow("failover_median", toSeconds(Times[Times.size() / 2]), "s");
  printRow("failover_worst", toSeconds(Times.back()), "s");
  return std::monostate{};
}

Status measure(const Settings &With) {
  replication::LocalClusterOptions Options;
  Options.m_Root = fmt::format("{}/wasabivale-commit-bench-{}", With.m_Folder,
                               randomIdentity());
  Options.m_FirstPort = With.m_FirstPort;
  LocalCluster Members(Options);
  if (Status Started = Members.startAll(); failed(Started))
    return Started;
  if (!Members.runUntil([&] { return Members.leader() != nullptr; },
                        LongestWait))
    return Error{"commit_bench.start", "", "no leader"};
  measureRest(Members, With.m_Seconds);
  for (const std::size_t Waiting : {1U, 16U, 256U})
    measureCommits(Members, Waiting, With.m_Seconds);
  return measureFailovers(Members, With.m_Failovers);
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr int UsageError = 2;
  Settings With;
  po::options_description Known("wasabivale-commit-bench");
  Known.add_options()("help,h", "print this help")(
      "folder", po::value(&With.m_Folder), "where data folders are made")(
      "seconds", po::value(&With.m_Seconds), "seconds for each load (3)")(
      "failovers", po::value(&With.m_Failovers), "leaders to lose (10)")(
      "port", po::value(&With.m_FirstPort), "first of three ports (28540)");
  try {
    po::variables_map Given;
    po::store(po::parse_command_line(Count, Arguments, Known), Given);
    po::notify(Given);
    if (Given.count("help") != 0) {
      std::cout << Known;
      return 0;
    }
  } catch (const po::error &Failure) {
    fmt::print(stderr, "{}\n", Failure.what());
    return UsageError;
  }
  events::setMinimumLevel(events::Level::Error);
  const Status Done = measure(With);
  if (!failed(Done))
    return 0;
  fmt::print(stderr, "{}\n", describe(errorOf(Done)));
  return 1;
}
