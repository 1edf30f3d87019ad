// wasabivale-deployment: writes the settings of a complete deployment on one
// host, with new keys, for the demo, tests and benchmarks.

#include "daemon/daemon.h"
#include "wire/wire.h"

#include <boost/program_options.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace wasabivale;
using settings::Json;
namespace options = boost::program_options;

namespace {

/// The ports of a process are computed from its number: control members start
/// at the first port, entries `EntryOffset` above it, with `PortsPerProcess`
/// ports for each process.
constexpr int PortsPerProcess = 10;
constexpr int EntryOffset = 100;
constexpr int OperatorsOffset = 1;
constexpr int TargetsOffset = 1;
constexpr int AdminOffset = 2;

struct DeploymentOptions {
  std::string m_Folder;
  std::string m_Host;
  int m_ControlCount = 3;
  int m_EntryCount = 2;
  int m_FirstPort = 0;
  int m_ZoneCount = 3;
  bool m_AllowAnonymous = false;
};

struct Node {
  std::string m_Name;
  wire::KeyPair m_Keys;
  int m_Port = 0;
  std::string m_Zone;
};

std::string address(const DeploymentOptions &Options, int Port) {
  return fmt::format("{}:{}", Options.m_Host, Port);
}

std::vector<Node> makeNodes(const DeploymentOptions &Options, const char *Kind,
                            int Count, int FirstPort) {
  std::vector<Node> Nodes;
  for (int I = 1; I <= Count; ++I)
    Nodes.push_back(
        {fmt::format("{}-{}", Kind, I), valueOf(wire::generateKeys()),
         FirstPort + PortsPerProcess * I,
         fmt::format("zone-{}", (I - 1) % Options.m_ZoneCount + 1)});
  return Nodes;
}

Json commonSettings(const DeploymentOptions &Options, const Node &Process) {
  return {
      {"id", Process.m_Name},
      {"region", "region-1"},
      {"zone", Process.m_Zone},
      // Of a developer's machine, which also runs benchmarks.
      {"memory_mb", 1'024},
      {"keys",
       {{"public", Process.m_Keys.m_Public},
        {"secret", Process.m_Keys.m_Secret}}},
      {"admin", {{"listen", address(Options, Process.m_Port + AdminOffset)}}}};
}

Json controlSettings(const DeploymentOptions &Options, const Node &Process,
                     const std::vector<Node> &Members,
                     const std::vector<Node> &Entries,
                     const std::string &Token) {
  Json Settings = commonSettings(Options, Process);
  Settings["listen"] = address(Options, Process.m_Port);
  Settings["operators"] = {
      {"listen", address(Options, Process.m_Port + OperatorsOffset)},
      {"tokens", {{{"name", "operator"}, {"token_hash", digestHex(Token)}}}}};
  Settings["data_folder"] = Options.m_Folder + "/" + Process.m_Name + ".data";
  Settings["cluster_id"] = "demo";
  for (const Node &Member : Members)
    Settings["members"].push_back(
        {{"id", Member.m_Name},
         {"address", address(Options, Member.m_Port)},
         {"operators", address(Options, Member.m_Port + OperatorsOffset)},
         {"public_key", Member.m_Keys.m_Public}});
  Settings["entries"] = Json::array();
  for (const Node &Entry : Entries)
    Settings["entries"].push_back(
        {{"id", Entry.m_Name}, {"public_key", Entry.m_Keys.m_Public}});
  return Settings;
}

Json entrySettings(const DeploymentOptions &Options, const Node &Process,
                   const std::vector<Node> &Members) {
  Json Settings = commonSettings(Options, Process);
  Settings["callers"] = {{"listen", address(Options, Process.m_Port)}};
  Settings["targets"] = {
      {"listen", address(Options, Process.m_Port + TargetsOffset)}};
  if (Options.m_AllowAnonymous)
    Settings["callers"]["allow_anonymous"] = true;
  for (const Node &Member : Members)
    Settings["control"].push_back({{"id", Member.m_Name},
                                   {"address", address(Options, Member.m_Port)},
                                   {"public_key", Member.m_Keys.m_Public}});
  return Settings;
}

bool writeFile(const std::string &File, const std::string &Text) {
  std::ofstream Output(File);
  Output << Text << "\n";
  Output.flush();
  if (!Output)
    fmt::print(stderr, "{}: cannot write the file\n", File);
  return static_cast<bool>(Output);
}

int writeDeployment(const DeploymentOptions &Options) {
  std::error_code Failure;
  std::filesystem::create_directories(Options.m_Folder, Failure);
  const auto Members = makeNodes(Options, "control", Options.m_ControlCount,
                                 Options.m_FirstPort);
  const auto Entries = makeNodes(Options, "entry", Options.m_EntryCount,
                                 Options.m_FirstPort + EntryOffset);
  const std::string Token = randomIdentity();
  constexpr int Indent = 2;
  bool Success = writeFile(Options.m_Folder + "/operator.token", Token);
  for (const Node &Member : Members)
    Success =
        writeFile(fmt::format("{}/{}.json", Options.m_Folder, Member.m_Name),
                  controlSettings(Options, Member, Members, Entries, Token)
                      .dump(Indent)) &&
        Success;
  for (const Node &Entry : Entries)
    Success =
        writeFile(fmt::format("{}/{}.json", Options.m_Folder, Entry.m_Name),
                  entrySettings(Options, Entry, Members).dump(Indent)) &&
        Success;
  return Success ? daemon::ExitOk : daemon::ExitFailed;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  DeploymentOptions Options;
  options::options_description Description("Options");
  auto Add = Description.add_options();
  Add("help,h", "print this text");
  Add("folder", options::value(&Options.m_Folder)->required(),
      "folder for the settings files");
  Add("host", options::value(&Options.m_Host)->default_value("127.0.0.1"),
      "IP address of every process");
  Add("control", options::value(&Options.m_ControlCount)->default_value(3),
      "control members (1 to 7)");
  Add("entries", options::value(&Options.m_EntryCount)->default_value(2),
      "entries (1 to 400)");
  Add("first-port", options::value(&Options.m_FirstPort)->default_value(21000),
      "control-N listens at this + 10 N, entry-N at this + 100 + 10 N");
  Add("zones", options::value(&Options.m_ZoneCount)->default_value(3),
      "availability zones, assigned round-robin");
  Add("allow-anonymous", options::bool_switch(&Options.m_AllowAnonymous),
      "entries serve callers without a key until there is a configuration");
  try {
    options::variables_map Values;
    options::store(
        options::parse_command_line(ArgumentCount, Arguments, Description),
        Values);
    if (Values.count("help") != 0) {
      std::ostringstream Text;
      Text << Description;
      fmt::print("wasabivale-deployment: writes a deployment's settings\n\n{}",
                 Text.str());
      return daemon::ExitOk;
    }
    options::notify(Values);
  } catch (const options::error &Failure) {
    fmt::print(stderr, "wasabivale-deployment: {}\n", Failure.what());
    return daemon::ExitUsage;
  }
  return writeDeployment(Options);
}
