/// \file
/// Counts and latencies of a load run, and its report.

#ifndef WASABIVALE_LOAD_TALLY_H
#define WASABIVALE_LOAD_TALLY_H

#include "Judge.h"
#include "Plan.h"
#include "metrics/metrics.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace wasabivale::load {

/// How one call ended.
struct Ending {
  std::size_t m_Stream = 0;
  Verdict m_Verdict = Verdict::Broken;
  std::string m_Reason; ///< Of a refusal or a failed connection.
  std::optional<Outcome> m_Outcome;
  bool m_InTime = false;
  Duration m_FirstByte{0}; ///< Since the intended send time; zero: none.
  Duration m_Total{0};     ///< Since the intended send time.
};

struct StreamTally {
  std::uint64_t m_Sent = 0;
  std::uint64_t m_InTime = 0;
  std::uint64_t m_Late = 0; ///< Whole, after the deadline.
  std::array<std::uint64_t, VerdictCount> m_Verdicts{};
  std::map<std::string, std::uint64_t> m_Reasons;
  std::map<std::string, std::uint64_t> m_Outcomes;
  metrics::Histogram m_FirstByte;
  metrics::Histogram m_Total;
};

struct Tally {
  std::vector<StreamTally> m_Streams;
  std::uint64_t m_Open = 0;       ///< Sent and not ended.
  std::uint64_t m_Unanswered = 0; ///< Open at the end of the run.
  /// Resends of a keyed request whose answer differed from the first one.
  std::uint64_t m_ResendsDiffer = 0;
};

Tally makeTally(const Plan &Of);
void noteSent(Tally &Into, std::size_t Stream);
void noteEnded(Tally &Into, const Ending &How);

/// Answers that no system may give: cut, doubled, mixed, wrong or differing.
std::uint64_t wrongAnswers(const Tally &Of);

/// One line for standard error.
std::string progressLine(const Tally &Of, std::chrono::seconds Elapsed);
std::string printTable(const Plan &Of, const Tally &Counted);
settings::Json toJson(const Plan &Of, const Tally &Counted);

} // namespace wasabivale::load

#endif // WASABIVALE_LOAD_TALLY_H
