#include "routes/routes.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cmath>
#include <numeric>
#include <set>

namespace wasabivale::routes {

namespace {

constexpr std::array<std::string_view, 3> KindNames = {"safe", "unsafe",
                                                       "streaming"};

double weightOf(const Route &Of) {
  return std::accumulate(
      Of.m_Services.begin(), Of.m_Services.end(), 0.0,
      [](double Sum, const Share &Each) { return Sum + Each.m_Weight; });
}

std::string checkRoute(const Route &Of, const Table &In) {
  if (Of.m_PathPrefix.empty() || Of.m_PathPrefix.front() != '/' ||
      Of.m_PathPrefix.back() != '/')
    return "its prefix does not begin and end with a slash";
  if (Of.m_Timeout <= std::chrono::nanoseconds(0))
    return "it has no timeout";
  if (Of.m_Services.empty())
    return "it leads to no service";
  for (const Share &Each : Of.m_Services) {
    if (In.m_Services.count(Each.m_Service) == 0)
      return "service " + Each.m_Service + " is not listed";
    if (!std::isfinite(Each.m_Weight) || Each.m_Weight < 0)
      return "a weight is not a number from zero on";
  }
  if (weightOf(Of) <= 0)
    return "its weights add up to zero";
  return "";
}

std::string hostOf(std::string_view Given) {
  std::string Host(Given.substr(0, Given.find(':')));
  std::transform(Host.begin(), Host.end(), Host.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Host;
}

} // namespace

std::string_view kindName(Kind Value) {
  return KindNames.at(static_cast<std::size_t>(Value));
}

std::optional<Kind> kindFromName(std::string_view Name) {
  const auto Found = std::find(KindNames.begin(), KindNames.end(), Name);
  if (Found == KindNames.end())
    return std::nullopt;
  return static_cast<Kind>(Found - KindNames.begin());
}

std::string checkTable(const Table &Of) {
  if (Of.m_Version == 0)
    return "the version must be above zero";
  std::set<std::pair<std::string, std::string>> Places;
  for (const Route &Each : Of.m_Routes) {
    const std::string Why = checkRoute(Each, Of);
    if (!Why.empty())
      return "route " + Each.m_Name + ": " + Why;
    if (!Places.insert({hostOf(Each.m_Host), Each.m_PathPrefix}).second)
      return "route " + Each.m_Name + ": another has its host and prefix";
  }
  return "";
}

Index::Index(Table From) : m_Table(std::move(From)) {
  for (std::size_t I = 0; I < m_Table.m_Routes.size(); ++I) {
    const Route &Each = m_Table.m_Routes[I];
    m_ByHost[hostOf(Each.m_Host)][Each.m_PathPrefix] = I;
  }
}

const Route *Index::find(std::string_view Host, std::string_view Path) const {
  const auto There = m_ByHost.find(hostOf(Host));
  if (There == m_ByHost.end())
    return nullptr;
  // Every prefix ends with a slash, so only those places are looked up.
  for (std::size_t End = Path.rfind('/'); End != Path.npos;
       End = End == 0 ? Path.npos : Path.rfind('/', End - 1)) {
    const auto Found = There->second.find(std::string(Path.substr(0, End + 1)));
    if (Found != There->second.end())
      return &m_Table.m_Routes[Found->second];
  }
  return nullptr;
}

const std::string &pickService(const Route &Of, std::uint64_t Draw) {
  WASABIVALE_INVARIANT(!Of.m_Services.empty());
  constexpr double Range = 18446744073709551616.0; // 2^64
  double Left = static_cast<double>(Draw) / Range * weightOf(Of);
  const Share *Last = nullptr;
  for (const Share &Each : Of.m_Services) {
    if (Each.m_Weight <= 0)
      continue;
    Last = &Each;
    Left -= Each.m_Weight;
    if (Left < 0)
      break;
  }
  return Last == nullptr ? Of.m_Services.front().m_Service : Last->m_Service;
}

} // namespace wasabivale::routes
