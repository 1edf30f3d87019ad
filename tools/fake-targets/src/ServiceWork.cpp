#include "ServiceWork.h"

#include <algorithm>

namespace wasabivale::faketargets {

namespace {

constexpr int HttpBadRequest = 400;
constexpr int HttpNotFound = 404;
constexpr int HttpTooMany = 429;
constexpr int HttpUnavailable = 503;

/// The `id` of a JSON body, or else the body itself.
std::string bookingId(const std::string &Body) {
  const auto Parsed = nlohmann::json::parse(Body, nullptr, false);
  if (Parsed.is_object() && Parsed.contains("id") && Parsed["id"].is_string())
    return Parsed["id"].get<std::string>();
  return Body;
}

} // namespace

void ServiceWork::call(const std::shared_ptr<http::Exchange> &From,
                       bool Accepts) {
  const auto Parsed = targets::parseServiceCall(From->request().m_Body);
  if (failed(Parsed))
    return refuse(*From, HttpBadRequest, errorOf(Parsed).m_Message, true);
  const targets::ServiceCall &What = valueOf(Parsed);
  if (!Accepts || useFault(m_Life.m_Faults.m_Refuse))
    return refuse(*From, HttpUnavailable, "draining", true);
  const auto &Known = m_Life.m_Self.m_Services;
  if (std::find(Known.begin(), Known.end(), What.m_Service) == Known.end())
    return refuse(*From, HttpNotFound, "unknown_service", true);
  if (m_Running >= m_Life.m_Self.m_MaxRunning)
    return refuse(*From, HttpTooMany, "full", true);
  const targets::ServiceAnswer Answer{200, execute(What).dump(),
                                      "application/json"};
  if (useFault(m_Life.m_Faults.m_Stall)) {
    m_Stalled.push_back(From);
    return;
  }
  if (useFault(m_Life.m_Faults.m_Cut))
    return From->abort();
  auto Delay = m_Life.m_Shared.m_Settings.m_ServiceTime;
  if (useFault(m_Life.m_Faults.m_Late))
    Delay += m_Life.m_Faults.m_LateBy;
  ++m_Running;
  callLater(m_Life.m_Shared.m_Loop, Delay, m_Alive, [this, From, Answer] {
    --m_Running;
    answer(*From, 200, print(Answer));
  });
}

nlohmann::json ServiceWork::execute(const targets::ServiceCall &What) {
  const std::string Id = bookingId(What.m_Body);
  nlohmann::json Answer{{"service", What.m_Service},
                        {"target", m_Life.m_Self.m_Id.m_Value},
                        {"id", Id}};
  if (What.m_Service == "stock")
    Answer["stock"] = hashBytes(What.m_Path + What.m_Body) % 1000;
  else
    Answer["executions"] = ++m_Bookings[Id];
  m_Life.note("call_executed", {{"request", What.m_Request.m_Value},
                                {"service", What.m_Service},
                                {"path", What.m_Path},
                                {"id", Id},
                                {"key", What.m_IdempotencyKey},
                                {"body_digest", digestHex(What.m_Body)},
                                {"not_repeatable", What.m_NotRepeatable}});
  return Answer;
}

} // namespace wasabivale::faketargets
