#include "Admin.h"

#include "metrics/metrics.h"

#include <algorithm>

namespace wasabivale::faketargets {

namespace {

using Json = nlohmann::json;

constexpr int HttpBadRequest = 400;
constexpr int HttpNotFound = 404;

Target *findTarget(TargetList &Among, const Json &Body) {
  const auto Name = Body.find("target");
  if (Name == Body.end() || !Name->is_string())
    return nullptr;
  const auto Found =
      std::find_if(Among.begin(), Among.end(), [&Name](const auto &Each) {
        return Each->id().m_Value == Name->template get<std::string>();
      });
  return Found == Among.end() ? nullptr : Found->get();
}

void handlePost(http::Exchange &From, TargetList &Targets) {
  const Json Body = Json::parse(From.request().m_Body, nullptr, false);
  Target *Named = Body.is_object() ? findTarget(Targets, Body) : nullptr;
  if (Named == nullptr)
    return refuse(From, HttpNotFound, "unknown_target", true);
  if (From.request().m_Path == "/fake/v1/leave") {
    Named->leave();
    return answer(From, 200, "{}");
  }
  if (const Status Done = Named->fault(Body); failed(Done))
    return refuse(From, HttpBadRequest, describe(errorOf(Done)), true);
  answer(From, 200, "{}");
}

std::string printStates(const TargetList &Targets) {
  Json List = Json::array();
  for (const auto &Each : Targets) {
    Json State = Json::parse(print(Each->state()));
    State["up"] = Each->up();
    List.push_back(std::move(State));
  }
  return List.dump();
}

std::string printMetrics(const TargetList &Targets) {
  metrics::Registry Made;
  for (const auto &Each : Targets) {
    const metrics::Labels Label{{"target", Each->id().m_Value}};
    const targets::TargetState State = Each->state();
    Made.gauge("wasabivale_fake_target_up", "1 while the target serves", Label)
        .m_Value = Each->up() ? 1 : 0;
    Made.gauge("wasabivale_fake_target_running", "work in the target", Label)
        .m_Value = static_cast<double>(State.m_Running);
  }
  return Made.print();
}

void handle(http::Exchange &From, TargetList &Targets) {
  const std::string &Path = From.request().m_Path;
  if (Path == "/healthz" || Path == "/readyz")
    return answer(From, 200, "{}");
  if (Path == "/metrics")
    return From.reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                      printMetrics(Targets));
  if (Path == "/fake/v1/targets")
    return answer(From, 200, printStates(Targets));
  if (Path == "/fake/v1/fault" || Path == "/fake/v1/leave")
    return handlePost(From, Targets);
  refuse(From, HttpNotFound, "unknown_path", true);
}

} // namespace

Result<std::unique_ptr<http::Server>> listenForAdmin(Context &Shared,
                                                     TargetList &Targets) {
  if (Shared.m_Settings.m_AdminPort == 0)
    return std::unique_ptr<http::Server>();
  return http::listen(
      Shared.m_Loop, {Shared.m_Settings.m_Host, Shared.m_Settings.m_AdminPort},
      {}, [&Targets](const std::shared_ptr<http::Exchange> &From) {
        handle(*From, Targets);
      });
}

} // namespace wasabivale::faketargets
