/// \file
/// Routes for plain HTTP requests: which service serves a host and path, which
/// requests may be retried, and the latency limits of a request.
///
/// Pure: no I/O, no clock. A table is replaced as a whole by a table with a
/// higher version.

#ifndef WASABIVALE_ROUTES_ROUTES_H
#define WASABIVALE_ROUTES_ROUTES_H

#include "base/base.h"
#include "wire.pb.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wasabivale::routes {

/// Whether a request may be retried after a failure.
enum class Kind : std::uint8_t {
  Safe,      ///< May run any number of times.
  Unsafe,    ///< Must run at most once.
  Streaming, ///< Response is an event stream; may be retried only if resumable.
};
std::string_view kindName(Kind Value);
std::optional<Kind> kindFromName(std::string_view Name);

/// The fraction of a route's requests that a service gets, relative to the
/// other weights.
struct Share {
  std::string m_Service;
  double m_Weight = 1;

  bool operator==(const Share &) const = default;
};

struct Route {
  std::string m_Name;
  std::string m_Host;       ///< Lower-case host name without a port.
  std::string m_PathPrefix; ///< Begins and ends with a slash.
  Kind m_Kind = Kind::Safe;
  std::chrono::nanoseconds m_Timeout{0};
  /// Latency objective for the complete response, or for the first event of a
  /// stream.
  std::chrono::nanoseconds m_Objective{0};
  /// Maximum time between two events of a stream; zero: unlimited.
  std::chrono::nanoseconds m_Gap{0};
  std::uint32_t m_Rank = 0; ///< Zero is the most urgent.
  /// Maximum number of targets that one request may reach.
  std::uint32_t m_MaxAttempts = 1;
  bool m_Resumable = false;
  std::vector<Share> m_Services; ///< Not empty.
  /// Whether requests without a customer's key run as well.
  bool m_AllowsAnonymous = false;

  /// Whether a request may be sent again after it may have run.
  [[nodiscard]] bool isRepeatable() const {
    return m_Kind == Kind::Safe || (m_Kind == Kind::Streaming && m_Resumable);
  }

  bool operator==(const Route &) const = default;
};

/// Bounds and prices of the targets that may be ordered for a service.
struct Scaling {
  std::uint32_t m_Min = 0; ///< In each zone, as is the maximum.
  std::uint32_t m_Max = 0;
  /// From an order until a new target serves.
  std::chrono::nanoseconds m_BootTime{0};
  /// Price of a target that may be reclaimed, over that of another one; zero:
  /// there are none.
  double m_ReclaimablePrice = 0;
  std::map<std::string, double> m_ZonePrices; ///< Of a target's second.

  bool operator==(const Scaling &) const = default;
};

struct Service {
  std::string m_Name;
  /// Connections per target; zero: not reported.
  std::uint32_t m_MaxConnections = 0;
  std::uint64_t m_KvCapacityTokens = 0; ///< Zero: not an engine.
  std::chrono::nanoseconds m_HandleTtl{0};
  std::string m_HealthPath; ///< Of the health check of a target; empty: none.
  /// Output tokens in one event of a stream; zero: not reported.
  std::uint32_t m_TokensPerEvent = 0;
  std::uint64_t m_KvBytesPerToken = 0; ///< Zero: not reported.
  /// Bits per second at which one engine sends KV memory; zero: not reported.
  std::uint64_t m_KvLinkRate = 0;
  std::optional<Scaling> m_Scaling{}; ///< Unset: its targets are not ordered.

  bool operator==(const Service &) const = default;
};

/// Who may send requests, by keys. Only digests of the keys are kept.
struct Customer {
  std::string m_Name;
  std::vector<std::string> m_KeyDigests; ///< See `keyDigest`.
  std::optional<std::uint32_t> m_Rank;   ///< In place of the ranks of routes.

  bool operator==(const Customer &) const = default;
};

/// Digest by which a key is looked up: 128 bits of BLAKE2b in hexadecimal.
std::string keyDigest(std::string_view Key);

/// Limits on requests from callers.
struct CallerLimits {
  std::uint64_t m_HeaderBytes = 16U << 10U;
  std::uint64_t m_BodyBytes = 4U << 20U;
  std::chrono::nanoseconds m_HeaderTimeout = std::chrono::seconds(10);
  std::chrono::nanoseconds m_IdleTimeout = std::chrono::seconds(30);

  bool operator==(const CallerLimits &) const = default;
};

struct Table {
  std::uint64_t m_Version = 0; ///< Zero: no table has been accepted yet.
  std::vector<Route> m_Routes;
  std::map<std::string, Service> m_Services;
  CallerLimits m_Limits;
  /// Whether requests need the key of a customer, but for routes that allow
  /// anonymous ones.
  bool m_ChecksKeys = false;
  std::vector<Customer> m_Customers;

  bool operator==(const Table &) const = default;
};

/// Validates a table. \returns a message that says why the table is invalid, or
/// an empty string. Invalid are a version of zero, a route without services or
/// with an undefined service, two routes with the same host and prefix, weights
/// with a sum of zero, a missing timeout, and two customers with the same key.
std::string checkTable(const Table &RouteTable);

/// Looks up routes by host and path in logarithmic time.
class Index {
public:
  Index() = default;
  explicit Index(Table RouteTable);

  [[nodiscard]] const Table &table() const { return m_Table; }
  /// Returns the route with the longest prefix of \p Path, or null. Ignores a
  /// port in \p Host and the case of letters.
  [[nodiscard]] const Route *find(std::string_view Host,
                                  std::string_view Path) const;
  /// Returns the customer whose key this is, or null.
  [[nodiscard]] const Customer *findCustomer(std::string_view Key) const;

private:
  Table m_Table;
  std::unordered_map<std::string, std::size_t> m_ByKeyDigest;
  std::map<std::string, std::map<std::string, std::size_t>, std::less<>>
      m_ByHost;
};

/// Selects the service for a request according to the weights of its route. The
/// same \p Draw always selects the same service.
const std::string &pickService(const Route &RouteEntry, std::uint64_t Draw);

Scaling fromWire(const wire::ServiceScaling &Message);
wire::RouteTable toWire(const Table &RouteTable);
Table fromWire(const wire::RouteTable &Message);

} // namespace wasabivale::routes

#endif // WASABIVALE_ROUTES_ROUTES_H
