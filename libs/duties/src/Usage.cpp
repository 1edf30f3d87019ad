#include "duties/duties.h"

#include <algorithm>

namespace wasabivale::duties {

namespace {

void dropUpTo(WindowCounts &Counts, Window Last) {
  Counts.erase(Counts.begin(), Counts.upper_bound(Last));
}

void keepNewest(WindowCounts &Counts) {
  while (Counts.size() > MaxOpenWindows)
    Counts.erase(Counts.begin());
}

} // namespace

Window windowAt(Duration TimeOfDay, Duration Length) {
  return static_cast<Window>(TimeOfDay / Length);
}

void countRequest(UsageCounts &Counts, Window Began,
                  const std::string &Customer) {
  if (Began <= Counts.m_NewestClosed)
    return;
  ++Counts.m_Open[Began][Customer];
  keepNewest(Counts.m_Open);
}

void dropClosed(UsageCounts &Counts, Window NewestClosed) {
  Counts.m_NewestClosed = std::max(Counts.m_NewestClosed, NewestClosed);
  dropUpTo(Counts.m_Open, Counts.m_NewestClosed);
}

void recordReport(UsageTable &Table, const NodeId &Entry, std::uint64_t Session,
                  const WindowCounts &Reported, Window NewestClosed) {
  if (Reported.empty())
    return;
  WindowCounts &Known = Table.m_ByProcess[{Entry, Session}];
  for (const auto &[Number, Counts] : Reported)
    if (Number > NewestClosed)
      Known[Number] = Counts;
  keepNewest(Known);
}

std::optional<ClosedWindow> nextToClose(const UsageTable &Table,
                                        const UsageSchedule &Schedule,
                                        Window NewestClosed, Duration Since,
                                        Duration TimeOfDay) {
  ClosedWindow Next;
  Next.m_Window = NewestClosed + 1;
  if (NewestClosed == 0) {
    Next.m_Window = windowAt(Since, Schedule.m_Length);
    for (const auto &[Process, Windows] : Table.m_ByProcess)
      if (!Windows.empty())
        Next.m_Window = std::min(Next.m_Window, Windows.begin()->first);
  }
  const Duration End =
      Schedule.m_Length * static_cast<std::int64_t>(Next.m_Window + 1);
  if (TimeOfDay < End + Schedule.m_ReportTime)
    return std::nullopt;
  for (const auto &[Process, Windows] : Table.m_ByProcess)
    if (const auto Found = Windows.find(Next.m_Window); Found != Windows.end())
      for (const auto &[Customer, Count] : Found->second)
        Next.m_Counts[Customer] += Count;
  return Next;
}

void dropClosed(UsageTable &Table, Window NewestClosed) {
  for (auto &[Process, Windows] : Table.m_ByProcess)
    dropUpTo(Windows, NewestClosed);
  std::erase_if(Table.m_ByProcess,
                [](const auto &Each) { return Each.second.empty(); });
}

} // namespace wasabivale::duties
