/// \file
/// The service half of a fake target: bookings and stock reads.

#ifndef WASABIVALE_FAKETARGETS_SERVICEWORK_H
#define WASABIVALE_FAKETARGETS_SERVICEWORK_H

#include "Context.h"

#include <map>

namespace wasabivale::faketargets {

/// Bookings by the `id` of their body (or the whole body); they outlive a
/// crash, as in a service with a store.
using Bookings = std::map<std::string, std::uint64_t>;

class ServiceWork {
public:
  ServiceWork(Life &Of, Bookings &Kept) : m_Life(Of), m_Bookings(Kept) {}

  /// `POST /service/v1/call`. A call takes effect when it arrives and is
  /// answered after the service time.
  void call(const std::shared_ptr<http::Exchange> &From, bool Accepts);

  [[nodiscard]] bool idle() const { return m_Running == 0; }
  [[nodiscard]] std::uint64_t running() const { return m_Running; }

private:
  nlohmann::json execute(const targets::ServiceCall &What);

  Life &m_Life;
  Bookings &m_Bookings;
  std::uint64_t m_Running = 0;
  /// Calls that will never be answered.
  std::vector<std::shared_ptr<http::Exchange>> m_Stalled;
  std::shared_ptr<void> m_Alive = std::make_shared<int>();
};

} // namespace wasabivale::faketargets

#endif // WASABIVALE_FAKETARGETS_SERVICEWORK_H
