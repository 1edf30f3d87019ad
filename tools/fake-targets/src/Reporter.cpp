#include "Reporter.h"

#include "events/events.h"

namespace wasabivale::faketargets {

namespace {

constexpr std::chrono::milliseconds RetryDelay{300};
constexpr std::chrono::milliseconds AnswerTimeout{3000};

} // namespace

Reporter::Reporter(Life &Of, std::function<targets::Heartbeat()> Collect)
    : m_Life(Of), m_Collect(std::move(Collect)) {
  // Targets spread over the entries.
  m_Entry = hashBytes(Of.m_Self.m_Id.m_Value);
}

void Reporter::start() {
  if (!m_Life.m_Shared.m_Settings.m_Announce.empty())
    announce();
}

const http::Address &Reporter::entry() const {
  const auto &Entries = m_Life.m_Shared.m_Settings.m_Announce;
  return Entries[m_Entry % Entries.size()];
}

void Reporter::nextEntry() { ++m_Entry; }

void Reporter::again(std::chrono::milliseconds Delay,
                     void (Reporter::*What)()) {
  callLater(m_Life.m_Shared.m_Loop, Delay, m_Alive,
            [this, What] { (this->*What)(); });
}

void Reporter::post(const std::string &Path, std::string Body, Take OnAccepted,
                    std::function<void()> OnFailed) {
  http::ClientRequest What;
  What.m_To = entry();
  What.m_Path = Path;
  What.m_Headers = {{"Content-Type", "application/json"}};
  What.m_Body = std::move(Body);
  What.m_Deadline = BootClock::now() + AnswerTimeout;
  http::ClientHandlers Handlers;
  Handlers.m_OnDone =
      [Alive = std::weak_ptr<void>(m_Alive), OnAccepted = std::move(OnAccepted),
       OnFailed = std::move(OnFailed)](const Result<http::Response> &Got) {
        if (!Alive.lock())
          return;
        if (failed(Got) || valueOf(Got).m_Status != 200)
          return OnFailed();
        OnAccepted(valueOf(Got).m_Body);
      };
  http::call(m_Life.m_Shared.m_Loop, std::move(What), std::move(Handlers));
}

void Reporter::announce() {
  post(
      "/targets/v1/announce", print(m_Life.m_Self),
      [this](const std::string &Body) { takeAnnounceAnswer(Body); },
      [this] {
        nextEntry();
        again(RetryDelay, &Reporter::announce);
      });
}

void Reporter::takeAnnounceAnswer(const std::string &Body) {
  const auto Answer = targets::parseAnnounceAnswer(Body);
  if (failed(Answer) || !valueOf(Answer).m_Accepted) {
    nextEntry();
    return again(RetryDelay, &Reporter::announce);
  }
  if (!std::exchange(m_Known, true))
    events::emit(events::Event::FakeTargetRegistered,
                 {{"target", m_Life.m_Self.m_Id},
                  {"entry", http::printAddress(entry())}});
  m_Every = valueOf(Answer).m_HeartbeatEvery;
  again(std::chrono::milliseconds(0), &Reporter::beat);
}

void Reporter::beat() {
  targets::Heartbeat Report = m_Collect();
  Report.m_Sequence = ++m_Sequence;
  post(
      "/targets/v1/heartbeat", print(Report),
      [this](const std::string &Body) { takeBeatAnswer(Body); },
      [this] {
        nextEntry();
        again(RetryDelay, &Reporter::beat);
      });
}

void Reporter::takeBeatAnswer(const std::string &Body) {
  const auto Answer = targets::parseHeartbeatAnswer(Body);
  if (!failed(Answer) && valueOf(Answer).m_Announce)
    return again(RetryDelay, &Reporter::announce);
  again(m_Every, &Reporter::beat);
}

void Reporter::leave() {
  if (!m_Life.m_Shared.m_Settings.m_Announce.empty())
    sendLeave();
}

void Reporter::sendLeave() {
  post(
      "/targets/v1/leave",
      print(targets::Leave{m_Life.m_Self.m_Id, m_Life.m_Self.m_Incarnation}),
      [](const std::string &) {},
      [this] {
        nextEntry();
        again(RetryDelay, &Reporter::sendLeave);
      });
}

} // namespace wasabivale::faketargets
