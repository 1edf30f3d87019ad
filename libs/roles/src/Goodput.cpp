#include "roles/roles.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wasabivale::roles {

namespace {

/// Steepness of the goodput loss around the knee of utilisation; no unit.
constexpr double KneeSharpness = 12;

double prefillAffinity(const Capacity &Engines) {
  return Engines.m_PrefillTokens / std::max(1e-9, Engines.m_DecodeTokens);
}

Capacity totalCapacity(const SplitCapacity &Split) {
  Capacity Sum;
  for (const Capacity &RoleCapacity : Split) {
    Sum.m_PrefillTokens += RoleCapacity.m_PrefillTokens;
    Sum.m_DecodeTokens += RoleCapacity.m_DecodeTokens;
  }
  return Sum;
}

} // namespace

double sustainableLoadFactor(const SplitCapacity &Split, const WorkRate &Work) {
  double Prefill = Work.m_PrefillTokens;
  double Decode = Work.m_DecodeTokens;
  if (Prefill <= 0 && Decode <= 0)
    return std::numeric_limits<double>::infinity();
  Capacity Remaining = totalCapacity(Split);
  if (Prefill <= 0)
    return Remaining.m_DecodeTokens / Decode;
  if (Decode <= 0)
    return Remaining.m_PrefillTokens / Prefill;

  // The roles best suited to prefill only prefill, one role divides its time,
  // and the rest only decode.
  SplitCapacity Ordered = Split;
  std::sort(Ordered.begin(), Ordered.end(),
            [](const Capacity &Left, const Capacity &Right) {
              return prefillAffinity(Left) > prefillAffinity(Right);
            });
  double PrefillTokens = 0;
  for (const Capacity &Candidate : Ordered) {
    double DecodeByOthers = Remaining.m_DecodeTokens - Candidate.m_DecodeTokens;
    double Weight =
        Candidate.m_PrefillTokens * Decode + Candidate.m_DecodeTokens * Prefill;
    double Balance =
        Remaining.m_DecodeTokens * Prefill - PrefillTokens * Decode;
    double Share = Weight > 0 ? std::clamp(Balance / Weight, 0.0, 1.0) : 0;
    if (Share < 1 || &Candidate == &Ordered.back()) {
      double PrefillLimit =
          (PrefillTokens + Share * Candidate.m_PrefillTokens) / Prefill;
      double DecodeLimit =
          (DecodeByOthers + (1 - Share) * Candidate.m_DecodeTokens) / Decode;
      return std::max(0.0, std::min(PrefillLimit, DecodeLimit));
    }
    PrefillTokens += Candidate.m_PrefillTokens;
    Remaining.m_DecodeTokens = DecodeByOthers;
  }
  return 0;
}

double goodput(const SplitCapacity &Split, const WorkRate &Work,
               const Policy &Rules) {
  double LoadFactor = sustainableLoadFactor(Split, Work);
  if (LoadFactor <= 0)
    return 0;
  double KneeRatio = 1 / (LoadFactor * Rules.m_UtilisationKnee);
  double Overload = std::pow(KneeRatio, KneeSharpness);
  return Work.m_Requests * std::pow(1 + Overload, -1 / KneeSharpness);
}

} // namespace wasabivale::roles
