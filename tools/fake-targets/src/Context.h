/// \file
/// What the targets of the process share.

#ifndef WASABIVALE_FAKETARGETS_CONTEXT_H
#define WASABIVALE_FAKETARGETS_CONTEXT_H

#include "Faults.h"
#include "JudgeLog.h"
#include "Settings.h"

namespace wasabivale::faketargets {

struct Context {
  event_base *m_Loop = nullptr;
  Settings m_Settings;
  JudgeLog m_Judge;
  Random m_Random;
};

/// One start of a target, until it crashes or ends.
struct Life {
  Context &m_Shared;
  targets::Announcement m_Self; ///< With the incarnation of this life.
  Faults &m_Faults;

  /// Writes to the judge log.
  void note(std::string_view Event, nlohmann::json Details = {}) const {
    m_Shared.m_Judge.write(m_Self.m_Id, m_Self.m_Incarnation, Event,
                           std::move(Details));
  }
};

/// Calls \p What after \p Delay unless \p Guard has ended by then.
void callLater(event_base *Loop, std::chrono::milliseconds Delay,
               const std::shared_ptr<void> &Guard, std::function<void()> What);

/// Answers with a refusal in JSON.
void refuse(http::Exchange &To, int HttpStatus, std::string_view Reason,
            bool NotRun);

/// Answers with JSON.
void answer(http::Exchange &To, int HttpStatus, std::string_view Json);

} // namespace wasabivale::faketargets

#endif // WASABIVALE_FAKETARGETS_CONTEXT_H
