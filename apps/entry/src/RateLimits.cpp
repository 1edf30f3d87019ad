#include "RateLimits.h"

#include "events/events.h"

#include <set>

namespace wasabivale::entry {

bool RateLimits::observe(const std::string &Address,
                         std::optional<double> RequestsPerSecond,
                         TimePoint Now) {
  const double PerSecond = RequestsPerSecond.value_or(0);
  const bool Changes =
      limits::observeTargetLimit(m_Tracker, Address, PerSecond);
  if (PerSecond > 0 || Changes)
    m_Unreported[Address] = PerSecond;
  if (!Changes)
    return false;
  events::emit(events::Event::TargetLimitNamed,
               {{"target", Address}, {"per_second", PerSecond}});
  apply(Address, Now);
  return true;
}

void RateLimits::apply(const std::string &Address, TimePoint Now) {
  const auto Rate =
      limits::ownRate(m_Tracker, Address, m_Routing.m_Settings.m_Entries);
  for (const TargetId &Target : m_Fleet.targetsAt(Address))
    routing::limitRate(m_Routing, Target, Rate, Now);
}

void RateLimits::applyAll(TimePoint Now) {
  // What control tells outlives a target's restart.
  std::erase_if(m_Tracker.m_Observed, [this](const auto &Each) {
    return m_Fleet.targetsAt(Each.first).empty();
  });
  for (const auto &[Address, PerSecond] : m_Tracker.m_Observed)
    apply(Address, Now);
  for (const auto &[Address, Rate] : m_Tracker.m_Told)
    apply(Address, Now);
}

void RateLimits::fillReport(wire::EntryReport &Report) {
  for (const auto &[Address, PerSecond] : std::exchange(m_Unreported, {})) {
    wire::TargetLimit &Row = *Report.add_target_limits();
    Row.set_address(Address);
    Row.set_per_second(PerSecond);
  }
  Report.set_target_rates_revision(m_RatesRevision);
}

void RateLimits::takeGrant(const wire::ControlGrant &Grant, TimePoint Now) {
  if (Grant.target_rates_revision() == 0 ||
      Grant.target_rates_revision() == m_RatesRevision)
    return;
  m_RatesRevision = Grant.target_rates_revision();
  std::set<std::string> Former;
  for (const auto &[Address, Rate] : m_Tracker.m_Told)
    Former.insert(Address);
  limits::TargetRates Told;
  for (const wire::TargetRate &Row : Grant.target_rates())
    Told[Row.address()] = {Row.limit(), Row.share()};
  limits::applyTargetRates(m_Tracker, std::move(Told));
  for (const std::string &Address : Former)
    apply(Address, Now);
  applyAll(Now);
}

} // namespace wasabivale::entry
