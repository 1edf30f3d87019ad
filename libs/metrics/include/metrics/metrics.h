/// \file
/// Counters, gauges and latency histograms, printed as Prometheus text.
///
/// A registry belongs to one process and is used on its loop's thread only.
/// References to metrics stay valid as long as their registry.

#ifndef WASABIVALE_METRICS_METRICS_H
#define WASABIVALE_METRICS_METRICS_H

#include "base/base.h"

#include <boost/histogram.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wasabivale::metrics {

/// Label names with their values, in the order in which they are printed.
using Labels = std::vector<std::pair<std::string, std::string>>;

struct Counter {
  std::uint64_t m_Value = 0;

  void add(std::uint64_t Count = 1) { m_Value += Count; }
};

struct Gauge {
  double m_Value = 0;
};

/// Durations in logarithmic bins from 100 microseconds to 1,000 seconds.
class Histogram {
public:
  Histogram();
  void record(Duration Value);
  /// \param Quantile in [0, 1]. \returns the upper edge of the bin that holds
  /// it; zero when nothing was recorded.
  [[nodiscard]] Duration quantile(double Quantile) const;
  [[nodiscard]] std::uint64_t count() const { return m_Count; }
  [[nodiscard]] Duration sum() const { return m_Sum; }
  /// Cumulative count of records up to the upper edge of each bin, in seconds.
  [[nodiscard]] std::vector<std::pair<double, std::uint64_t>> buckets() const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> m_Bins;
  std::uint64_t m_Count = 0;
  Duration m_Sum{0};
};

/// Owns the metrics of a process.
class Registry {
public:
  Counter &counter(std::string_view Name, std::string_view Help,
                   const Labels &With = {});
  Gauge &gauge(std::string_view Name, std::string_view Help,
               const Labels &With = {});
  Histogram &histogram(std::string_view Name, std::string_view Help,
                       const Labels &With = {});
  /// The counter `wasabivale_refusals_total{reason="..."}` of \p Reason.
  Counter &refusals(Refusal Reason);

  /// Prometheus text exposition format, version 0.0.4.
  [[nodiscard]] std::string print() const;

private:
  template <typename T> struct Family {
    std::string m_Help;
    std::map<std::string, std::unique_ptr<T>> m_ByLabels;
  };
  template <typename T> using Families = std::map<std::string, Family<T>>;
  template <typename T>
  static T &find(Families<T> &In, std::string_view Name, std::string_view Help,
                 const Labels &With);

  Families<Counter> m_Counters;
  Families<Gauge> m_Gauges;
  Families<Histogram> m_Histograms;
};

} // namespace wasabivale::metrics

#endif // WASABIVALE_METRICS_METRICS_H
