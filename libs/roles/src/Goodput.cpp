#include "roles/roles.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wasabivale::roles {

namespace {

/// How sharply answers begin to be late around the knee of utilisation.
constexpr double KneeSharpness = 12;

double prefillLeaning(const Capacity &Of) {
  return Of.m_PrefillTokens / std::max(1e-9, Of.m_DecodeTokens);
}

Capacity sumOf(const SplitCapacity &Split) {
  Capacity Sum;
  for (const Capacity &Each : Split) {
    Sum.m_PrefillTokens += Each.m_PrefillTokens;
    Sum.m_DecodeTokens += Each.m_DecodeTokens;
  }
  return Sum;
}

} // namespace

double sustainableLoadFactor(const SplitCapacity &Split, const WorkRate &Work) {
  double Prefill = Work.m_PrefillTokens;
  double Decode = Work.m_DecodeTokens;
  if (Prefill <= 0 && Decode <= 0)
    return std::numeric_limits<double>::infinity();
  Capacity Rest = sumOf(Split);
  if (Prefill <= 0)
    return Rest.m_DecodeTokens / Decode;
  if (Decode <= 0)
    return Rest.m_PrefillTokens / Prefill;

  // Those that suit prefill best prefill, one role shares its time, and the
  // rest decodes.
  SplitCapacity Ordered = Split;
  std::sort(Ordered.begin(), Ordered.end(),
            [](const Capacity &Left, const Capacity &Right) {
              return prefillLeaning(Left) > prefillLeaning(Right);
            });
  double Prefilled = 0;
  for (const Capacity &Sharing : Ordered) {
    double Others = Rest.m_DecodeTokens - Sharing.m_DecodeTokens;
    double Weight =
        Sharing.m_PrefillTokens * Decode + Sharing.m_DecodeTokens * Prefill;
    double Balance = Rest.m_DecodeTokens * Prefill - Prefilled * Decode;
    double Share = Weight > 0 ? std::clamp(Balance / Weight, 0.0, 1.0) : 0;
    if (Share < 1 || &Sharing == &Ordered.back()) {
      double ByPrefill =
          (Prefilled + Share * Sharing.m_PrefillTokens) / Prefill;
      double ByDecode =
          (Others + (1 - Share) * Sharing.m_DecodeTokens) / Decode;
      return std::max(0.0, std::min(ByPrefill, ByDecode));
    }
    Prefilled += Sharing.m_PrefillTokens;
    Rest.m_DecodeTokens = Others;
  }
  return 0;
}

double goodput(const SplitCapacity &Split, const WorkRate &Work,
               const Policy &Rules) {
  double Carried = sustainableLoadFactor(Split, Work);
  if (Carried <= 0)
    return 0;
  double Excess = 1 / (Carried * Rules.m_UtilisationKnee);
  double Late = std::pow(Excess, KneeSharpness);
  return Work.m_Requests * std::pow(1 + Late, -1 / KneeSharpness);
}

} // namespace wasabivale::roles
