#include "Forwarding.h"

#include <algorithm>

namespace wasabivale::entry {

namespace {

constexpr std::string_view ForwardPrefix = "Wasabivale-Forward-";
constexpr std::string_view AnswerResult = "answer";
/// Most entries that are kept, whatever control names.
constexpr std::size_t MaxPeers = 16;
/// Without control the entries that take requests are those of this long ago.
constexpr std::chrono::seconds PeersKept{60};
constexpr std::chrono::milliseconds UnreachableAvoided{1'000};

http::Fields withoutForwardFields(const http::Fields &Fields) {
  http::Fields Kept;
  for (const auto &[Name, Value] : Fields)
    if (!http::isHopByHop(Name) && !isForwardField(Name))
      Kept.emplace_back(Name, Value);
  return Kept;
}

void add(http::Fields &Fields, std::string_view Name, std::string Value) {
  Fields.emplace_back(std::string(Name), std::move(Value));
}

bool isAmong(const std::vector<NodeId> &Used, const NodeId &Entry) {
  return std::find(Used.begin(), Used.end(), Entry) != Used.end();
}

} // namespace

bool isForwardField(std::string_view Name) {
  return Name.size() > ForwardPrefix.size() &&
         http::isSameName(Name.substr(0, ForwardPrefix.size()), ForwardPrefix);
}

http::Fields forwardFields(const http::Fields &Caller,
                           const ForwardOrigin &Origin, TimePoint Now) {
  http::Fields Fields = withoutForwardFields(Caller);
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max<Duration>(Origin.m_Deadline - Now, Duration(0)));
  add(Fields, ForwardEntryField, Origin.m_Entry.m_Value);
  add(Fields, ForwardRunsField, std::to_string(Origin.m_Runs));
  add(Fields, ForwardLeftField, std::to_string(Left.count()));
  if (Origin.m_LastEventId > 0)
    add(Fields, ForwardLastEventField, std::to_string(Origin.m_LastEventId));
  if (Origin.m_RequiredVersion)
    add(Fields, ForwardVersionField, *Origin.m_RequiredVersion);
  if (!Origin.m_Service.empty())
    add(Fields, ForwardServiceField, Origin.m_Service);
  return Fields;
}

Result<ForwardOrigin> readForwardOrigin(const http::Fields &Request,
                                        TimePoint Now) {
  ForwardOrigin Origin;
  Origin.m_Entry = {std::string(http::field(Request, ForwardEntryField))};
  const auto Runs =
      http::parseNumber<std::uint32_t>(http::field(Request, ForwardRunsField));
  const auto Left =
      http::parseNumber<std::uint32_t>(http::field(Request, ForwardLeftField));
  if (Origin.m_Entry.empty() || !Runs || !Left)
    return Error{"forward.request", Origin.m_Entry.m_Value,
                 "the entry, its runs and the time left are required"};
  Origin.m_Runs = *Runs;
  Origin.m_Deadline = Now + std::chrono::milliseconds(*Left);
  const std::string_view LastEvent =
      http::field(Request, ForwardLastEventField);
  const auto LastEventId = http::parseNumber<std::uint64_t>(LastEvent);
  if (!LastEvent.empty() && !LastEventId)
    return Error{"forward.request", Origin.m_Entry.m_Value,
                 "the last event is no number"};
  Origin.m_LastEventId = LastEventId.value_or(0);
  for (const auto &[Name, Value] : Request)
    if (http::isSameName(Name, ForwardVersionField))
      Origin.m_RequiredVersion = Value;
  Origin.m_Service = http::field(Request, ForwardServiceField);
  return Origin;
}

http::Fields answerForwardFields(const http::Fields &Target,
                                 const StreamOrigin &Origin) {
  http::Fields Fields = withoutForwardFields(Target);
  add(Fields, ForwardResultField, std::string(AnswerResult));
  add(Fields, ForwardVersionField, Origin.m_Version);
  if (Origin.m_Withdrawals > 0)
    add(Fields, ForwardWithdrawalsField, std::to_string(Origin.m_Withdrawals));
  return Fields;
}

void replyForwardRejection(http::Exchange &Caller, const Rejection &Value) {
  http::Fields Fields;
  add(Fields, ForwardResultField, std::string(outcomeName(Value.m_Outcome)));
  add(Fields, ForwardReasonField,
      std::to_string(static_cast<std::uint32_t>(Value.m_Reason)));
  const auto RetryAfter =
      std::chrono::ceil<std::chrono::milliseconds>(Value.m_RetryAfter);
  if (RetryAfter.count() > 0)
    add(Fields, ForwardRetryField, std::to_string(RetryAfter.count()));
  Caller.relay(promisedStatus(Value), Fields, printRejection(Value));
}

std::variant<ForwardedAnswer, Rejection, Error>
readForwardAnswer(const http::Fields &Answer, const std::string &Peer) {
  const std::string_view ResultName = http::field(Answer, ForwardResultField);
  if (ResultName == AnswerResult)
    return ForwardedAnswer{
        withoutForwardFields(Answer),
        {std::string(http::field(Answer, ForwardVersionField)),
         http::parseNumber<std::uint32_t>(
             http::field(Answer, ForwardWithdrawalsField))
             .value_or(0)}};
  const auto Reason =
      http::parseNumber<std::uint32_t>(http::field(Answer, ForwardReasonField));
  Rejection Refused;
  Refused.m_Step = "forward";
  Refused.m_Peer = Peer;
  Refused.m_Reason =
      refusalFromNumber(Reason.value_or(0), Refusal::TargetFailed);
  // A wait that can't be read is none.
  Refused.m_RetryAfter = std::chrono::milliseconds(
      http::parseNumber<std::uint32_t>(http::field(Answer, ForwardRetryField))
          .value_or(0));
  if (ResultName == outcomeName(Outcome::NotRun))
    Refused.m_Outcome = Outcome::NotRun;
  else if (ResultName == outcomeName(Outcome::Unknown))
    Refused.m_Outcome = Outcome::Unknown;
  else
    return Error{"forward.answer", Peer, "the answer is that of no entry"};
  return Refused;
}

void ForwardPeers::takeGrant(const wire::ControlGrant &Grant, TimePoint Now) {
  if (Grant.forward_peers_revision() == 0)
    return;
  m_ExpiresAt = Now + PeersKept;
  if (Grant.forward_peers_revision() == m_Revision)
    return;
  m_Revision = Grant.forward_peers_revision();
  std::vector<Peer> Named;
  for (const wire::ForwardPeer &Row : Grant.forward_peers()) {
    const auto Address = http::parseAddress(Row.address());
    if (failed(Address) || Named.size() == MaxPeers)
      continue;
    Peer Next{{Row.entry()}, valueOf(Address), {}};
    for (const Peer &Former : m_Peers)
      if (Former.m_Entry == Next.m_Entry)
        Next.m_AvoidUntil = Former.m_AvoidUntil;
    Named.push_back(std::move(Next));
  }
  m_Peers = std::move(Named);
}

bool ForwardPeers::has(const std::vector<NodeId> &Used, TimePoint Now) const {
  return Now < m_ExpiresAt &&
         std::any_of(m_Peers.begin(), m_Peers.end(), [&](const Peer &Known) {
           return !isAmong(Used, Known.m_Entry);
         });
}

std::optional<ForwardPeers::Peer>
ForwardPeers::choose(const std::vector<NodeId> &Used, TimePoint Now,
                     Random &Rng) const {
  std::vector<const Peer *> Reachable;
  std::vector<const Peer *> Others;
  if (Now < m_ExpiresAt)
    for (const Peer &Known : m_Peers)
      if (!isAmong(Used, Known.m_Entry))
        (Known.m_AvoidUntil <= Now ? Reachable : Others).push_back(&Known);
  const auto &Candidates = Reachable.empty() ? Others : Reachable;
  if (Candidates.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Index(0, Candidates.size() - 1);
  return *Candidates[Index(Rng)];
}

void ForwardPeers::recordUnreachable(const NodeId &Entry, TimePoint Now) {
  for (Peer &Known : m_Peers)
    if (Known.m_Entry == Entry)
      Known.m_AvoidUntil = Now + UnreachableAvoided;
}

} // namespace wasabivale::entry
