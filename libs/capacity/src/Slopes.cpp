#include "capacity/capacity.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace wasabivale::capacity {

namespace {

constexpr std::size_t FewestSamples = 3;
constexpr double SmallestSpread = 1e-9;

struct Sums {
  double m_Weight = 0;
  double m_Size = 0;
  double m_Cost = 0;
  double m_SizeSquared = 0;
  double m_Product = 0;
};

/// Each sample weighs by the inverse square of its cost, so that a small size
/// is fitted as closely, as a share, as a large one.
Sums sumUp(const std::vector<Sample> &Samples) {
  Sums Total;
  for (const Sample &One : Samples) {
    const double Weight = One.m_Cost == 0 ? 1 : 1 / (One.m_Cost * One.m_Cost);
    Total.m_Weight += Weight;
    Total.m_Size += Weight * One.m_Size;
    Total.m_Cost += Weight * One.m_Cost;
    Total.m_SizeSquared += Weight * One.m_Size * One.m_Size;
    Total.m_Product += Weight * One.m_Size * One.m_Cost;
  }
  return Total;
}

double largestMiss(const Slope &Of) {
  double Largest = 0;
  for (const Sample &One : Of.m_Samples)
    if (One.m_Cost != 0)
      Largest =
          std::max(Largest, std::abs(costAt(Of, One.m_Size) - One.m_Cost) /
                                std::abs(One.m_Cost));
  return Largest;
}

} // namespace

double costAt(const Slope &Of, double Size) {
  return Of.m_Fixed + Of.m_PerUnit * Size;
}

Result<Slope> fit(std::string Name, std::string CostUnit, std::string SizeUnit,
                  std::vector<Sample> Samples) {
  if (Samples.size() < FewestSamples)
    return Error{"capacity.fit", Name, "three samples or more are needed"};
  const Sums Total = sumUp(Samples);
  const double Spread =
      Total.m_Weight * Total.m_SizeSquared - Total.m_Size * Total.m_Size;
  // Rounding leaves a trace where the sizes are equal.
  if (Spread <= SmallestSpread * Total.m_Weight * Total.m_SizeSquared)
    return Error{"capacity.fit", Name, "the samples are all of one size"};
  Slope Line{
      std::move(Name),   std::move(CostUnit), std::move(SizeUnit), 0, 0, 0,
      std::move(Samples)};
  Line.m_PerUnit =
      (Total.m_Weight * Total.m_Product - Total.m_Size * Total.m_Cost) / Spread;
  Line.m_Fixed =
      (Total.m_Cost - Line.m_PerUnit * Total.m_Size) / Total.m_Weight;
  Line.m_FitError = largestMiss(Line);
  return Line;
}

settings::Json printSlopes(const Slopes &From) {
  settings::Json Document = settings::Json::object();
  for (const auto &[Name, Line] : From) {
    settings::Json Samples = settings::Json::array();
    for (const Sample &One : Line.m_Samples)
      Samples.push_back({One.m_Size, One.m_Cost});
    Document[Name] = {{"cost_unit", Line.m_CostUnit},
                      {"size_unit", Line.m_SizeUnit},
                      {"samples", Samples}};
  }
  return Document;
}

Result<Slopes> parseSlopes(const settings::Json &From) {
  Slopes Parsed;
  for (const auto &[Name, Line] : From.items()) {
    std::vector<Sample> Samples;
    for (const auto &One : Line.at("samples"))
      Samples.push_back({One.at(0), One.at(1)});
    auto Fitted =
        fit(Name, Line.at("cost_unit"), Line.at("size_unit"), Samples);
    if (failed(Fitted))
      return errorOf(Fitted);
    Parsed[Name] = valueOf(Fitted);
  }
  return Parsed;
}

std::string printSlopeTable(const Slopes &From) {
  std::string Text =
      "| Slope | Each | Fixed | Unit | Sizes measured | Fit error |\n"
      "|---|---|---|---|---|---|\n";
  for (const auto &[Name, Line] : From) {
    std::string Sizes;
    for (const Sample &One : Line.m_Samples)
      Sizes += fmt::format("{}{:g}", Sizes.empty() ? "" : ", ", One.m_Size);
    Text +=
        fmt::format("| `{}` | {:.4g} | {:.4g} | {} per {} | {} | {:.0f}% |\n",
                    Name, Line.m_PerUnit, Line.m_Fixed, Line.m_CostUnit,
                    Line.m_SizeUnit, Sizes, Line.m_FitError * 100);
  }
  return Text;
}

} // namespace wasabivale::capacity
