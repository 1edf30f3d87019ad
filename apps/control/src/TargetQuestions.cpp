#include "TargetQuestions.h"

#include <utility>

namespace wasabivale::control {

namespace {

constexpr std::size_t MaxOpenQuestions = 8;
constexpr std::size_t MaxWaitingForOne = 16;
/// A target waits 1 s for the answer to its message, which may take two
/// questions.
constexpr std::chrono::milliseconds QuestionTimeout{400};
constexpr std::size_t MaxAnswerBytes = 64U << 10U;

} // namespace

bool TargetQuestions::ask(const std::string &Address,
                          const std::string &HealthPath, OnAnswer Done) {
  if (const auto Found = m_Open.find(Address); Found != m_Open.end()) {
    if (Found->second.m_Waiting.size() >= MaxWaitingForOne)
      return false;
    Found->second.m_Waiting.push_back(std::move(Done));
    return true;
  }
  const auto Server = http::parseAddress(Address);
  if (failed(Server) || m_Open.size() >= MaxOpenQuestions)
    return false;
  http::ClientRequest Request = platform::writeIdentityCall(HealthPath);
  Request.m_To = valueOf(Server);
  Request.m_Deadline = BootClock::now() + QuestionTimeout;
  Request.m_AnswerBytes = MaxAnswerBytes;
  http::ClientHandlers Handlers;
  Handlers.m_OnDone = [this, Address](const Result<http::Response> &Response) {
    Question Ended = std::move(m_Open.at(Address));
    m_Open.erase(Address);
    const platform::Identity Answer =
        failed(Response) ? platform::Identity()
                         : platform::readIdentity(valueOf(Response));
    for (const OnAnswer &Waiting : Ended.m_Waiting)
      Waiting(Answer);
  };
  m_Open[Address].m_Waiting.push_back(std::move(Done));
  auto Call = http::call(m_Loop, std::move(Request), std::move(Handlers));
  // A call that can't connect may have ended already.
  if (const auto Open = m_Open.find(Address); Open != m_Open.end())
    Open->second.m_Call = std::move(Call);
  return true;
}

void TargetQuestions::cancel() {
  for (auto &[Address, Open] : std::exchange(m_Open, {}))
    if (Open.m_Call != nullptr)
      Open.m_Call->cancel();
}

} // namespace wasabivale::control
