// wasabivale-relay-bench: a bare byte relay, the baseline for what an entry
// costs; with --hold, a holder of many connections.

#include "Holder.h"
#include "Relay.h"
#include "daemon/daemon.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <sstream>

using namespace wasabivale;
namespace options = boost::program_options;

namespace {

struct Wanted {
  std::string m_Listen;
  std::string m_To;
  std::size_t m_Hold = 0;
  std::string m_Body;
};

std::string streamRequest(const std::string &Body) {
  return Body.empty()
             ? ""
             : fmt::format("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                           "Content-Length: {}\r\n\r\n{}",
                           Body.size(), Body);
}

int fail(const std::string &Message) {
  fmt::print(stderr, "wasabivale-relay-bench: {}\n", Message);
  return daemon::ExitUsage;
}

int run(const Wanted &What) {
  const auto To = http::parseAddress(What.m_To);
  if (failed(To))
    return fail(describe(errorOf(To)));
  daemon::EventLoop Loop;
  if (What.m_Hold > 0) {
    relaybench::hold(Loop.base(),
                     {valueOf(To), What.m_Hold, streamRequest(What.m_Body)});
    Loop.run();
    return daemon::ExitOk;
  }
  const auto At = http::parseAddress(What.m_Listen);
  if (failed(At))
    return fail(describe(errorOf(At)));
  if (!relaybench::relay(Loop.base(), valueOf(At), valueOf(To)))
    return fail("cannot listen at " + What.m_Listen);
  Loop.run();
  return daemon::ExitOk;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  Wanted What;
  options::options_description Known("Options");
  auto Add = Known.add_options();
  Add("help,h", "print this text");
  Add("listen", options::value(&What.m_Listen), "ip:port to relay from");
  Add("to", options::value(&What.m_To)->required(), "ip:port to relay to");
  Add("hold", options::value(&What.m_Hold)->default_value(0),
      "open so many connections instead and keep them");
  Add("body", options::value(&What.m_Body),
      "completion to ask for on each connection that is held");
  try {
    options::variables_map Given;
    options::store(options::parse_command_line(ArgumentCount, Arguments, Known),
                   Given);
    if (Given.count("help") != 0) {
      std::ostringstream Text;
      Text << Known;
      fmt::print("wasabivale-relay-bench: relays bytes\n\n{}", Text.str());
      return daemon::ExitOk;
    }
    options::notify(Given);
  } catch (const options::error &Failure) {
    return fail(Failure.what());
  }
  return run(What);
}
