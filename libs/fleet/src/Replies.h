/// \file
/// Helpers for replies and for reading operators' JSON.

#ifndef WASABIVALE_FLEET_SRC_REPLIES_H
#define WASABIVALE_FLEET_SRC_REPLIES_H

#include "fleet/fleet.h"

namespace wasabivale::fleet {

inline Reply refuse(Refusal Reason, std::string Message = {}) {
  if (Message.empty())
    Message = refusalInfo(Reason).m_Text;
  return {Reason, std::move(Message), {}};
}

inline Reply accept(std::string Result = {}) {
  return {std::nullopt, {}, std::move(Result)};
}

/// String member \p Name of \p Object; empty if absent or of another type.
inline std::string textOf(const Json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string();
}

inline std::uint64_t numberOf(const Json &Object, const char *Name,
                              std::uint64_t Default) {
  const auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_number_unsigned()
             ? Found->get<std::uint64_t>()
             : Default;
}

inline bool flagOf(const Json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_boolean() && Found->get<bool>();
}

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_REPLIES_H
