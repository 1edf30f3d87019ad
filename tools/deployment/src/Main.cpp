// wasabivale-deployment: writes the settings of a whole deployment on one host,
// with fresh keys: for the demo, tests and measurements.

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

/// Ports of a process follow from its number: control members lie from the
/// first port on, entries `EntryOffset` above it, `PortsEach` apart.
constexpr int PortsEach = 10;
constexpr int EntryOffset = 100;
constexpr int OperatorsOffset = 1;
constexpr int TargetsOffset = 1;
constexpr int AdminOffset = 2;

struct Plan {
  std::string m_Folder;
  std::string m_Host;
  int m_Control = 3;
  int m_Entries = 2;
  int m_FirstPort = 0;
  int m_Zones = 3;
  bool m_AllowAnonymous = false;
};

struct Node {
  std::string m_Name;
  wire::KeyPair m_Keys;
  int m_Port = 0;
  std::string m_Zone;
};

std::string at(const Plan &Of, int Port) {
  return fmt::format("{}:{}", Of.m_Host, Port);
}

std::vector<Node> makeNodes(const Plan &Of, const char *Kind, int Count,
                            int FirstPort) {
  std::vector<Node> Made;
  for (int I = 1; I <= Count; ++I)
    Made.push_back({fmt::format("{}-{}", Kind, I),
                    valueOf(wire::generateKeys()), FirstPort + PortsEach * I,
                    fmt::format("zone-{}", (I - 1) % Of.m_Zones + 1)});
  return Made;
}

Json common(const Plan &Of, const Node &Self) {
  return {
      {"id", Self.m_Name},
      {"region", "region-1"},
      {"zone", Self.m_Zone},
      {"keys",
       {{"public", Self.m_Keys.m_Public}, {"secret", Self.m_Keys.m_Secret}}},
      {"admin", {{"listen", at(Of, Self.m_Port + AdminOffset)}}}};
}

Json controlOf(const Plan &Of, const Node &Self,
               const std::vector<Node> &Members,
               const std::vector<Node> &Entries, const std::string &Token) {
  Json Made = common(Of, Self);
  Made["listen"] = at(Of, Self.m_Port);
  Made["operators"] = {
      {"listen", at(Of, Self.m_Port + OperatorsOffset)},
      {"tokens", {{{"name", "operator"}, {"token_hash", digestHex(Token)}}}}};
  Made["data_folder"] = Of.m_Folder + "/" + Self.m_Name + ".data";
  Made["cluster_id"] = "demo";
  for (const Node &Member : Members)
    Made["members"].push_back(
        {{"id", Member.m_Name},
         {"address", at(Of, Member.m_Port)},
         {"operators", at(Of, Member.m_Port + OperatorsOffset)},
         {"public_key", Member.m_Keys.m_Public}});
  Made["entries"] = Json::array();
  for (const Node &Entry : Entries)
    Made["entries"].push_back(
        {{"id", Entry.m_Name}, {"public_key", Entry.m_Keys.m_Public}});
  return Made;
}

Json entryOf(const Plan &Of, const Node &Self,
             const std::vector<Node> &Members) {
  Json Made = common(Of, Self);
  Made["callers"] = {{"listen", at(Of, Self.m_Port)}};
  Made["targets"] = {{"listen", at(Of, Self.m_Port + TargetsOffset)}};
  if (Of.m_AllowAnonymous)
    Made["callers"]["allow_anonymous"] = true;
  for (const Node &Member : Members)
    Made["control"].push_back({{"id", Member.m_Name},
                               {"address", at(Of, Member.m_Port)},
                               {"public_key", Member.m_Keys.m_Public}});
  return Made;
}

bool write(const std::string &File, const std::string &Text) {
  std::ofstream Output(File);
  Output << Text << "\n";
  Output.flush();
  if (!Output)
    fmt::print(stderr, "{}: cannot be written\n", File);
  return static_cast<bool>(Output);
}

int writeAll(const Plan &Of) {
  std::error_code Failure;
  std::filesystem::create_directories(Of.m_Folder, Failure);
  const auto Members = makeNodes(Of, "control", Of.m_Control, Of.m_FirstPort);
  const auto Entries =
      makeNodes(Of, "entry", Of.m_Entries, Of.m_FirstPort + EntryOffset);
  const std::string Token = randomIdentity();
  constexpr int Indent = 2;
  bool Written = write(Of.m_Folder + "/operator.token", Token);
  for (const Node &Member : Members)
    Written =
        write(fmt::format("{}/{}.json", Of.m_Folder, Member.m_Name),
              controlOf(Of, Member, Members, Entries, Token).dump(Indent)) &&
        Written;
  for (const Node &Entry : Entries)
    Written = write(fmt::format("{}/{}.json", Of.m_Folder, Entry.m_Name),
                    entryOf(Of, Entry, Members).dump(Indent)) &&
              Written;
  return Written ? daemon::ExitOk : daemon::ExitFailed;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  Plan Wanted;
  options::options_description Known("Options");
  auto Add = Known.add_options();
  Add("help,h", "print this text");
  Add("folder", options::value(&Wanted.m_Folder)->required(),
      "where the files go");
  Add("host", options::value(&Wanted.m_Host)->default_value("127.0.0.1"),
      "IP number of every process");
  Add("control", options::value(&Wanted.m_Control)->default_value(3),
      "control members (1 to 7)");
  Add("entries", options::value(&Wanted.m_Entries)->default_value(2),
      "entries (1 to 400)");
  Add("first-port", options::value(&Wanted.m_FirstPort)->default_value(21000),
      "control-N listens at this + 10 N, entry-N at this + 100 + 10 N");
  Add("zones", options::value(&Wanted.m_Zones)->default_value(3),
      "availability zones, dealt in turn");
  Add("allow-anonymous", options::bool_switch(&Wanted.m_AllowAnonymous),
      "entries serve callers without a key until there is a configuration");
  try {
    options::variables_map Given;
    options::store(options::parse_command_line(ArgumentCount, Arguments, Known),
                   Given);
    if (Given.count("help") != 0) {
      std::ostringstream Text;
      Text << Known;
      fmt::print("wasabivale-deployment: writes a deployment's settings\n\n{}",
                 Text.str());
      return daemon::ExitOk;
    }
    options::notify(Given);
  } catch (const options::error &Failure) {
    fmt::print(stderr, "wasabivale-deployment: {}\n", Failure.what());
    return daemon::ExitUsage;
  }
  return writeAll(Wanted);
}
