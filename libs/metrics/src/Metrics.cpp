#include "metrics/metrics.h"

#include <fmt/format.h>

namespace wasabivale::metrics {

namespace {

constexpr unsigned HistogramBins = 70; // ten for each decade of seconds
constexpr double LowestSeconds = 1e-4;
constexpr double HighestSeconds = 1e3;

double inSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

std::string escaped(std::string_view Value) {
  std::string Text;
  for (const char Letter : Value) {
    if (Letter == '\n') {
      Text += "\\n";
      continue;
    }
    if (Letter == '"' || Letter == '\\')
      Text += '\\';
    Text += Letter;
  }
  return Text;
}

std::string printLabels(const Labels &With) {
  std::string Text;
  for (const auto &[Name, Value] : With)
    Text += fmt::format("{}{}=\"{}\"", Text.empty() ? "" : ",", Name,
                        escaped(Value));
  return Text;
}

std::string inBraces(const std::string &LabelText) {
  return LabelText.empty() ? "" : "{" + LabelText + "}";
}

void printHistogram(std::string &Text, const std::string &Name,
                    const std::string &LabelText, const Histogram &Values) {
  const std::string Comma = LabelText.empty() ? "" : ",";
  for (const auto &[Edge, Count] : Values.buckets())
    Text += fmt::format("{}_bucket{{{}{}le=\"{:.6g}\"}} {}\n", Name, LabelText,
                        Comma, Edge, Count);
  Text += fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n", Name, LabelText,
                      Comma, Values.count());
  Text += fmt::format("{}_sum{} {}\n", Name, inBraces(LabelText),
                      inSeconds(Values.sum()));
  Text +=
      fmt::format("{}_count{} {}\n", Name, inBraces(LabelText), Values.count());
}

} // namespace

Histogram::Histogram()
    : m_Bins(boost::histogram::make_histogram(
          Axis(HistogramBins, LowestSeconds, HighestSeconds))) {}

void Histogram::record(Duration Value) {
  m_Bins(inSeconds(Value));
  ++m_Count;
  m_Sum += Value;
}

std::vector<std::pair<double, std::uint64_t>> Histogram::buckets() const {
  std::vector<std::pair<double, std::uint64_t>> Buckets;
  auto Total = static_cast<std::uint64_t>(m_Bins.at(-1));
  for (int Bin = 0; Bin < static_cast<int>(HistogramBins); ++Bin) {
    Total += static_cast<std::uint64_t>(m_Bins.at(Bin));
    Buckets.emplace_back(m_Bins.axis(0).bin(Bin).upper(), Total);
  }
  return Buckets;
}

Duration Histogram::quantile(double Quantile) const {
  if (m_Count == 0)
    return Duration::zero();
  const double Rank = Quantile * static_cast<double>(m_Count);
  for (const auto &[Edge, Count] : buckets())
    if (static_cast<double>(Count) >= Rank)
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Edge));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(HighestSeconds));
}

template <typename T>
T &Registry::find(Families<T> &In, std::string_view Name, std::string_view Help,
                  const Labels &With) {
  Family<T> &Kin = In[std::string(Name)];
  if (Kin.m_Help.empty())
    Kin.m_Help = Help;
  std::unique_ptr<T> &Slot = Kin.m_ByLabels[printLabels(With)];
  if (!Slot)
    Slot = std::make_unique<T>();
  return *Slot;
}

Counter &Registry::counter(std::string_view Name, std::string_view Help,
                           const Labels &With) {
  return find(m_Counters, Name, Help, With);
}

Gauge &Registry::gauge(std::string_view Name, std::string_view Help,
                       const Labels &With) {
  return find(m_Gauges, Name, Help, With);
}

Histogram &Registry::histogram(std::string_view Name, std::string_view Help,
                               const Labels &With) {
  return find(m_Histograms, Name, Help, With);
}

Counter &Registry::refusals(Refusal Reason) {
  return counter("wasabivale_refusals_total", "Refusals by reason",
                 {{"reason", std::string(refusalInfo(Reason).m_Name)}});
}

std::string Registry::print() const {
  std::string Text;
  for (const auto &[Name, Kin] : m_Counters) {
    Text +=
        fmt::format("# HELP {0} {1}\n# TYPE {0} counter\n", Name, Kin.m_Help);
    for (const auto &[LabelText, Value] : Kin.m_ByLabels)
      Text +=
          fmt::format("{}{} {}\n", Name, inBraces(LabelText), Value->m_Value);
  }
  for (const auto &[Name, Kin] : m_Gauges) {
    Text += fmt::format("# HELP {0} {1}\n# TYPE {0} gauge\n", Name, Kin.m_Help);
    for (const auto &[LabelText, Value] : Kin.m_ByLabels)
      Text +=
          fmt::format("{}{} {}\n", Name, inBraces(LabelText), Value->m_Value);
  }
  for (const auto &[Name, Kin] : m_Histograms) {
    Text +=
        fmt::format("# HELP {0} {1}\n# TYPE {0} histogram\n", Name, Kin.m_Help);
    for (const auto &[LabelText, Value] : Kin.m_ByLabels)
      printHistogram(Text, Name, LabelText, *Value);
  }
  return Text;
}

} // namespace wasabivale::metrics
