#include "events/events.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace wasabivale::events {

namespace {

Level MinimumLevel = Level::Info;

struct Row {
  std::uint16_t m_Number;
  Level m_Level;
  std::string_view m_Identifier;
  std::string_view m_Text;
};

constexpr std::array Rows = {
#define EVENT(Number, LevelName, Name, Text)                                   \
  Row{Number, Level::LevelName, #Name, Text},
#include "events/Catalogue.def"
};

const std::array<std::string, Rows.size()> &names() {
  static const auto Built = [] {
    std::array<std::string, Rows.size()> Names;
    for (std::size_t I = 0; I < Rows.size(); ++I)
      Names[I] = snakeCase(Rows[I].m_Identifier);
    return Names;
  }();
  return Built;
}

const EventInfo &infoOf(Event Kind) {
  for (std::size_t I = 0; I < Rows.size(); ++I)
    if (Rows[I].m_Number == static_cast<std::uint16_t>(Kind))
      return eventAt(I);
  invariantBroken("the event is in the catalogue", __FILE__, __LINE__);
}

/// Most lines of one kind in a second, and at once after a quiet time. A day of
/// the size to design for brings an entry some thirty requests a second, each
/// with a handful of lines.
constexpr double LinesPerSecond = 200;
constexpr double LinesAtOnce = 400;

/// How much of one kind is written.
struct Volume {
  double m_Tokens = LinesAtOnce;
  TimePoint m_At;
  std::uint64_t m_LeftOut = 0;
  bool m_Refused = false;

  /// Admits a line or counts it. \returns how many were left out before it.
  std::uint64_t admit(TimePoint Now) {
    const double Passed = std::chrono::duration<double>(Now - m_At).count();
    m_Tokens = std::min(LinesAtOnce, m_Tokens + Passed * LinesPerSecond);
    m_At = Now;
    m_Refused = m_Tokens < 1;
    if (m_Refused)
      return ++m_LeftOut;
    m_Tokens -= 1;
    return std::exchange(m_LeftOut, 0);
  }
};

Volume &volumeOf(Event Kind) {
  static std::array<Volume, Rows.size()> Volumes;
  for (std::size_t I = 0; I < Rows.size(); ++I)
    if (Rows[I].m_Number == static_cast<std::uint16_t>(Kind))
      return Volumes[I];
  invariantBroken("the event is in the catalogue", __FILE__, __LINE__);
}

std::uint64_t Unwritten = 0;

/// Writes a line unless the reader of standard output has fallen behind: the
/// process must not wait for it.
void writeLine(const std::string &Line) {
  pollfd Output{STDOUT_FILENO, POLLOUT, 0};
  const bool Ready =
      poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
  if (!Ready || write(STDOUT_FILENO, Line.data(), Line.size()) < 0)
    ++Unwritten;
}

std::string_view levelName(Level Value) {
  switch (Value) {
  case Level::Debug:
    return "debug";
  case Level::Info:
    return "info";
  case Level::Warning:
    return "warning";
  case Level::Error:
    return "error";
  }
  return "error";
}

std::string quoted(std::string_view Value) {
  if (!Value.empty() && Value.find_first_of(" \"=\n\r\t") == Value.npos)
    return std::string(Value);
  std::string Text = "\"";
  for (const char Letter : Value) {
    if (Letter == '\n') {
      Text += "\\n";
      continue;
    }
    if (Letter == '"' || Letter == '\\')
      Text += '\\';
    Text += Letter;
  }
  return Text + '"';
}

std::string timeNow() {
  const auto Now = std::chrono::system_clock::now();
  const std::time_t Seconds = std::chrono::system_clock::to_time_t(Now);
  const auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          Now.time_since_epoch())
                          .count() %
                      1000;
  std::tm Utc{};
  gmtime_r(&Seconds, &Utc);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z",
                     Utc.tm_year + 1900, Utc.tm_mon + 1, Utc.tm_mday,
                     Utc.tm_hour, Utc.tm_min, Utc.tm_sec, Millis);
}

} // namespace

std::size_t eventCount() { return Rows.size(); }

const EventInfo &eventAt(std::size_t Index) {
  static const auto Built = [] {
    std::array<EventInfo, Rows.size()> Infos;
    for (std::size_t I = 0; I < Rows.size(); ++I)
      Infos[I] = {Rows[I].m_Number, Rows[I].m_Level, names()[I],
                  Rows[I].m_Text};
    return Infos;
  }();
  return Built.at(Index);
}

std::string formatLine(Event Kind, std::initializer_list<Field> Fields) {
  const EventInfo &Info = infoOf(Kind);
  std::string Line = fmt::format("{} {} {}", levelName(Info.m_Level),
                                 Info.m_Number, Info.m_Name);
  for (const Field &Entry : Fields)
    Line += fmt::format(" {}={}", Entry.m_Key, quoted(Entry.m_Value));
  return Line;
}

void emit(Event Kind, std::initializer_list<Field> Fields) {
  if (infoOf(Kind).m_Level < MinimumLevel)
    return;
  Volume &Kept = volumeOf(Kind);
  const std::uint64_t LeftOut = Kept.admit(BootClock::now());
  if (Kept.m_Refused)
    return;
  if (LeftOut > 0)
    writeLine(fmt::format(
        "{} {}\n", timeNow(),
        formatLine(Event::LinesLeftOut,
                   {{"kind", infoOf(Kind).m_Name}, {"count", LeftOut}})));
  writeLine(fmt::format("{} {}\n", timeNow(), formatLine(Kind, Fields)));
}

void emitError(Event Kind, const Error &Failure) {
  emit(Kind, {{"step", Failure.m_Step},
              {"peer", Failure.m_Peer},
              {"message", Failure.m_Message}});
}

std::uint64_t unwrittenLines() { return Unwritten; }

void setMinimumLevel(Level Lowest) { MinimumLevel = Lowest; }

} // namespace wasabivale::events
