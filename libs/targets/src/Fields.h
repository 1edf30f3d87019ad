/// \file
/// Reads fields of a JSON object with their limits.

#ifndef WASABIVALE_TARGETS_FIELDS_H
#define WASABIVALE_TARGETS_FIELDS_H

#include "targets/targets.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace wasabivale::targets {

using Json = nlohmann::json;

enum class Presence : std::uint8_t { Required, Optional };

/// Reads one object; remembers the first problem and then does nothing more.
/// Optional fields keep their default when they are absent.
class Fields {
public:
  /// Parses \p Text, which must be an object.
  Fields(std::string_view Text, std::string Step);
  /// Reads an object within another one, under the same step.
  Fields(const Json &Object, std::string Step);

  void text(const char *Key, std::string &Into, Presence Needed,
            std::size_t MaxBytes = MaxNameBytes);
  template <typename Tag>
  void text(const char *Key, Id<Tag> &Into, Presence Needed) {
    text(Key, Into.m_Value, Needed);
  }
  void number(const char *Key, std::uint64_t &Into, Presence Needed,
              std::uint64_t Max = std::numeric_limits<std::int64_t>::max());
  void flag(const char *Key, bool &Into, Presence Needed);
  void names(const char *Key, std::vector<std::string> &Into, Presence Needed);
  void models(const char *Key, std::vector<ModelId> &Into, Presence Needed);
  void role(const char *Key, Role &Into, Presence Needed);
  void fence(const char *Key, Fence &Into, Presence Needed);
  /// \returns the value under \p Key, or null when it is absent.
  const Json *find(const char *Key, Presence Needed);

  /// Reports that \p Key has an unfit value.
  void refuse(const char *Key, const char *Expected);
  [[nodiscard]] bool bad() const { return m_Problem.has_value(); }

  /// Ends the reading. \returns \p Value or the first problem.
  template <typename T> Result<T> finish(T Value) {
    if (m_Problem)
      return Error{m_Step, "", *m_Problem};
    return Value;
  }

private:
  std::string m_Step;
  Json m_Object;
  std::optional<std::string> m_Problem;
};

Json toJson(const Fence &Value);
Json toJson(const std::vector<ModelId> &Models);

/// Prints without ever throwing; invalid UTF-8 is replaced.
std::string dump(const Json &Value);

} // namespace wasabivale::targets

#endif // WASABIVALE_TARGETS_FIELDS_H
