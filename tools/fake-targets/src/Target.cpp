#include "Target.h"

#include "events/events.h"

namespace wasabivale::faketargets {

namespace {

constexpr int HttpNotFound = 404;
constexpr int HttpBadRequest = 400;
constexpr std::string_view KvPath = "/engine/v1/kv/";
constexpr std::chrono::milliseconds SampleEvery{50};

http::ServerLimits serverLimits() {
  http::ServerLimits Limits;
  Limits.m_BodyBytes = 2 * targets::MaxTextBytes;
  // A stream may be silent for as long as its prompt is prefilled.
  Limits.m_Silence = std::chrono::minutes(10);
  return Limits;
}

} // namespace

Target::Target(Context &Shared, targets::Announcement What)
    : m_Shared(Shared), m_Announced(std::move(What)) {}

Status Target::start() {
  m_Announced.m_Incarnation = randomIdentity();
  m_Life = std::make_unique<Life>(Life{m_Shared, m_Announced, m_Faults});
  m_Orders = {};
  m_Orders.m_ChecksFence = m_Announced.m_ChecksFence;
  m_Orders.m_Want.m_Role = m_Announced.m_Role;
  m_Orders.m_Want.m_Models = m_Announced.m_Models;
  m_Changing = false;
  if (m_Announced.m_Kind == targets::Kind::Engine)
    m_Engine = std::make_unique<EngineWork>(*m_Life);
  else
    m_Service = std::make_unique<ServiceWork>(*m_Life, m_Bookings);
  auto Server = http::listen(
      m_Shared.m_Loop, m_Announced.m_Address, serverLimits(),
      [this](const std::shared_ptr<http::Exchange> &From) { handle(From); });
  if (failed(Server))
    return errorOf(Server);
  m_Server = std::move(valueOf(Server));
  m_Reporter = std::make_unique<Reporter>(*m_Life, [this] { return report(); });
  m_Reporter->start();
  m_Life->note("target_started",
               {{"address", http::printAddress(m_Announced.m_Address)},
                {"checks_fence", m_Announced.m_ChecksFence}});
  return std::monostate{};
}

void Target::crash() {
  if (!up())
    return;
  m_Life->note("target_crashed");
  events::emit(events::Event::FakeTargetCrashed, {{"target", id()}});
  m_Alive = std::make_shared<int>();
  m_Reporter.reset();
  m_Server.reset();
  m_Engine.reset();
  m_Service.reset();
  m_Samples.clear();
  callLater(m_Shared.m_Loop, m_Faults.m_Restart, m_Alive, [this] {
    if (const Status Started = start(); failed(Started))
      events::emitError(events::Event::ListenFailed, errorOf(Started));
  });
}

void Target::crashSoon(std::chrono::milliseconds Delay) {
  callLater(m_Shared.m_Loop, Delay, m_Alive, [this] { crash(); });
}

void Target::handle(const std::shared_ptr<http::Exchange> &From) {
  const std::string &Path = From->request().m_Path;
  if (Path == "/target/v1/state")
    return answer(*From, 200, print(state()));
  if (Path == "/target/v1/orders")
    return handleOrder(*From);
  handleWork(From);
}

void Target::handleWork(const std::shared_ptr<http::Exchange> &From) {
  const std::string &Path = From->request().m_Path;
  const std::string &Body = From->request().m_Body;
  if (!m_Faults.m_CrashOn.empty() &&
      Body.find(m_Faults.m_CrashOn) != std::string::npos) {
    m_Life->note("crashed_on_request");
    // The exchange is kept, so that its connection ends with the listener.
    return callLater(m_Shared.m_Loop, std::chrono::milliseconds(0), m_Alive,
                     [this, From] { crash(); });
  }
  if (m_Service && Path == "/service/v1/call")
    return m_Service->call(From, accepts());
  if (m_Engine && Path == "/engine/v1/run")
    return m_Engine->run(From, accepts());
  if (m_Engine && Path == "/engine/v1/cancel")
    return m_Engine->cancel(*From);
  if (m_Engine && Path.starts_with(KvPath))
    return m_Engine->sendKv(*From, Path.substr(KvPath.size()));
  refuse(*From, HttpNotFound, "unknown_path", true);
}

bool Target::accepts() const {
  const bool Changes =
      m_Orders.m_State == targets::OrderState::Running && mustGoAway();
  return !m_Orders.m_Want.m_Draining && !m_Orders.m_Want.m_Withdrawn &&
         !Changes && !m_Changing;
}

bool Target::idle() const {
  return m_Engine ? m_Engine->idle() : !m_Service || m_Service->idle();
}

bool Target::mustGoAway() const {
  return m_Engine && !m_Orders.m_Want.m_Withdrawn &&
         (m_Orders.m_Want.m_Role != m_Life->m_Self.m_Role ||
          m_Orders.m_Want.m_Models != m_Life->m_Self.m_Models);
}

void Target::handleOrder(http::Exchange &From) {
  const auto Parsed = targets::parseOrder(From.request().m_Body);
  if (failed(Parsed))
    return refuse(From, HttpBadRequest, errorOf(Parsed).m_Message, true);
  const targets::Order &Given = valueOf(Parsed);
  const bool Again = Given.m_Id == m_Orders.m_Order;
  const targets::OrderAnswer Answer = takeOrder(m_Orders, Given);
  const bool Accepted = Answer == targets::OrderAnswer::Accepted;
  m_Life->note(Accepted ? "order_accepted" : "order_refused",
               {{"order", Given.m_Id},
                {"term", Given.m_Fence.m_Term},
                {"sequence", Given.m_Fence.m_Sequence},
                {"again", Again},
                {"stale", Answer == targets::OrderAnswer::StaleFence},
                {"role", roleName(Given.m_Want.m_Role)},
                {"draining", Given.m_Want.m_Draining},
                {"withdrawn", Given.m_Want.m_Withdrawn}});
  answer(From, httpStatus(Answer), print(Answer));
  goOnWithOrder();
}

/// Streams that run are finished before the engine goes away; it takes no new
/// ones meanwhile.
void Target::goOnWithOrder() {
  if (m_Orders.m_State != targets::OrderState::Running)
    return;
  if (m_Changing) {
    if (m_Engine->away())
      return;
    m_Life->m_Self.m_Role = m_Orders.m_Want.m_Role;
    m_Life->m_Self.m_Models = m_Orders.m_Want.m_Models;
    return endOrder();
  }
  if (!mustGoAway())
    return endOrder();
  if (!idle())
    return;
  m_Changing = true;
  const bool ChangesRole = m_Orders.m_Want.m_Role != m_Life->m_Self.m_Role;
  const auto &Model = m_Shared.m_Settings.m_Model;
  if (ChangesRole)
    m_Engine->changeRole(m_Orders.m_Want.m_Role);
  else
    m_Engine->loadModels();
  m_Life->note("change_started", {{"order", m_Orders.m_Order}});
  if (!std::exchange(m_Faults.m_CrashInOrder, false))
    return;
  const Duration Away =
      ChangesRole ? Model.m_RoleChangeTime : Model.m_ModelLoadTime;
  crashSoon(std::chrono::duration_cast<std::chrono::milliseconds>(Away / 2));
}

void Target::endOrder() {
  m_Changing = false;
  m_Orders.m_State = targets::OrderState::Done;
  m_Life->note("order_done", {{"order", m_Orders.m_Order}});
}

targets::TargetState Target::state() const {
  targets::TargetState Now;
  Now.m_Id = id();
  if (!m_Life)
    return Now;
  Now.m_Incarnation = m_Life->m_Self.m_Incarnation;
  Now.m_Role = m_Life->m_Self.m_Role;
  Now.m_Models = m_Life->m_Self.m_Models;
  Now.m_Draining = m_Orders.m_Want.m_Draining;
  Now.m_Withdrawn = m_Orders.m_Want.m_Withdrawn;
  Now.m_Changing = m_Changing;
  Now.m_Order = m_Orders.m_Order;
  Now.m_OrderState = m_Orders.m_State;
  Now.m_Fence = m_Orders.m_Fence;
  if (m_Engine) {
    const enginemodel::Load Load = m_Engine->load();
    Now.m_Running = Load.m_Running + Load.m_Waiting;
    Now.m_KvBlocksFree = Load.m_KvBlocksFree;
  } else if (m_Service) {
    Now.m_Running = m_Service->running();
  }
  return Now;
}

targets::Heartbeat Target::loadNow() {
  targets::Heartbeat Now;
  if (m_Service)
    Now.m_Running = m_Service->running();
  if (!m_Engine)
    return Now;
  const enginemodel::Load Load = m_Engine->load();
  Now.m_Running = Load.m_Running;
  Now.m_Waiting = Load.m_Waiting;
  Now.m_PrefillTokensWaiting = Load.m_PrefillTokensWaiting;
  Now.m_KvBlocksFree = Load.m_KvBlocksFree;
  return Now;
}

targets::Heartbeat Target::report() {
  targets::Heartbeat Report =
      m_Samples.empty() ? loadNow() : m_Samples.front().m_Load;
  Report.m_Id = id();
  Report.m_Incarnation = m_Life->m_Self.m_Incarnation;
  Report.m_Role = m_Life->m_Self.m_Role;
  Report.m_Models = m_Life->m_Self.m_Models;
  Report.m_Fence = m_Orders.m_Fence;
  if (m_Engine)
    m_Engine->takeCacheEvents(Report, BootClock::now());
  return Report;
}

void Target::turn(TimePoint Now) {
  if (!up())
    return;
  if (m_Engine)
    m_Engine->turn(Now);
  goOnWithOrder();
  if (Now < m_Faults.m_FrozenUntil ||
      (!m_Samples.empty() && Now < m_Samples.back().m_At + SampleEvery))
    return;
  m_Samples.push_back({Now, loadNow()});
  // The front is the newest sample that is older than the lag.
  const TimePoint Oldest = Now - m_Shared.m_Settings.m_ReportLag;
  while (m_Samples.size() > 1 && m_Samples[1].m_At <= Oldest)
    m_Samples.pop_front();
}

void Target::leave() {
  if (m_LeaveSince != TimePoint::max())
    return;
  m_LeaveSince = BootClock::now();
  if (m_Reporter)
    m_Reporter->leave();
}

bool Target::hasLeft(TimePoint Now) const {
  if (!up())
    return true;
  const bool Waited = Now - m_LeaveSince > m_Shared.m_Settings.m_LeaveWait ||
                      m_Shared.m_Settings.m_Announce.empty();
  return idle() && (m_Orders.m_Want.m_Withdrawn || Waited);
}

Status Target::fault(const nlohmann::json &Body) {
  const auto Armed = armFault(m_Faults, Body, BootClock::now());
  if (failed(Armed))
    return errorOf(Armed);
  if (valueOf(Armed).m_Kind == FaultKind::CrashNow)
    crash();
  if (valueOf(Armed).m_Kind == FaultKind::Slow && m_Engine)
    m_Engine->setSpeed(valueOf(Armed).m_Speed);
  if (m_Life)
    m_Life->note("fault", Body);
  return std::monostate{};
}

} // namespace wasabivale::faketargets
