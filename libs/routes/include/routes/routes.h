/// \file
/// Routes of plain HTTP requests: which service a host and path lead to, what
/// may be repeated, and how long a caller is kept waiting.
///
/// Pure: no I/O, no clock. A table is replaced as a whole by one of a higher
/// version.

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
#include <vector>

namespace wasabivale::routes {

/// What may be done with a request after a failure.
enum class Kind : std::uint8_t {
  Safe,      ///< May run any number of times.
  Unsafe,    ///< May run once.
  Streaming, ///< Answered by events; may run again only if resumable.
};
std::string_view kindName(Kind Value);
std::optional<Kind> kindFromName(std::string_view Name);

/// A service's part of a route's requests.
struct Share {
  std::string m_Service;
  double m_Weight = 1;

  bool operator==(const Share &) const = default;
};

struct Route {
  std::string m_Name;
  std::string m_Host;       ///< Lower case, without a port.
  std::string m_PathPrefix; ///< Begins and ends with a slash.
  Kind m_Kind = Kind::Safe;
  std::chrono::nanoseconds m_Timeout{0};
  /// To the whole answer, or to a stream's first event.
  std::chrono::nanoseconds m_Objective{0};
  /// Longest pause between two events of a stream; zero: not limited.
  std::chrono::nanoseconds m_Gap{0};
  std::uint32_t m_Rank = 0;        ///< Zero is the most urgent.
  std::uint32_t m_MaxAttempts = 1; ///< Targets that one arrival may reach.
  bool m_Resumable = false;
  std::vector<Share> m_Services; ///< Not empty.

  /// Whether a request may be sent again after it may have run.
  [[nodiscard]] bool isRepeatable() const {
    return m_Kind == Kind::Safe || (m_Kind == Kind::Streaming && m_Resumable);
  }

  bool operator==(const Route &) const = default;
};

struct Service {
  std::string m_Name;
  std::uint32_t m_MaxConnections = 0;   ///< Of one target; zero: not told.
  std::uint64_t m_KvCapacityTokens = 0; ///< Zero: not an engine.
  std::chrono::nanoseconds m_HandleTtl{0};

  bool operator==(const Service &) const = default;
};

/// What callers may send.
struct CallerLimits {
  std::uint64_t m_HeaderBytes = 16U << 10U;
  std::uint64_t m_BodyBytes = 4U << 20U;
  std::chrono::nanoseconds m_HeaderTimeout = std::chrono::seconds(10);
  std::chrono::nanoseconds m_IdleTimeout = std::chrono::seconds(30);

  bool operator==(const CallerLimits &) const = default;
};

struct Table {
  std::uint64_t m_Version = 0; ///< Zero: none has been accepted yet.
  std::vector<Route> m_Routes;
  std::map<std::string, Service> m_Services;
  CallerLimits m_Limits;

  bool operator==(const Table &) const = default;
};

/// \returns why the table can't be used, or an empty string: a route without a
/// service or to one that is not listed, two routes with one host and prefix,
/// weights that add up to nothing, no timeout, no version.
std::string checkTable(const Table &Of);

/// Finds routes by host and path in logarithmic time.
class Index {
public:
  Index() = default;
  explicit Index(Table From);

  [[nodiscard]] const Table &table() const { return m_Table; }
  /// The route with the longest prefix that begins \p Path, or null. A port in
  /// \p Host is ignored, as is the case of letters.
  [[nodiscard]] const Route *find(std::string_view Host,
                                  std::string_view Path) const;

private:
  Table m_Table;
  std::map<std::string, std::map<std::string, std::size_t>, std::less<>>
      m_ByHost;
};

/// The service that serves a request, by the weights of its route. The same
/// \p Draw gives the same service.
const std::string &pickService(const Route &Of, std::uint64_t Draw);

wire::RouteTable toWire(const Table &From);
Table fromWire(const wire::RouteTable &From);

} // namespace wasabivale::routes

#endif // WASABIVALE_ROUTES_ROUTES_H
