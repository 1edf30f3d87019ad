#include "roles/roles.h"

#include <algorithm>
#include <cmath>

namespace wasabivale::roles {

namespace {

/// Part of the trend that is left after each interval.
constexpr double TrendDamping = 0.8;
/// Weight of a change of level in the trend, as a share of the smoothing.
constexpr double TrendShare = 0.25;
/// Intervals over which a new series uses a plain mean.
constexpr std::uint64_t WarmUp = 4;

double dampedSum(double Intervals) {
  return TrendDamping * (1 - std::pow(TrendDamping, Intervals)) /
         (1 - TrendDamping);
}

} // namespace

void observe(Series &Of, double Value, double Smoothing) {
  WASABIVALE_INVARIANT(Smoothing > 0 && Smoothing <= 1);
  ++Of.m_Count;
  if (Of.m_Count <= WarmUp) {
    double Before = Value - Of.m_Level;
    Of.m_Level += Before / static_cast<double>(Of.m_Count);
    double After = Value - Of.m_Level;
    Of.m_ErrorVariance +=
        (Before * After - Of.m_ErrorVariance) / static_cast<double>(Of.m_Count);
    return;
  }
  double Expected = Of.m_Level + TrendDamping * Of.m_Trend;
  double Error = Value - Expected;
  double TrendSmoothing = Smoothing * TrendShare;
  Of.m_Level = Expected + Smoothing * Error;
  Of.m_Trend = TrendDamping * Of.m_Trend + TrendSmoothing * Smoothing * Error;
  Of.m_ErrorVariance += Smoothing * (Error * Error - Of.m_ErrorVariance);
}

Forecast forecastAfter(const Series &Of, double Intervals, double Smoothing) {
  double Mean = Of.m_Level + Of.m_Trend * dampedSum(Intervals);
  double LevelVariance = Of.m_ErrorVariance * Smoothing / (2 - Smoothing);
  double Growth = 1 + Intervals * Smoothing * Smoothing;
  return {std::max(0.0, Mean), std::sqrt(LevelVariance * Growth)};
}

} // namespace wasabivale::roles
