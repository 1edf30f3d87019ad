#include "Tally.h"

#include <fmt/format.h>

namespace wasabivale::load {

namespace {

using settings::Json;

double milliseconds(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

std::uint64_t countOf(const StreamTally &Of, Verdict Which) {
  return Of.m_Verdicts[static_cast<std::size_t>(Which)];
}

std::uint64_t wrongOf(const StreamTally &Of) {
  return countOf(Of, Verdict::Cut) + countOf(Of, Verdict::Doubled) +
         countOf(Of, Verdict::Mixed) + countOf(Of, Verdict::Wrong);
}

Json latencyJson(const metrics::Histogram &Of) {
  Json Made{{"count", Of.count()}};
  for (double Quantile : {0.5, 0.9, 0.95, 0.99, 0.999})
    Made[fmt::format("p{:g}_ms", 100 * Quantile)] =
        milliseconds(Of.quantile(Quantile));
  return Made;
}

Json streamJson(const StreamTally &Of) {
  Json Verdicts = Json::object();
  for (std::size_t Index = 0; Index < VerdictCount; ++Index)
    Verdicts[std::string(verdictName(static_cast<Verdict>(Index)))] =
        Of.m_Verdicts[Index];
  return {{"sent", Of.m_Sent},
          {"in_time", Of.m_InTime},
          {"late", Of.m_Late},
          {"verdicts", Verdicts},
          {"reasons", Of.m_Reasons},
          {"outcomes", Of.m_Outcomes},
          {"first_byte", latencyJson(Of.m_FirstByte)},
          {"total", latencyJson(Of.m_Total)}};
}

} // namespace

Tally makeTally(const Plan &Of) {
  Tally Made;
  Made.m_Streams.resize(Of.m_Streams.size());
  return Made;
}

void noteSent(Tally &Into, std::size_t Stream) {
  ++Into.m_Streams[Stream].m_Sent;
  ++Into.m_Open;
}

void noteEnded(Tally &Into, const Ending &How) {
  StreamTally &Of = Into.m_Streams[How.m_Stream];
  WASABIVALE_INVARIANT(Into.m_Open > 0);
  --Into.m_Open;
  ++Of.m_Verdicts[static_cast<std::size_t>(How.m_Verdict)];
  if (!How.m_Reason.empty())
    ++Of.m_Reasons[How.m_Reason];
  ++Of.m_Outcomes[How.m_Outcome ? std::string(outcomeName(*How.m_Outcome))
                                : "none"];
  if (How.m_FirstByte > Duration{0})
    Of.m_FirstByte.record(How.m_FirstByte);
  if (How.m_Verdict != Verdict::Whole)
    return;
  Of.m_Total.record(How.m_Total);
  ++(How.m_InTime ? Of.m_InTime : Of.m_Late);
}

std::uint64_t wrongAnswers(const Tally &Of) {
  std::uint64_t Sum = Of.m_ResendsDiffer;
  for (const StreamTally &Each : Of.m_Streams)
    Sum += wrongOf(Each);
  return Sum;
}

std::string progressLine(const Tally &Of, std::chrono::seconds Elapsed) {
  std::uint64_t Sent = 0;
  std::uint64_t InTime = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Broken = 0;
  for (const StreamTally &Each : Of.m_Streams) {
    Sent += Each.m_Sent;
    InTime += Each.m_InTime;
    Refused += countOf(Each, Verdict::Refused);
    Broken += countOf(Each, Verdict::Broken);
  }
  return fmt::format("{:>4} s  sent {}  in time {}  refused {}  broken {}  "
                     "wrong {}  open {}",
                     Elapsed.count(), Sent, InTime, Refused, Broken,
                     wrongAnswers(Of), Of.m_Open);
}

std::string printTable(const Plan &Of, const Tally &Counted) {
  std::string Text =
      fmt::format("{:<20} {:>8} {:>8} {:>6} {:>8} {:>7} {:>6} {:>10} {:>10} "
                  "{:>10} {:>10}\n",
                  "stream", "sent", "in_time", "late", "refused", "broken",
                  "wrong", "first_p50", "first_p95", "total_p50", "total_p95");
  for (std::size_t Index = 0; Index < Of.m_Streams.size(); ++Index) {
    const StreamTally &Each = Counted.m_Streams[Index];
    Text += fmt::format(
        "{:<20} {:>8} {:>8} {:>6} {:>8} {:>7} {:>6} {:>10.1f} {:>10.1f} "
        "{:>10.1f} {:>10.1f}\n",
        Of.m_Streams[Index].m_Name, Each.m_Sent, Each.m_InTime, Each.m_Late,
        countOf(Each, Verdict::Refused), countOf(Each, Verdict::Broken),
        wrongOf(Each), milliseconds(Each.m_FirstByte.quantile(0.5)),
        milliseconds(Each.m_FirstByte.quantile(0.95)),
        milliseconds(Each.m_Total.quantile(0.5)),
        milliseconds(Each.m_Total.quantile(0.95)));
    for (const auto &[Reason, Count] : Each.m_Reasons)
      Text += fmt::format("  {:<18} {:>8}\n", Reason, Count);
  }
  return Text;
}

Json toJson(const Plan &Of, const Tally &Counted) {
  Json Streams = Json::object();
  for (std::size_t Index = 0; Index < Of.m_Streams.size(); ++Index)
    Streams[Of.m_Streams[Index].m_Name] = streamJson(Counted.m_Streams[Index]);
  return {{"seed", Of.m_Seed},
          {"seconds", std::chrono::duration<double>(Of.m_Length).count()},
          {"streams", Streams},
          {"unanswered", Counted.m_Unanswered},
          {"resends_differ", Counted.m_ResendsDiffer},
          {"wrong_answers", wrongAnswers(Counted)}};
}

} // namespace wasabivale::load
