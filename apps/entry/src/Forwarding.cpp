#include "Forwarding.h"

#include <algorithm>
#include <charconv>

namespace wasabivale::entry {

namespace {

constexpr std::string_view ForwardPrefix = "Wasabivale-Forward-";
constexpr std::string_view AnswerResult = "answer";
/// Most entries that are kept, whatever control names.
constexpr std::size_t MaxPeers = 16;
/// Without control the entries that take requests are those of this long ago.
constexpr std::chrono::seconds PeersKept{60};
constexpr std::chrono::milliseconds UnreachableAvoided{1'000};

template <typename Number>
std::optional<Number> readNumber(std::string_view Text) {
  Number Value{};
  const auto Read =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Text.empty() || Read.ec != std::errc() ||
      Read.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

http::Fields withoutForwardFields(const http::Fields &From) {
  http::Fields Kept;
  for (const auto &[Name, Value] : From)
    if (!http::isHopByHop(Name) && !isForwardField(Name))
      Kept.emplace_back(Name, Value);
  return Kept;
}

void add(http::Fields &To, std::string_view Name, std::string Value) {
  To.emplace_back(std::string(Name), std::move(Value));
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
  http::Fields Made = withoutForwardFields(Caller);
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max<Duration>(Origin.m_Deadline - Now, Duration(0)));
  add(Made, ForwardEntryField, Origin.m_Entry.m_Value);
  add(Made, ForwardRunsField, std::to_string(Origin.m_Runs));
  add(Made, ForwardLeftField, std::to_string(Left.count()));
  if (Origin.m_LastEventId > 0)
    add(Made, ForwardLastEventField, std::to_string(Origin.m_LastEventId));
  if (Origin.m_RequiredVersion)
    add(Made, ForwardVersionField, *Origin.m_RequiredVersion);
  return Made;
}

Result<ForwardOrigin> readForwardOrigin(const http::Fields &Request,
                                        TimePoint Now) {
  ForwardOrigin Made;
  Made.m_Entry = {std::string(http::field(Request, ForwardEntryField))};
  const auto Runs =
      readNumber<std::uint32_t>(http::field(Request, ForwardRunsField));
  const auto Left =
      readNumber<std::uint32_t>(http::field(Request, ForwardLeftField));
  if (Made.m_Entry.empty() || !Runs || !Left)
    return Error{"forward.request", Made.m_Entry.m_Value,
                 "the entry, its runs and the time left are required"};
  Made.m_Runs = *Runs;
  Made.m_Deadline = Now + std::chrono::milliseconds(*Left);
  const std::string_view LastEvent =
      http::field(Request, ForwardLastEventField);
  const auto LastEventId = readNumber<std::uint64_t>(LastEvent);
  if (!LastEvent.empty() && !LastEventId)
    return Error{"forward.request", Made.m_Entry.m_Value,
                 "the last event is no number"};
  Made.m_LastEventId = LastEventId.value_or(0);
  for (const auto &[Name, Value] : Request)
    if (http::isSameName(Name, ForwardVersionField))
      Made.m_RequiredVersion = Value;
  return Made;
}

http::Fields answerForwardFields(const http::Fields &Target,
                                 const std::string &Version) {
  http::Fields Made = withoutForwardFields(Target);
  add(Made, ForwardResultField, std::string(AnswerResult));
  add(Made, ForwardVersionField, Version);
  return Made;
}

void replyForwardRejection(http::Exchange &To, const Rejection &Value) {
  http::Fields With;
  add(With, ForwardResultField, std::string(outcomeName(Value.m_Outcome)));
  add(With, ForwardReasonField,
      std::to_string(static_cast<std::uint32_t>(Value.m_Reason)));
  const auto RetryAfter =
      std::chrono::ceil<std::chrono::milliseconds>(Value.m_RetryAfter);
  if (RetryAfter.count() > 0)
    add(With, ForwardRetryField, std::to_string(RetryAfter.count()));
  To.relay(promisedStatus(Value), With, printRejection(Value));
}

std::variant<ForwardedAnswer, Rejection, Error>
readForwardAnswer(const http::Fields &Answer, const std::string &Peer) {
  const std::string_view Told = http::field(Answer, ForwardResultField);
  if (Told == AnswerResult)
    return ForwardedAnswer{
        withoutForwardFields(Answer),
        std::string(http::field(Answer, ForwardVersionField))};
  const auto Reason =
      readNumber<std::uint32_t>(http::field(Answer, ForwardReasonField));
  Rejection Made;
  Made.m_Step = "forward";
  Made.m_Peer = Peer;
  Made.m_Reason = refusalFromNumber(Reason.value_or(0), Refusal::TargetFailed);
  // A wait that can't be read is none.
  Made.m_RetryAfter = std::chrono::milliseconds(
      readNumber<std::uint32_t>(http::field(Answer, ForwardRetryField))
          .value_or(0));
  if (Told == outcomeName(Outcome::NotRun))
    Made.m_Outcome = Outcome::NotRun;
  else if (Told == outcomeName(Outcome::Unknown))
    Made.m_Outcome = Outcome::Unknown;
  else
    return Error{"forward.answer", Peer, "the answer is that of no entry"};
  return Made;
}

void ForwardPeers::takeGrant(const wire::ControlGrant &Grant, TimePoint Now) {
  if (Grant.forward_peers_revision() == 0)
    return;
  m_ExpiresAt = Now + PeersKept;
  if (Grant.forward_peers_revision() == m_Revision)
    return;
  m_Revision = Grant.forward_peers_revision();
  std::vector<Peer> Named;
  for (const wire::ForwardPeer &Each : Grant.forward_peers()) {
    const auto Address = http::parseAddress(Each.address());
    if (failed(Address) || Named.size() == MaxPeers)
      continue;
    Peer Made{{Each.entry()}, valueOf(Address), {}};
    for (const Peer &Former : m_Peers)
      if (Former.m_Entry == Made.m_Entry)
        Made.m_AvoidUntil = Former.m_AvoidUntil;
    Named.push_back(std::move(Made));
  }
  m_Peers = std::move(Named);
}

bool ForwardPeers::has(const std::vector<NodeId> &Used, TimePoint Now) const {
  return Now < m_ExpiresAt &&
         std::any_of(m_Peers.begin(), m_Peers.end(), [&](const Peer &Each) {
           return !isAmong(Used, Each.m_Entry);
         });
}

std::optional<ForwardPeers::Peer>
ForwardPeers::choose(const std::vector<NodeId> &Used, TimePoint Now,
                     Random &Rng) const {
  std::vector<const Peer *> Reachable;
  std::vector<const Peer *> Others;
  if (Now < m_ExpiresAt)
    for (const Peer &Each : m_Peers)
      if (!isAmong(Used, Each.m_Entry))
        (Each.m_AvoidUntil <= Now ? Reachable : Others).push_back(&Each);
  const auto &From = Reachable.empty() ? Others : Reachable;
  if (From.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Index(0, From.size() - 1);
  return *From[Index(Rng)];
}

void ForwardPeers::recordUnreachable(const NodeId &Entry, TimePoint Now) {
  for (Peer &Each : m_Peers)
    if (Each.m_Entry == Entry)
      Each.m_AvoidUntil = Now + UnreachableAvoided;
}

} // namespace wasabivale::entry
