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

double totalWeight(const Route &RouteEntry) {
  return std::accumulate(RouteEntry.m_Services.begin(),
                         RouteEntry.m_Services.end(), 0.0,
                         [](double Sum, const Share &ServiceShare) {
                           return Sum + ServiceShare.m_Weight;
                         });
}

std::string checkRoute(const Route &RouteEntry, const Table &RouteTable) {
  if (RouteEntry.m_PathPrefix.empty() ||
      RouteEntry.m_PathPrefix.front() != '/' ||
      RouteEntry.m_PathPrefix.back() != '/')
    return "path prefix must begin and end with a slash";
  if (RouteEntry.m_Timeout <= std::chrono::nanoseconds(0))
    return "timeout must be positive";
  if (RouteEntry.m_Services.empty())
    return "no services are defined";
  for (const Share &ServiceShare : RouteEntry.m_Services) {
    if (RouteTable.m_Services.count(ServiceShare.m_Service) == 0)
      return "service " + ServiceShare.m_Service + " is not defined";
    if (!std::isfinite(ServiceShare.m_Weight) || ServiceShare.m_Weight < 0)
      return "weight must be a finite number that is not negative";
  }
  if (totalWeight(RouteEntry) <= 0)
    return "weights add up to zero";
  return "";
}

/// The message names customers only: keys and their digests stay out of logs.
std::string checkCustomers(const Table &RouteTable) {
  std::unordered_map<std::string_view, const Customer *> Holders;
  for (const Customer &Holder : RouteTable.m_Customers)
    for (const std::string &Digest : Holder.m_KeyDigests) {
      const auto [Found, IsNew] = Holders.try_emplace(Digest, &Holder);
      if (!IsNew && Found->second != &Holder)
        return "customers " + Found->second->m_Name + " and " + Holder.m_Name +
               " share a key";
    }
  return "";
}

std::string normalizeHost(std::string_view HostAndPort) {
  std::string Host(HostAndPort.substr(0, HostAndPort.find(':')));
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

std::string checkTable(const Table &RouteTable) {
  if (RouteTable.m_Version == 0)
    return "table version must be greater than zero";
  std::set<std::pair<std::string, std::string>> HostPrefixes;
  for (const Route &RouteEntry : RouteTable.m_Routes) {
    const std::string Reason = checkRoute(RouteEntry, RouteTable);
    if (!Reason.empty())
      return "route " + RouteEntry.m_Name + ": " + Reason;
    if (!HostPrefixes
             .insert(
                 {normalizeHost(RouteEntry.m_Host), RouteEntry.m_PathPrefix})
             .second)
      return "route " + RouteEntry.m_Name +
             ": another route has the same host and path prefix";
  }
  return checkCustomers(RouteTable);
}

std::string keyDigest(std::string_view Key) {
  constexpr std::size_t DigestLetters = 32;
  return digestHex(Key).substr(0, DigestLetters);
}

Index::Index(Table RouteTable) : m_Table(std::move(RouteTable)) {
  for (std::size_t I = 0; I < m_Table.m_Routes.size(); ++I) {
    const Route &RouteEntry = m_Table.m_Routes[I];
    m_ByHost[normalizeHost(RouteEntry.m_Host)][RouteEntry.m_PathPrefix] = I;
  }
  for (std::size_t I = 0; I < m_Table.m_Customers.size(); ++I)
    for (const std::string &Digest : m_Table.m_Customers[I].m_KeyDigests)
      m_ByKeyDigest.emplace(Digest, I);
}

const Customer *Index::findCustomer(std::string_view Key) const {
  const auto Found = m_ByKeyDigest.find(keyDigest(Key));
  return Found == m_ByKeyDigest.end() ? nullptr
                                      : &m_Table.m_Customers[Found->second];
}

const Route *Index::find(std::string_view Host, std::string_view Path) const {
  const auto HostRoutes = m_ByHost.find(normalizeHost(Host));
  if (HostRoutes == m_ByHost.end())
    return nullptr;
  // Every prefix ends with a slash, so only substrings that end with one are
  // looked up.
  for (std::size_t End = Path.rfind('/'); End != Path.npos;
       End = End == 0 ? Path.npos : Path.rfind('/', End - 1)) {
    const auto Found =
        HostRoutes->second.find(std::string(Path.substr(0, End + 1)));
    if (Found != HostRoutes->second.end())
      return &m_Table.m_Routes[Found->second];
  }
  return nullptr;
}

const std::string &pickService(const Route &RouteEntry, std::uint64_t Draw) {
  WASABIVALE_INVARIANT(!RouteEntry.m_Services.empty());
  constexpr double Range = 18446744073709551616.0; // 2^64
  double Remaining =
      static_cast<double>(Draw) / Range * totalWeight(RouteEntry);
  const Share *Last = nullptr;
  for (const Share &ServiceShare : RouteEntry.m_Services) {
    if (ServiceShare.m_Weight <= 0)
      continue;
    Last = &ServiceShare;
    Remaining -= ServiceShare.m_Weight;
    if (Remaining < 0)
      break;
  }
  return Last == nullptr ? RouteEntry.m_Services.front().m_Service
                         : Last->m_Service;
}

} // namespace wasabivale::routes
