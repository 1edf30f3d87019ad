/// \file
/// Asks the process at an address which target it is.

#ifndef WASABIVALE_CONTROL_TARGETQUESTIONS_H
#define WASABIVALE_CONTROL_TARGETQUESTIONS_H

#include "http/http.h"
#include "platform/platform.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wasabivale::control {

/// One call to an address at a time, and a bounded number to all.
class TargetQuestions {
public:
  using OnAnswer = std::function<void(const platform::Identity &)>;

  explicit TargetQuestions(event_base *Loop) : m_Loop(Loop) {}
  ~TargetQuestions() { cancel(); }
  TargetQuestions(const TargetQuestions &) = delete;
  TargetQuestions &operator=(const TargetQuestions &) = delete;

  /// Calls \p Done once, with an empty id if there is no readable answer in
  /// time; from within if the call fails at once.
  /// \returns false, and does nothing, if too many questions are open.
  bool ask(const std::string &Address, const std::string &HealthPath,
           OnAnswer Done);
  /// Ends all questions; nothing more is called.
  void cancel();

private:
  struct Question {
    std::shared_ptr<http::ClientCall> m_Call;
    std::vector<OnAnswer> m_Waiting;
  };

  event_base *m_Loop;
  std::map<std::string, Question> m_Open; ///< By address.
};

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_TARGETQUESTIONS_H
