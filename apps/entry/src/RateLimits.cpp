#include "RateLimits.h"

#include "events/events.h"

namespace wasabivale::entry {

void RateLimits::observe(const std::string &Address,
                         std::optional<double> RequestsPerSecond, TimePoint) {
  const auto Known = m_Named.find(Address);
  const bool Same = RequestsPerSecond ? Known != m_Named.end() &&
                                            Known->second == *RequestsPerSecond
                                      : Known == m_Named.end();
  if (Same)
    return;
  events::emit(
      events::Event::TargetLimitNamed,
      {{"target", Address}, {"per_second", RequestsPerSecond.value_or(0)}});
  if (RequestsPerSecond)
    m_Named[Address] = *RequestsPerSecond;
  else
    m_Named.erase(Known);
}

} // namespace wasabivale::entry
