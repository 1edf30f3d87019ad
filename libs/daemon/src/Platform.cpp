#include "daemon/daemon.h"

namespace wasabivale::daemon {

namespace {

const http::Headers PlainText = {{"Content-Type", "text/plain; version=0.0.4"}};

} // namespace

Result<std::unique_ptr<http::Server>> listenForPlatform(
    event_base *Loop, const http::Address &At,
    const metrics::Registry &Registry, std::function<std::string()> NotReady,
    std::function<void()> BeforePrint, const std::string &ReadyPath,
    std::shared_ptr<http::MemoryBudget> Memory) {
  const auto Answer = [&Registry, ReadyPath, NotReady = std::move(NotReady),
                       BeforePrint = std::move(BeforePrint)](
                          const std::shared_ptr<http::Exchange> &Arrived) {
    const std::string &Path = Arrived->request().m_Path;
    if (Path == "/healthz") {
      Arrived->reply(200, PlainText, "ok\n");
    } else if (Path == "/readyz" || Path == ReadyPath) {
      const std::string Reason = NotReady();
      Arrived->reply(Reason.empty() ? 200 : 503, PlainText,
                     Reason.empty() ? "ready\n" : Reason + "\n");
    } else if (Path == "/metrics") {
      if (BeforePrint)
        BeforePrint();
      Arrived->reply(200, PlainText, Registry.print());
    } else {
      Arrived->reply(404, PlainText, "no such path\n");
    }
  };
  http::ServerLimits Limits;
  Limits.m_Memory = std::move(Memory);
  return http::listen(Loop, At, Limits, Answer);
}

void logCloses(http::Server &Server, std::string_view Listener) {
  Server.onConnectionClosed([Listener](const http::ClosedConnection &Ended) {
    if (Ended.m_Reason == http::CloseReason::PeerClosed && !Ended.m_IsAnswerDue)
      return;
    using std::chrono::milliseconds;
    const auto Age = BootClock::now() - Ended.m_AcceptedAt;
    events::emit(
        events::Event::ConnectionClosed,
        {{"listener", Listener},
         {"peer", Ended.m_Peer},
         {"reason", http::closeReasonName(Ended.m_Reason)},
         {"age_ms", std::chrono::duration_cast<milliseconds>(Age).count()},
         {"requests", Ended.m_Requests},
         {"answer_due", Ended.m_IsAnswerDue},
         {"unread", Ended.m_HasUnread},
         {"unsent", Ended.m_UnsentBytes},
         {"stage", currentStage()},
         {"process_age_ms",
          std::chrono::duration_cast<milliseconds>(processAge()).count()}});
  });
}

void recordMemory(metrics::Registry &Registry, const http::MemoryBudget &Of) {
  for (std::size_t I = 0; I < http::MemoryParts; ++I) {
    const auto Part = static_cast<http::MemoryPart>(I);
    const metrics::Labels With = {
        {"part", std::string(http::memoryPartName(Part))}};
    Registry
        .gauge("wasabivale_client_memory_bytes",
               "Memory that clients hold, by part of the budget", With)
        .m_Value = static_cast<double>(Of.held(Part));
    Registry
        .gauge("wasabivale_client_memory_limit_bytes",
               "Most memory of that part", With)
        .m_Value = static_cast<double>(Of.shares().m_Most[I]);
  }
  for (std::size_t I = 0; I < http::MemoryRefusals; ++I) {
    const auto Why = static_cast<http::MemoryRefusal>(I);
    Registry
        .gauge("wasabivale_refused_clients",
               "Clients refused or closed to keep the memory budget",
               {{"reason", std::string(http::memoryRefusalName(Why))}})
        .m_Value = static_cast<double>(Of.refusals(Why));
  }
}

void recordMalformedResponses(metrics::Registry &Registry) {
  for (std::size_t I = 0; I < http::ResponseFaults; ++I) {
    const auto Fault = static_cast<http::ResponseFault>(I);
    Registry
        .counter("wasabivale_malformed_responses_total",
                 "Responses that failed their call because they are malformed",
                 {{"reason", std::string(http::responseFaultName(Fault))}})
        .m_Value = http::malformedResponses(Fault);
  }
}

} // namespace wasabivale::daemon
