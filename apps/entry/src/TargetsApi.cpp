#include "TargetsApi.h"

#include "events/events.h"

namespace wasabivale::entry {

namespace {

constexpr std::chrono::seconds CommitTimeout{5};
constexpr std::chrono::milliseconds HeartbeatInterval{1000};
const http::Headers JsonType = {{"Content-Type", "application/json"}};

wire::Target toWire(const targets::Announcement &From) {
  wire::Target Made;
  Made.set_id(From.m_Id.m_Value);
  Made.set_incarnation(From.m_Incarnation);
  Made.set_address(http::printAddress(From.m_Address));
  Made.set_kind(std::string(targets::kindName(From.m_Kind)));
  Made.set_region(From.m_Region.m_Value);
  Made.set_zone(From.m_Zone.m_Value);
  for (const ModelId &Model : From.m_Models)
    Made.add_models(Model.m_Value);
  for (const std::string &Service : From.m_Services)
    Made.add_models(Service);
  if (From.m_Kind == targets::Kind::Engine)
    Made.set_role(std::string(targets::roleName(From.m_Role)));
  Made.set_checks_fence(From.m_ChecksFence);
  Made.set_kv_blocks(From.m_KvBlocks);
  Made.set_max_running(static_cast<std::uint32_t>(From.m_MaxRunning));
  Made.set_prefill_tokens_per_second(
      static_cast<double>(From.m_PrefillTokensPerSecond));
  Made.set_decode_tokens_per_second(
      static_cast<double>(From.m_DecodeTokensPerSecond));
  return Made;
}

std::vector<routing::CacheEvent>
toRouting(const std::vector<targets::CacheEvent> &From) {
  std::vector<routing::CacheEvent> Made;
  Made.reserve(From.size());
  for (const targets::CacheEvent &One : From)
    Made.push_back({One.m_Number, One.m_Block, One.m_Added});
  return Made;
}

} // namespace

void TargetsApi::take(const std::shared_ptr<http::Exchange> &Arrived) {
  const http::Request &Asked = Arrived->request();
  const bool Known = Asked.m_Path == "/targets/v1/announce" ||
                     Asked.m_Path == "/targets/v1/heartbeat" ||
                     Asked.m_Path == "/targets/v1/leave";
  if (!Known)
    return refuse(*Arrived, Refusal::UnknownPath, "targets.path");
  if (Asked.m_Method != "POST")
    return refuse(*Arrived, Refusal::MethodNotAllowed, "targets.method");
  if (Asked.m_Path == "/targets/v1/announce")
    return announce(Arrived);
  if (Asked.m_Path == "/targets/v1/heartbeat")
    return heartbeat(*Arrived);
  leave(Arrived);
}

void TargetsApi::refuse(http::Exchange &To, Refusal Reason, std::string Step,
                        std::string Detail) {
  m_Registry.refusals(Reason).add();
  Rejection Why;
  Why.m_Reason = Reason;
  Why.m_Step = std::move(Step);
  Why.m_Detail = std::move(Detail);
  replyRejection(To, {}, Why);
}

void TargetsApi::answer(http::Exchange &To,
                        const Result<wire::CallReply> &Reply,
                        const std::string &Accepted) {
  if (failed(Reply))
    return refuse(To, Refusal::NoQuorum, errorOf(Reply).m_Step,
                  errorOf(Reply).m_Message);
  const wire::CallReply &Told = valueOf(Reply);
  if (Told.refusal() != 0)
    return refuse(To, refusalFromNumber(Told.refusal(), Refusal::NoQuorum),
                  "control.commit", Told.message());
  To.reply(200, JsonType, Accepted);
}

void TargetsApi::announce(const std::shared_ptr<http::Exchange> &Arrived) {
  const auto Read = targets::parseAnnouncement(Arrived->request().m_Body);
  if (failed(Read))
    return refuse(*Arrived, Refusal::InvalidField, errorOf(Read).m_Step,
                  errorOf(Read).m_Message);
  wire::Command Command;
  *Command.mutable_announce_target()->mutable_target() = toWire(valueOf(Read));
  events::emit(events::Event::TargetAnnounced,
               {{"target", valueOf(Read).m_Id},
                {"incarnation", valueOf(Read).m_Incarnation},
                {"address", http::printAddress(valueOf(Read).m_Address)}});
  const std::string Accepted =
      targets::print(targets::AnnounceAnswer{true, HeartbeatInterval});
  m_Call(std::move(Command), BootClock::now() + CommitTimeout,
         [this, Arrived, Accepted](const Result<wire::CallReply> &Reply) {
           answer(*Arrived, Reply, Accepted);
         });
}

void TargetsApi::heartbeat(http::Exchange &Arrived) {
  auto Read = targets::parseHeartbeat(Arrived.request().m_Body);
  if (failed(Read))
    return refuse(Arrived, Refusal::InvalidField, errorOf(Read).m_Step,
                  errorOf(Read).m_Message);
  targets::Heartbeat &Told = valueOf(Read);
  targets::HeartbeatAnswer Answer;
  Answer.m_Accepted = m_Fleet.isCurrent(Told.m_Id, Told.m_Incarnation);
  Answer.m_Announce = !Answer.m_Accepted;
  if (Answer.m_Accepted) {
    const routing::LoadReport Load{static_cast<std::uint32_t>(Told.m_Running),
                                   static_cast<std::uint32_t>(Told.m_Waiting),
                                   Told.m_PrefillTokensWaiting,
                                   Told.m_KvBlocksFree};
    routing::applyLoad(m_Routing, Told.m_Id, Told.m_Incarnation, Load,
                       BootClock::now());
    routing::applyCacheEvents(m_Routing, Told.m_Id, Told.m_Incarnation,
                              toRouting(Told.m_CacheEvents));
    const TargetId Id = Told.m_Id;
    m_Heard[Id] = std::move(Told);
  }
  Arrived.reply(200, JsonType, targets::print(Answer));
}

void TargetsApi::leave(const std::shared_ptr<http::Exchange> &Arrived) {
  const auto Read = targets::parseLeave(Arrived->request().m_Body);
  if (failed(Read))
    return refuse(*Arrived, Refusal::InvalidField, errorOf(Read).m_Step,
                  errorOf(Read).m_Message);
  wire::Command Command;
  Command.mutable_leave_target()->set_target(valueOf(Read).m_Id.m_Value);
  Command.mutable_leave_target()->set_incarnation(valueOf(Read).m_Incarnation);
  m_Call(std::move(Command), BootClock::now() + CommitTimeout,
         [this, Arrived](const Result<wire::CallReply> &Reply) {
           answer(*Arrived, Reply, R"({"accepted":true})");
         });
}

void TargetsApi::fillReport(wire::EntryReport &Report) {
  for (const auto &[Id, Told] : m_Heard) {
    wire::TargetReport &Short = *Report.add_targets();
    Short.set_target(Id.m_Value);
    Short.set_incarnation(Told.m_Incarnation);
    Short.set_running(static_cast<std::uint32_t>(Told.m_Running));
    Short.set_waiting(static_cast<std::uint32_t>(Told.m_Waiting));
    Short.set_prefill_tokens_waiting(Told.m_PrefillTokensWaiting);
    Short.set_kv_blocks_free(Told.m_KvBlocksFree);
    Short.set_role(std::string(targets::roleName(Told.m_Role)));
    Short.set_fence_term(Told.m_Fence.m_Term);
    Short.set_fence_sequence(Told.m_Fence.m_Sequence);
  }
  m_Heard.clear();
}

} // namespace wasabivale::entry
