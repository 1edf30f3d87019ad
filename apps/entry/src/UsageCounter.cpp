#include "UsageCounter.h"

namespace wasabivale::entry {

namespace {

Duration timeOfDayNow() {
  return std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

UsageCounter::UsageCounter(std::optional<std::chrono::milliseconds> Window)
    : m_Window(Window) {
  duties::addSample(m_Clock, timeOfDayNow(), BootClock::now());
}

void UsageCounter::count(const std::string &Customer, TimePoint BeganAt) {
  if (!m_Window || Customer.empty())
    return;
  // The constructor has taken the first sample.
  const Duration TimeOfDay = *duties::timeOfDay(m_Clock, BeganAt);
  duties::countRequest(m_Counts, duties::windowAt(TimeOfDay, *m_Window),
                       Customer);
}

void UsageCounter::fillReport(wire::EntryReport &Report, TimePoint Now) {
  if (!m_Window)
    return;
  duties::addSample(m_Clock, timeOfDayNow(), Now);
  for (const auto &[Number, Counts] : m_Counts.m_Open) {
    wire::UsageWindow &Row = *Report.add_usage();
    Row.set_window(Number);
    for (const auto &[Customer, Requests] : Counts) {
      wire::CustomerUsage &Each = *Row.add_customers();
      Each.set_customer(Customer);
      Each.set_requests(Requests);
    }
  }
}

void UsageCounter::takeGrant(const wire::ControlGrant &Grant) {
  duties::dropClosed(m_Counts, Grant.usage_closed());
}

} // namespace wasabivale::entry
