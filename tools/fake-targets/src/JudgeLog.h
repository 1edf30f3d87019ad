/// \file
/// Append-only record of what targets did, as JSON lines, from which tests
/// judge the promises of the system.

#ifndef WASABIVALE_FAKETARGETS_JUDGELOG_H
#define WASABIVALE_FAKETARGETS_JUDGELOG_H

#include "base/base.h"

#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>

namespace wasabivale::faketargets {

class JudgeLog {
public:
  /// Opens \p File for appending; an empty name records nothing.
  static Result<JudgeLog> open(const std::string &File);

  /// Writes one line: `at_ns` (boot clock), `target`, `incarnation` and `event`
  /// with the members of \p Details.
  void write(const TargetId &Target, const std::string &Incarnation,
             std::string_view Event, nlohmann::json Details = {});

private:
  struct Closer {
    void operator()(std::FILE *Open) const { std::fclose(Open); }
  };
  std::unique_ptr<std::FILE, Closer> m_File;
};

} // namespace wasabivale::faketargets

#endif // WASABIVALE_FAKETARGETS_JUDGELOG_H
