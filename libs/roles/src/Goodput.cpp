#include "roles/roles.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wasabivale::roles {

namespace {

constexpr double Infinite = std::numeric_limits<double>::infinity();
/// How sharply answers begin to be late around the knee of utilisation.
constexpr double KneeSharpness = 12;

double ratio(double Rate, double Work) {
  return Work > 0 ? Rate / Work : Infinite;
}

/// Share of the mixed engines' time that \p Multiple of the work would take.
double mixedTime(const SplitCapacity &Split, const WorkRate &Work,
                 double Multiple) {
  double Prefill = Multiple * Work.m_PrefillTokens - Split.m_PrefillTokens;
  double Decode = Multiple * Work.m_DecodeTokens - Split.m_DecodeTokens;
  double Time = 0;
  if (Prefill > 0)
    Time += Prefill / Split.m_MixedPrefillTokens;
  if (Decode > 0)
    Time += Decode / Split.m_MixedDecodeTokens;
  return Time;
}

} // namespace

double carriedMultiple(const SplitCapacity &Split, const WorkRate &Work,
                       double MixedEfficiency) {
  double ByPrefill = ratio(Split.m_PrefillTokens, Work.m_PrefillTokens);
  double ByDecode = ratio(Split.m_DecodeTokens, Work.m_DecodeTokens);
  double Lower = std::min(ByPrefill, ByDecode);
  double Upper = std::max(ByPrefill, ByDecode);
  bool HasMixed =
      Split.m_MixedPrefillTokens > 0 && Split.m_MixedDecodeTokens > 0;
  if (!HasMixed || Lower == Infinite)
    return Lower;
  // Mixed engines first help with one kind of work; above Upper with both.
  double FirstSlope =
      ByPrefill < ByDecode
          ? ratio(Work.m_PrefillTokens, Split.m_MixedPrefillTokens)
          : ratio(Work.m_DecodeTokens, Split.m_MixedDecodeTokens);
  double OneKind = Lower + 1 / FirstSlope;
  if (OneKind <= Upper)
    return OneKind;
  double Left = MixedEfficiency - mixedTime(Split, Work, Upper);
  if (Left <= 0)
    return Upper;
  double BothSlope = Work.m_PrefillTokens / Split.m_MixedPrefillTokens +
                     Work.m_DecodeTokens / Split.m_MixedDecodeTokens;
  return Upper + Left / BothSlope;
}

double goodput(const SplitCapacity &Split, const WorkRate &Work,
               const Policy &Rules) {
  double Carried = carriedMultiple(Split, Work, Rules.m_MixedEfficiency);
  if (Carried <= 0)
    return 0;
  double Excess = 1 / (Carried * Rules.m_UtilisationKnee);
  double Late = std::pow(Excess, KneeSharpness);
  return Work.m_Requests * std::pow(1 + Late, -1 / KneeSharpness);
}

} // namespace wasabivale::roles
