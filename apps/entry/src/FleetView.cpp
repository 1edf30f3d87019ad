#include "FleetView.h"

namespace wasabivale::entry {

namespace {

/// Rates of an engine that states none: an eight-way node of a current model.
/// Routing corrects them by what it sees.
constexpr double UnstatedPrefillRate = 30'000; // Tokens a second.
constexpr double UnstatedDecodeRate = 180;     // Tokens a second of one stream.

routing::Role roleOf(const std::string &Name) {
  if (Name == "prefill")
    return routing::Role::Prefill;
  if (Name == "decode")
    return routing::Role::Decode;
  return routing::Role::Mixed;
}

/// Zero if the service does not state what it takes.
Duration transferPerBlock(const routes::Service &Service) {
  if (Service.m_KvLinkRate == 0)
    return Duration(0);
  constexpr double BitsPerByte = 8;
  const double Bits = static_cast<double>(Service.m_KvBytesPerToken) *
                      BitsPerByte * routing::BlockTokens;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      Bits / static_cast<double>(Service.m_KvLinkRate)));
}

routing::Target toRouting(const FleetView::Known &From,
                          const routes::Table &Routes) {
  const wire::Target &Given = From.m_Description;
  routing::Target Made;
  Made.m_Id = {Given.id()};
  Made.m_Incarnation = Given.incarnation();
  Made.m_Generation = Given.generation();
  Made.m_Kind = Given.kind() == "service" ? routing::Kind::Service
                                          : routing::Kind::Engine;
  Made.m_Zone = {Given.zone()};
  Made.m_Region = {Given.region()};
  for (const std::string &Model : Given.models())
    Made.m_Models.push_back({Model});
  Made.m_Role = roleOf(Given.role());
  if (Given.self_managed()) {
    Made.m_PrefillTokensPerSecond = UnstatedPrefillRate;
    Made.m_DecodeTokensPerSecond = UnstatedDecodeRate;
    // Between the tokens of others a prompt is read at half the speed.
    if (Made.m_Role == routing::Role::Decode)
      Made.m_PrefillTokensPerSecond /= 2;
  }
  if (Given.prefill_tokens_per_second() > 0)
    Made.m_PrefillTokensPerSecond = Given.prefill_tokens_per_second();
  if (Given.decode_tokens_per_second() > 0)
    Made.m_DecodeTokensPerSecond = Given.decode_tokens_per_second();
  Made.m_KvBlocks = static_cast<std::uint32_t>(Given.kv_blocks());
  Made.m_SoftwareVersion = Given.software_version();
  Made.m_MaxRunning = std::max(1U, Given.max_running());
  if (Given.models_size() > 0)
    if (const auto Service = Routes.m_Services.find(Given.models(0));
        Service != Routes.m_Services.end()) {
      if (Made.m_KvBlocks == 0)
        Made.m_KvBlocks = static_cast<std::uint32_t>(
            Service->second.m_KvCapacityTokens / routing::BlockTokens);
      Made.m_KvTransferPerBlock = transferPerBlock(Service->second);
    }
  Made.m_Serving = Given.state() == "serving" && From.m_Address.has_value();
  return Made;
}

} // namespace

void FleetView::applyRoutes(const routes::Table &Routes,
                            routing::State &Routing, TimePoint Now) {
  m_HealthPaths.clear();
  for (const auto &[Name, Service] : Routes.m_Services)
    m_HealthPaths[Name] = Service.m_HealthPath;
  for (const auto &[Id, Target] : m_Targets)
    routing::updateTarget(Routing, toRouting(Target, Routes), Now);
}

void FleetView::apply(const wire::FleetUpdate &Update,
                      const routes::Table &Routes, routing::State &Routing,
                      TimePoint Now) {
  std::set<TargetId> Left;
  if (Update.from_revision() == 0)
    for (const auto &[Id, Target] : m_Targets)
      Left.insert(Id);
  for (const std::string &Removed : Update.removed_targets())
    Left.insert({Removed});
  for (const wire::Target &Target : Update.targets()) {
    const TargetId Id{Target.id()};
    Left.erase(Id);
    Known &Here = m_Targets[Id];
    m_ByKey[workdigest::targetKey(Id)] = Id;
    Here.m_Description = Target;
    Here.m_Address.reset();
    if (auto Address = http::parseAddress(Target.address()); !failed(Address))
      Here.m_Address = valueOf(Address);
    routing::updateTarget(Routing, toRouting(Here, Routes), Now);
  }
  for (const TargetId &Id : Left)
    remove(Id, Routing, Now);
}

void FleetView::remove(const TargetId &Id, routing::State &Routing,
                       TimePoint Now) {
  if (m_Targets.erase(Id) == 0)
    return;
  m_ByKey.erase(workdigest::targetKey(Id));
  routing::removeTarget(Routing, Id, Now);
}

const FleetView::Known *FleetView::find(const TargetId &Id) const {
  const auto Found = m_Targets.find(Id);
  return Found == m_Targets.end() ? nullptr : &Found->second;
}

const TargetId *FleetView::findByKey(workdigest::TargetKey Key) const {
  const auto Found = m_ByKey.find(Key);
  return Found == m_ByKey.end() ? nullptr : &Found->second;
}

std::vector<TargetId> FleetView::targetsAt(std::string_view Address) const {
  std::vector<TargetId> Found;
  for (const auto &[Id, Target] : m_Targets)
    if (Target.m_Description.address() == Address)
      Found.push_back(Id);
  return Found;
}

bool FleetView::isCurrent(const TargetId &Id,
                          std::string_view Incarnation) const {
  const Known *Here = find(Id);
  return Here != nullptr && Here->m_Description.incarnation() == Incarnation &&
         Here->m_Description.state() != "lost";
}

bool FleetView::isClosing(const TargetId &Id) const {
  const Known *Here = find(Id);
  return Here != nullptr && Here->m_Description.state() != "serving";
}

std::set<std::string> FleetView::servedModels() const {
  std::set<std::string> Names;
  for (const auto &[Id, Target] : m_Targets)
    if (Target.m_Description.kind() != "service")
      Names.insert(Target.m_Description.models().begin(),
                   Target.m_Description.models().end());
  return Names;
}

std::map<std::string, std::set<std::string>>
FleetView::softwareVersions() const {
  std::map<std::string, std::set<std::string>> Versions;
  for (const auto &[Id, Target] : m_Targets)
    if (Target.m_Description.state() != "lost" &&
        Target.m_Description.state() != "withdrawn")
      for (const std::string &Service : Target.m_Description.models())
        Versions[Service].insert(Target.m_Description.software_version());
  return Versions;
}

FleetView::Isolation FleetView::isolation(const std::string &Service) const {
  std::uint64_t Best = 0;
  std::string Address;
  bool IsUsed = false;
  for (const auto &[Id, Target] : m_Targets) {
    const wire::Target &Given = Target.m_Description;
    const bool Stays = Given.state() == "serving" || Given.state() == "lost";
    if (Given.kind() != "service" || !Stays || Given.models().empty() ||
        Given.models(0) != Service)
      continue;
    const std::uint64_t Score = hashBytes(Given.address(), hashBytes(Service));
    IsUsed = IsUsed || (!Address.empty() && Given.address() != Address);
    if (!Address.empty() && Score <= Best)
      continue;
    Best = Score;
    Address = Given.address();
  }
  Isolation Result;
  Result.m_IsUsed = IsUsed;
  for (const auto &[Id, Target] : m_Targets)
    if (Target.m_Description.address() == Address &&
        Target.m_Description.state() == "serving" && Target.m_Address)
      Result.m_Target = Id;
  return Result;
}

std::vector<reach::Candidate> FleetView::serving() const {
  std::vector<reach::Candidate> Serving;
  std::set<std::string_view> Addresses;
  for (const auto &[Id, Target] : m_Targets) {
    const wire::Target &Description = Target.m_Description;
    if (Description.state() != "serving" || !Target.m_Address ||
        !Addresses.insert(Description.address()).second)
      continue;
    const std::string Service =
        Description.models().empty() ? "" : Description.models(0);
    const auto HealthPath = m_HealthPaths.find(Service);
    Serving.push_back(
        {Description.address(),
         Service,
         {Description.zone()},
         HealthPath == m_HealthPaths.end() ? "" : HealthPath->second});
  }
  return Serving;
}

void FleetView::fillBarriers(const routing::State &Routing,
                             wire::EntryReport &Report) const {
  for (const auto &[Id, Target] : m_Targets) {
    if (Target.m_Description.state() == "serving")
      continue;
    wire::BarrierState &Barrier = *Report.add_barriers();
    const std::uint64_t Generation = Target.m_Description.generation();
    Barrier.set_target(Id.m_Value);
    Barrier.set_generation(Generation);
    // Work of this generation itself began before the target was closed.
    Barrier.set_in_flight(routing::inFlight(Routing, Id));
  }
}

void FleetView::fillLeaving(const routing::State &Routing,
                            wire::EntryReport &Report) const {
  for (const auto &[Id, Target] : m_Targets) {
    const std::string &Incarnation = Target.m_Description.incarnation();
    if (Target.m_Description.state() != "serving" ||
        !routing::isClosed(Routing, {Id, Incarnation}))
      continue;
    wire::LeavingTarget &Leaving = *Report.add_leaving_targets();
    Leaving.set_target(Id.m_Value);
    Leaving.set_incarnation(Incarnation);
  }
}

} // namespace wasabivale::entry
