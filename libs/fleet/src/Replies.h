/// \file
/// Small helpers for replies and operators' JSON.

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

/// String member \p Name of \p In; empty when absent or of another type.
inline std::string textOf(const Json &In, const char *Name) {
  const auto Found = In.find(Name);
  return Found != In.end() && Found->is_string() ? Found->get<std::string>()
                                                 : std::string();
}

inline std::uint64_t numberOf(const Json &In, const char *Name,
                              std::uint64_t Otherwise) {
  const auto Found = In.find(Name);
  return Found != In.end() && Found->is_number_unsigned()
             ? Found->get<std::uint64_t>()
             : Otherwise;
}

inline bool flagOf(const Json &In, const char *Name) {
  const auto Found = In.find(Name);
  return Found != In.end() && Found->is_boolean() && Found->get<bool>();
}

} // namespace wasabivale::fleet

#endif // WASABIVALE_FLEET_SRC_REPLIES_H
