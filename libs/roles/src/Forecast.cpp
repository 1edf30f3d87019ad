#include "roles/roles.h"

#include <algorithm>
#include <cmath>

namespace wasabivale::roles {

namespace {

/// Share of the trend that remains after each interval.
constexpr double TrendDamping = 0.8;
/// Smoothing weight of the trend, as a share of that of the level.
constexpr double TrendShare = 0.25;
/// Number of first intervals in which a series uses a plain mean.
constexpr std::uint64_t WarmUpIntervals = 4;

double dampedSum(double Intervals) {
  return TrendDamping * (1 - std::pow(TrendDamping, Intervals)) /
         (1 - TrendDamping);
}

} // namespace

void observe(Series &History, double Value, double Smoothing) {
  WASABIVALE_INVARIANT(Smoothing > 0 && Smoothing <= 1);
  ++History.m_Count;
  if (History.m_Count <= WarmUpIntervals) {
    double OldDeviation = Value - History.m_Level;
    History.m_Level += OldDeviation / static_cast<double>(History.m_Count);
    double NewDeviation = Value - History.m_Level;
    History.m_ErrorVariance +=
        (OldDeviation * NewDeviation - History.m_ErrorVariance) /
        static_cast<double>(History.m_Count);
    return;
  }
  double Expected = History.m_Level + TrendDamping * History.m_Trend;
  double Error = Value - Expected;
  double TrendSmoothing = Smoothing * TrendShare;
  History.m_Level = Expected + Smoothing * Error;
  History.m_Trend =
      TrendDamping * History.m_Trend + TrendSmoothing * Smoothing * Error;
  History.m_ErrorVariance +=
      Smoothing * (Error * Error - History.m_ErrorVariance);
}

Forecast forecastAfter(const Series &History, double Intervals,
                       double Smoothing) {
  double Mean = History.m_Level + History.m_Trend * dampedSum(Intervals);
  double LevelVariance = History.m_ErrorVariance * Smoothing / (2 - Smoothing);
  double Growth = 1 + Intervals * Smoothing * Smoothing;
  return {std::max(0.0, Mean), std::sqrt(LevelVariance * Growth)};
}

} // namespace wasabivale::roles
