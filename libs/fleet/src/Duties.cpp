#include "Duties.h"
#include "Replies.h"

#include <algorithm>

namespace wasabivale::fleet {

Reply handleCloseUsage(State &Fleet, const wire::CloseUsage &Command) {
  Duties &Decided = Fleet.m_Duties;
  const std::uint64_t Window = Command.usage().window();
  if (Window <= Decided.m_NewestClosed)
    return accept();
  Decided.m_NewestClosed = Window;
  Decided.m_Closed[Window] = Command.usage();
  while (Decided.m_Closed.size() > MaxClosedWindows)
    Decided.m_Closed.erase(Decided.m_Closed.begin());
  return accept();
}

Reply handleUsageReported(State &Fleet, const wire::UsageReported &Command) {
  Fleet.m_Duties.m_Closed.erase(Command.window());
  return accept();
}

Reply handleScaleTargets(State &Fleet, const wire::ScaleTargets &Command) {
  std::map<Duties::Kind, std::uint32_t> &Ordered = Fleet.m_Duties.m_Ordered;
  const Duties::Kind Kind{
      Command.service(), {Command.zone()}, Command.reclaimable()};
  if (Ordered.size() >= MaxScaleOrders && Ordered.count(Kind) == 0)
    return refuse(Refusal::InvalidField, "too many kinds of targets");
  Ordered[Kind] = Command.count();
  return accept();
}

wire::DutiesState write(const Duties &Decided) {
  wire::DutiesState Message;
  for (const auto &[Window, Usage] : Decided.m_Closed)
    *Message.add_closed() = Usage;
  Message.set_newest_closed(Decided.m_NewestClosed);
  for (const auto &[Kind, Count] : Decided.m_Ordered) {
    wire::ScaleTargets &Row = *Message.add_ordered();
    Row.set_service(Kind.m_Service);
    Row.set_zone(Kind.m_Zone.m_Value);
    Row.set_reclaimable(Kind.m_Reclaimable);
    Row.set_count(Count);
  }
  return Message;
}

Duties read(const wire::DutiesState &Message) {
  Duties Decided;
  for (const wire::UsageWindow &Usage : Message.closed())
    Decided.m_Closed[Usage.window()] = Usage;
  Decided.m_NewestClosed = Message.newest_closed();
  for (const wire::ScaleTargets &Row : Message.ordered())
    Decided.m_Ordered[{Row.service(), {Row.zone()}, Row.reclaimable()}] =
        Row.count();
  return Decided;
}

} // namespace wasabivale::fleet
