/// \file
/// Numbered, structured log events on standard output. Each kind has a bound a
/// second; what is left out beyond it is counted and told in the next line of
/// that kind. A reader that falls behind loses lines and holds nobody up.
///
/// A line reads `time level number name key=value ...`; the time is UTC with
/// milliseconds. The catalogue is Catalogue.def and, for people,
/// docs/EVENTS.md; a test keeps them equal.

#ifndef WASABIVALE_EVENTS_EVENTS_H
#define WASABIVALE_EVENTS_EVENTS_H

#include "base/base.h"

#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace wasabivale::events {

enum class Level : std::uint8_t { Debug, Info, Warning, Error };

/// One kind of event. Numbers are stable and never reused.
enum class Event : std::uint16_t {
#define EVENT(Number, Level, Name, Text) Name = Number,
#include "events/Catalogue.def"
};

/// Facts about one kind of event.
struct EventInfo {
  std::uint16_t m_Number = 0;
  Level m_Level = Level::Info;
  std::string_view m_Name;
  std::string_view m_Text;
};

std::size_t eventCount();
/// \pre Index < eventCount()
const EventInfo &eventAt(std::size_t Index);

/// A key and its printed value. Values with spaces, quotes or `=` are quoted.
struct Field {
  std::string_view m_Key;
  std::string m_Value;

  template <typename T>
  Field(std::string_view Key, const T &Value)
      : m_Key(Key), m_Value(fmt::format("{}", Value)) {}
  template <typename Tag>
  Field(std::string_view Key, const Id<Tag> &Value)
      : m_Key(Key), m_Value(Value.m_Value) {}
};

/// Formats a line without its time; separate from `emit` for tests.
std::string formatLine(Event Kind, std::initializer_list<Field> Fields);

/// Writes one line to standard output, unless its level is below the minimum or
/// the bound of its kind is reached.
void emit(Event Kind, std::initializer_list<Field> Fields);

/// Writes \p Failure as the fields `step`, `peer` and `message`.
void emitError(Event Kind, const Error &Failure);

/// Lines that standard output did not take.
std::uint64_t unwrittenLines();

/// Sets the lowest level that is written; `Info` at start.
void setMinimumLevel(Level Lowest);

} // namespace wasabivale::events

#endif // WASABIVALE_EVENTS_EVENTS_H
