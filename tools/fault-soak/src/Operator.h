/// \file
/// An operator that puts configurations until they are acknowledged.

#ifndef WASABIVALE_FAULTSOAK_OPERATOR_H
#define WASABIVALE_FAULTSOAK_OPERATOR_H

#include "Judge.h"
#include "http/http.h"
#include "routes/routes.h"

#include <chrono>

namespace wasabivale::soak {

inline constexpr const char *Host = "soak.example";

struct RouteShape {
  const char *m_Name; ///< Its path prefix is `/NAME/`.
  Kind m_Kind;
  std::chrono::milliseconds m_Timeout;
};

/// Routes that every configuration has, one for each kind.
inline constexpr RouteShape LastingRoutes[] = {
    {"look", Kind::Safe, std::chrono::milliseconds(3'000)},
    {"book", Kind::Unsafe, std::chrono::milliseconds(4'000)},
    {"flow", Kind::Stream, std::chrono::milliseconds(8'000)},
    {"tale", Kind::Resumable, std::chrono::milliseconds(8'000)}};
/// A route that comes and goes.
inline constexpr RouteShape PassingRoute = {"extra", Kind::Safe,
                                            std::chrono::milliseconds(3'000)};

/// Services of calls, then those of streams.
inline constexpr const char *Services[] = {"alpha", "beta", "gamma", "delta"};

/// Services of each route in the configuration that a variant names.
Routes routesOf(unsigned Variant);
routes::Table configurationOf(std::uint64_t Version, unsigned Variant);

class Operator {
public:
  Operator(event_base *Loop, Judge &Observer,
           std::vector<http::Address> Control)
      : m_Loop(Loop), m_Judge(Observer), m_Control(std::move(Control)) {}

  void change(unsigned Variant);
  void turn(TimePoint Now);
  [[nodiscard]] bool isAcknowledged() const { return m_Waiting.empty(); }

private:
  struct Change {
    std::uint64_t m_Version;
    std::string m_Body;
  };
  void put(const http::Address &Member, int Redirects);

  event_base *m_Loop;
  Judge &m_Judge;
  std::vector<http::Address> m_Control;
  std::size_t m_Member = 0;
  std::uint64_t m_Version = 0;
  std::vector<Change> m_Waiting; ///< The first is being sent.
  bool m_IsCalling = false;
  TimePoint m_SendAt;
};

} // namespace wasabivale::soak

#endif // WASABIVALE_FAULTSOAK_OPERATOR_H
