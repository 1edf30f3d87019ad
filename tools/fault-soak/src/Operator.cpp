#include "Operator.h"

namespace wasabivale::soak {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds CallTimeout{1'000};
constexpr int TemporaryRedirect = 307;
constexpr int LongestRedirects = 2;

const char *kindName(Kind What) {
  switch (What) {
  case Kind::Safe:
    return "safe";
  case Kind::Unsafe:
    return "unsafe";
  default:
    return "streaming";
  }
}

bool isStream(Kind What) {
  return What == Kind::Stream || What == Kind::Resumable;
}

} // namespace

Routes routesOf(unsigned Variant) {
  Routes Content;
  const auto Add = [&](const RouteShape &Route) {
    const std::size_t First = isStream(Route.m_Kind) ? 2 : 0;
    std::set<std::string> &Chosen = Content[Route.m_Name];
    // One of the two services, or both.
    const unsigned Choice = Variant % 3;
    Variant /= 3;
    if (Choice != 1)
      Chosen.insert(Services[First]);
    if (Choice != 0)
      Chosen.insert(Services[First + 1]);
  };
  const bool HasPassing = Variant % 2 == 1;
  Variant /= 2;
  for (const RouteShape &Each : LastingRoutes)
    Add(Each);
  if (HasPassing)
    Add(PassingRoute);
  return Content;
}

nlohmann::json configurationOf(std::uint64_t Version, unsigned Variant) {
  using nlohmann::json;
  json Made{{"version", Version},
            {"routes", json::array()},
            {"services", json::array()},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
  for (const char *Name : Services)
    Made["services"].push_back({{"name", Name},
                                {"health_path", "/health"},
                                {"max_connections", 400},
                                {"protocol", "h1"},
                                {"tls", false}});
  const Routes Content = routesOf(Variant);
  const auto Add = [&](const RouteShape &Route) {
    const auto Found = Content.find(Route.m_Name);
    if (Found == Content.end())
      return;
    const bool Repeats =
        Route.m_Kind == Kind::Safe || Route.m_Kind == Kind::Resumable;
    json Item{{"name", Route.m_Name},
              {"host", Host},
              {"path_prefix", std::string("/") + Route.m_Name + "/"},
              {"kind", kindName(Route.m_Kind)},
              {"timeout_ms", Route.m_Timeout.count()},
              {"target_latency_ms", 1000},
              {"target_gap_ms", 1000},
              {"priority", 1},
              {"max_attempts", Repeats ? 3 : 2},
              {"sticky_sessions", false},
              {"allow_resume", Route.m_Kind == Kind::Resumable}};
    if (Found->second.size() == 1) {
      Item["service"] = *Found->second.begin();
    } else {
      Item["split"] = json::array();
      for (const std::string &Each : Found->second)
        Item["split"].push_back({{"service", Each}, {"weight", 50}});
    }
    Made["routes"].push_back(std::move(Item));
  };
  for (const RouteShape &Each : LastingRoutes)
    Add(Each);
  Add(PassingRoute);
  return Made;
}

void Operator::change(unsigned Variant) {
  m_Version += 1 + Variant % 4;
  m_Judge.routesSent(m_Version, routesOf(Variant));
  m_Waiting.push_back({m_Version, configurationOf(m_Version, Variant).dump()});
}

void Operator::turn(TimePoint Now) {
  if (!m_Waiting.empty() && !m_IsCalling && Now >= m_SendAt)
    put(m_Control[m_Member], 0);
}

void Operator::put(const http::Address &To, int Redirects) {
  m_IsCalling = true;
  http::ClientRequest Out;
  Out.m_To = To;
  Out.m_Method = "PUT";
  Out.m_Path = "/config";
  Out.m_Headers = {{"Content-Type", "application/json"}};
  Out.m_Body = m_Waiting.front().m_Body;
  Out.m_Deadline = BootClock::now() + CallTimeout;
  http::ClientHandlers Handlers;
  Handlers.m_OnDone = [this, Redirects](const Result<http::Response> &Got) {
    const TimePoint Now = BootClock::now();
    m_IsCalling = false;
    const int Status = failed(Got) ? 0 : valueOf(Got).m_Status;
    if (Status == 200) {
      m_Judge.routesAcknowledged(m_Waiting.front().m_Version, Now);
      m_Waiting.erase(m_Waiting.begin());
      return;
    }
    if (Status == TemporaryRedirect && Redirects < LongestRedirects) {
      constexpr std::string_view Scheme = "http://";
      std::string Place(http::header(valueOf(Got).m_Headers, "location"));
      Place = Place.substr(std::min(Place.size(), Scheme.size()));
      const auto Next = http::parseAddress(Place.substr(0, Place.find('/')));
      if (!failed(Next))
        return put(valueOf(Next), Redirects + 1);
    }
    m_Member = (m_Member + 1) % m_Control.size();
    m_SendAt = Now + 200ms;
  };
  http::call(m_Loop, std::move(Out), std::move(Handlers));
}

} // namespace wasabivale::soak
