// wasabivale-load: open-loop load on entries, with every answer judged.

#include "Runner.h"

#include <fmt/format.h>
#include <fstream>

namespace {

using namespace wasabivale;

bool writeReport(const load::Plan &Of, const load::Tally &Counted) {
  if (Of.m_ReportFile.empty())
    return true;
  std::ofstream File(Of.m_ReportFile);
  File << load::toJson(Of, Counted).dump(2) << "\n";
  File.close();
  if (!File)
    fmt::print(stderr, "cannot write {}\n", Of.m_ReportFile);
  return File.good();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  auto Read = daemon::readSettings(
      ArgumentCount, Arguments, "wasabivale-load",
      "Sends open-loop load to entries and judges every answer. Ends with 1 "
      "when an answer was wrong.",
      load::planSchema());
  if (const int *Code = std::get_if<int>(&Read))
    return *Code;
  Result<load::Plan> Plan = load::readPlan(std::get<settings::Json>(Read));
  if (failed(Plan)) {
    fmt::print(stderr, "{}\n", describe(errorOf(Plan)));
    return daemon::ExitUsage;
  }
  daemon::EventLoop Loop;
  load::Runner Run(Loop, valueOf(Plan), randomIdentity());
  Loop.onStop([&Run] { Run.stop(); });
  Run.start();
  Loop.run();
  fmt::print("{}", load::printTable(valueOf(Plan), Run.tally()));
  if (!writeReport(valueOf(Plan), Run.tally()))
    return daemon::ExitFailed;
  return load::wrongAnswers(Run.tally()) == 0 ? daemon::ExitOk
                                              : daemon::ExitFailed;
}
