#include "Shares.h"

#include <algorithm>

namespace wasabivale::control {

namespace {

using fleet::Json;

double parseLimit(const Json &Caller, const char *Name) {
  const auto Found = Caller.find(Name);
  return Found != Caller.end() && Found->is_number() ? Found->get<double>()
                                                     : limits::NoLimit;
}

void count(DemandMeter &Meter, const wire::ShareUse &Use) {
  limits::Demand &Sum = Meter.m_Counted;
  Sum.m_RequestsPerSecond += static_cast<double>(Use.wanted_requests());
  Sum.m_PromptTokensPerSecond +=
      static_cast<double>(Use.wanted_prompt_tokens());
  Sum.m_OutputTokensPerSecond +=
      static_cast<double>(Use.wanted_output_tokens());
  Sum.m_Running = std::max(Sum.m_Running, static_cast<double>(Use.running()));
}

void endSpan(DemandMeter &Meter, TimePoint Now) {
  const Duration Span = Now - Meter.m_Since;
  if (Span < MinDemandSpan)
    return;
  const double Seconds = std::chrono::duration<double>(Span).count();
  Meter.m_Rate.m_RequestsPerSecond =
      Meter.m_Counted.m_RequestsPerSecond / Seconds;
  Meter.m_Rate.m_PromptTokensPerSecond =
      Meter.m_Counted.m_PromptTokensPerSecond / Seconds;
  Meter.m_Rate.m_OutputTokensPerSecond =
      Meter.m_Counted.m_OutputTokensPerSecond / Seconds;
  Meter.m_Rate.m_Running = Meter.m_Counted.m_Running;
  Meter.m_Counted = {};
  Meter.m_Since = Now;
}

/// A caller that the entry did not mention wanted nothing.
void forgetUnmentioned(ShareHolder &Holder, const wire::EntryReport &Report) {
  std::erase_if(Holder.m_Demand, [&](const auto &Demand) {
    return std::none_of(Report.shares().begin(), Report.shares().end(),
                        [&](const wire::ShareUse &Use) {
                          return Use.caller() == Demand.first.m_Value;
                        });
  });
}

/// \returns the holder of an entry. A new one among others waits until their
/// shares with the former floor have expired.
ShareHolder &holderOf(Shares &State, const NodeId &Entry, TimePoint Now,
                      Duration LongestLease) {
  const auto [Found, Added] = State.m_Holders.try_emplace(Entry);
  if (Added && State.m_Holders.size() > 1)
    Found->second.m_GrantsFrom = Now + LongestLease;
  State.m_Table.m_Entries = State.m_Holders.size();
  return Found->second;
}

limits::Demand measure(ShareHolder &Holder, const CallerId &Caller,
                       const wire::ShareUse &Use, TimePoint Now) {
  const auto [Found, Added] = Holder.m_Demand.try_emplace(Caller);
  DemandMeter &Meter = Found->second;
  if (Added)
    Meter.m_Since = Now - FirstDemandSpan;
  count(Meter, Use);
  endSpan(Meter, Now);
  return Meter.m_Rate;
}

void write(wire::Share &Message, const CallerId &Caller,
           const limits::Limits &Share) {
  Message.set_caller(Caller.m_Value);
  Message.set_requests_per_second(Share.m_RequestsPerSecond);
  Message.set_prompt_tokens_per_second(Share.m_PromptTokensPerSecond);
  Message.set_output_tokens_per_second(Share.m_OutputTokensPerSecond);
  Message.set_running(Share.m_Running);
}

} // namespace

std::unordered_map<CallerId, limits::Limits>
parseLimits(std::string_view Document) {
  std::unordered_map<CallerId, limits::Limits> Result;
  const Json Parsed = Json::parse(Document, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("callers"))
    return Result;
  for (const Json &Caller : Parsed["callers"])
    Result[{Caller.value("id", "")}] = {
        parseLimit(Caller, "requests_per_second"),
        parseLimit(Caller, "prompt_tokens_per_second"),
        parseLimit(Caller, "output_tokens_per_second"),
        parseLimit(Caller, "concurrent")};
  return Result;
}

void startTerm(Shares &State, TimePoint Now, Duration LongestLease) {
  State = {};
  State.m_GrantsFrom = Now + LongestLease;
}

void adoptLimits(Shares &State, const fleet::Configuration &Accepted) {
  if (State.m_LimitsRevision == Accepted.m_Revision)
    return;
  State.m_Limits = parseLimits(fleet::currentDocument(Accepted));
  State.m_LimitsRevision = Accepted.m_Revision;
}

void dropLostEntries(Shares &State, const fleet::ObservedState &Observed) {
  std::erase_if(State.m_Holders, [&](const auto &Holder) {
    return !Observed.m_Entries.contains(Holder.first);
  });
}

void grantShares(Shares &State, const NodeId &Entry,
                 const wire::EntryReport &Report, TimePoint Now,
                 TimePoint LeaseEnd, Duration LongestLease,
                 wire::ControlGrant &Grant) {
  ShareHolder &Holder = holderOf(State, Entry, Now, LongestLease);
  // A new leader leaves an entry the number that its predecessor told it until
  // it may know all entries.
  if (Now >= State.m_GrantsFrom || Report.target_rates_revision() == 0)
    Grant.set_entries(static_cast<std::uint32_t>(State.m_Table.m_Entries));
  forgetUnmentioned(Holder, Report);
  for (const wire::ShareUse &Use : Report.shares()) {
    const CallerId Caller{Use.caller()};
    const auto Limit = State.m_Limits.find(Caller);
    if (Limit == State.m_Limits.end())
      continue;
    const limits::Demand Demand = measure(Holder, Caller, Use, Now);
    if (Now < State.m_GrantsFrom || Now < Holder.m_GrantsFrom)
      continue;
    write(*Grant.add_shares(), Caller,
          limits::renewShare(State.m_Table, Caller, Limit->second, Entry,
                             Demand, LeaseEnd, Now));
  }
}

} // namespace wasabivale::control
