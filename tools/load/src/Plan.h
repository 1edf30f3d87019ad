/// \file
/// What a load run does, read from its JSON settings.

#ifndef WASABIVALE_LOAD_PLAN_H
#define WASABIVALE_LOAD_PLAN_H

#include "base/base.h"
#include "http/http.h"
#include "settings/settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wasabivale::load {

/// Log-normal number of tokens.
struct Size {
  double m_Median = 100;
  double m_Sigma = 0;
  double m_Most = 100'000;
};

/// Requests of one caller that look alike.
struct Stream {
  std::string m_Name;
  std::string m_Key;     ///< Bearer key; empty sends none.
  std::string m_Model;   ///< Or, with `m_Service`, unused.
  std::string m_Service; ///< Name and rest of the path, `orders/book`.
  double m_Weight = 1;
  double m_HighWeight = 1; ///< Weight while the schedule is high.
  Size m_Prompt;
  Size m_MaxTokens;
  std::uint32_t m_Prefixes = 0; ///< Distinct shared prefixes; 0: none.
  std::uint32_t m_PrefixTokens = 1024;
  std::uint32_t m_Priority = 5;
  std::chrono::milliseconds m_Deadline{10'000};
  bool m_Streaming = true;
  /// Share of requests that are not repeatable and carry a key.
  double m_NotRepeatableShare = 0;
  /// Share of requests that are sent once more to another entry.
  double m_ResendShare = 0;
};

enum class Shape : std::uint8_t {
  Constant,
  Step,
  Square,
  Ramp,
  Burst,
  Recorded
};

/// Requests per second over time: a low and a high rate after a shape.
struct Schedule {
  Shape m_Shape = Shape::Constant;
  double m_LowRate = 10;
  double m_HighRate = 10;
  std::chrono::milliseconds m_At{0};     ///< Start of step, ramp and bursts.
  std::chrono::milliseconds m_Period{0}; ///< Of a square wave or of bursts.
  std::chrono::milliseconds m_Length{0}; ///< Of a ramp or a burst.
  std::string m_File;                    ///< JSON lines of a recorded run.
};

/// One line of a recorded run.
struct Recorded {
  std::chrono::milliseconds m_At{0};
  std::size_t m_Stream = 0;
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_MaxTokens = 0;
};

struct Plan {
  std::vector<http::Address> m_Entries;
  std::uint64_t m_Seed = 1;
  std::chrono::milliseconds m_Length{0};
  std::chrono::milliseconds m_Drain{0}; ///< Longest wait for the last answers.
  Schedule m_Schedule;
  std::vector<Stream> m_Streams;
  std::vector<Recorded> m_Recorded;
  std::string m_ReportFile; ///< Empty: no JSON report.
};

const settings::Json &planSchema();
/// \param Valid matches the schema. Fails on an unreadable recorded file.
Result<Plan> readPlan(const settings::Json &Valid);

/// How high the schedule is at \p At since the start, in [0, 1].
double heightAt(const Schedule &Of, std::chrono::milliseconds At);
/// Requests per second at \p At.
double rateAt(const Schedule &Of, std::chrono::milliseconds At);
/// The highest rate of the schedule.
double peakRate(const Schedule &Of);

} // namespace wasabivale::load

#endif // WASABIVALE_LOAD_PLAN_H
