#include "JudgeLog.h"

#include <cerrno>
#include <cstring>

namespace wasabivale::faketargets {

Result<JudgeLog> JudgeLog::open(const std::string &File) {
  JudgeLog Made;
  if (File.empty())
    return Made;
  Made.m_File.reset(std::fopen(File.c_str(), "ae"));
  if (Made.m_File == nullptr)
    return Error{"judge_log.open", File, std::strerror(errno)};
  return Made;
}

void JudgeLog::write(const TargetId &Target, const std::string &Incarnation,
                     std::string_view Event, nlohmann::json Details) {
  if (m_File == nullptr)
    return;
  Details["at_ns"] = BootClock::now().time_since_epoch().count();
  Details["target"] = Target.m_Value;
  Details["incarnation"] = Incarnation;
  Details["event"] = Event;
  const std::string Line =
      Details.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  std::fwrite(Line.data(), 1, Line.size(), m_File.get());
  // Each line must be there when the process is killed.
  std::fflush(m_File.get());
}

} // namespace wasabivale::faketargets
