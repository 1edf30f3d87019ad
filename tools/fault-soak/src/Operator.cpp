#include "Operator.h"

#include "platform/platform.h"

namespace wasabivale::soak {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds CallTimeout{1'000};
constexpr int TemporaryRedirect = 307;
constexpr int LongestRedirects = 2;

routes::Kind toRouteKind(Kind Value) {
  switch (Value) {
  case Kind::Safe:
    return routes::Kind::Safe;
  case Kind::Unsafe:
    return routes::Kind::Unsafe;
  default:
    return routes::Kind::Streaming;
  }
}

bool isStream(Kind Value) {
  return Value == Kind::Stream || Value == Kind::Resumable;
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
  for (const RouteShape &Route : LastingRoutes)
    Add(Route);
  if (HasPassing)
    Add(PassingRoute);
  return Content;
}

routes::Table configurationOf(std::uint64_t Version, unsigned Variant) {
  constexpr std::uint32_t MaxConnections = 400;
  routes::Table Table;
  Table.m_Version = Version;
  for (const char *Name : Services)
    Table.m_Services[Name] = {Name, MaxConnections, 0, {}, "/health"};
  Table.m_Limits.m_HeaderTimeout = 3s;
  Table.m_Limits.m_IdleTimeout = 15s;
  const Routes Content = routesOf(Variant);
  const auto Add = [&](const RouteShape &Shape) {
    const auto Found = Content.find(Shape.m_Name);
    if (Found == Content.end())
      return;
    routes::Route &Route = Table.m_Routes.emplace_back();
    Route.m_Name = Shape.m_Name;
    Route.m_Host = Host;
    Route.m_PathPrefix = std::string("/") + Shape.m_Name + "/";
    Route.m_Kind = toRouteKind(Shape.m_Kind);
    Route.m_Timeout = Shape.m_Timeout;
    Route.m_Objective = 1s;
    Route.m_Gap = 1s;
    Route.m_Rank = 1;
    Route.m_Resumable = Shape.m_Kind == Kind::Resumable;
    Route.m_MaxAttempts = Route.isRepeatable() ? 3 : 2;
    for (const std::string &Service : Found->second)
      Route.m_Services.push_back({Service, 1});
  };
  for (const RouteShape &Shape : LastingRoutes)
    Add(Shape);
  Add(PassingRoute);
  return Table;
}

void Operator::change(unsigned Variant) {
  m_Version += 1 + Variant % 4;
  m_Judge.routesSent(m_Version, routesOf(Variant));
  m_Waiting.push_back(
      {m_Version, platform::printRoutes(configurationOf(m_Version, Variant))});
}

void Operator::turn(TimePoint Now) {
  if (!m_Waiting.empty() && !m_IsCalling && Now >= m_SendAt)
    put(m_Control[m_Member], 0);
}

void Operator::put(const http::Address &Member, int Redirects) {
  m_IsCalling = true;
  http::ClientRequest Out;
  Out.m_To = Member;
  Out.m_Method = "PUT";
  Out.m_Path = platform::RoutesPath;
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
