#include "Shares.h"

#include <algorithm>

namespace wasabivale::control {

namespace {

using fleet::Json;

double limitIn(const Json &Caller, const char *Name) {
  const auto Found = Caller.find(Name);
  return Found != Caller.end() && Found->is_number() ? Found->get<double>()
                                                     : limits::NoLimit;
}

void count(DemandMeter &On, const wire::ShareUse &Use) {
  limits::Demand &Sum = On.m_Counted;
  Sum.m_RequestsPerSecond += static_cast<double>(Use.wanted_requests());
  Sum.m_PromptTokensPerSecond +=
      static_cast<double>(Use.wanted_prompt_tokens());
  Sum.m_OutputTokensPerSecond +=
      static_cast<double>(Use.wanted_output_tokens());
  Sum.m_Running = std::max(Sum.m_Running, static_cast<double>(Use.running()));
}

void endSpan(DemandMeter &On, TimePoint Now) {
  const Duration Span = Now - On.m_Since;
  if (Span < DemandSpan)
    return;
  const double Seconds = std::chrono::duration<double>(Span).count();
  On.m_Rate.m_RequestsPerSecond = On.m_Counted.m_RequestsPerSecond / Seconds;
  On.m_Rate.m_PromptTokensPerSecond =
      On.m_Counted.m_PromptTokensPerSecond / Seconds;
  On.m_Rate.m_OutputTokensPerSecond =
      On.m_Counted.m_OutputTokensPerSecond / Seconds;
  On.m_Rate.m_Running = On.m_Counted.m_Running;
  On.m_Counted = {};
  On.m_Since = Now;
}

/// A caller that the entry did not mention wanted nothing.
void forgetUnmentioned(ShareHolder &On, const wire::EntryReport &Report) {
  std::erase_if(On.m_Demand, [&](const auto &One) {
    return std::none_of(Report.shares().begin(), Report.shares().end(),
                        [&](const wire::ShareUse &Use) {
                          return Use.caller() == One.first.m_Value;
                        });
  });
}

/// The entry as a holder. One that is new among others waits until their
/// shares with the former floor have run out.
ShareHolder &holderOf(Shares &On, const NodeId &Entry, TimePoint Now,
                      Duration LongestLease) {
  const auto [Found, Added] = On.m_Holders.try_emplace(Entry);
  if (Added && On.m_Holders.size() > 1)
    Found->second.m_GrantsFrom = Now + LongestLease;
  On.m_Table.m_Entries = On.m_Holders.size();
  return Found->second;
}

limits::Demand measure(ShareHolder &On, const CallerId &Caller,
                       const wire::ShareUse &Use, TimePoint Now) {
  const auto [Found, Added] = On.m_Demand.try_emplace(Caller);
  DemandMeter &Meter = Found->second;
  if (Added)
    Meter.m_Since = Now - FirstDemandSpan;
  count(Meter, Use);
  endSpan(Meter, Now);
  return Meter.m_Rate;
}

void write(wire::Share &To, const CallerId &Caller,
           const limits::Limits &From) {
  To.set_caller(Caller.m_Value);
  To.set_requests_per_second(From.m_RequestsPerSecond);
  To.set_prompt_tokens_per_second(From.m_PromptTokensPerSecond);
  To.set_output_tokens_per_second(From.m_OutputTokensPerSecond);
  To.set_running(From.m_Running);
}

} // namespace

std::unordered_map<CallerId, limits::Limits>
limitsIn(std::string_view Document) {
  std::unordered_map<CallerId, limits::Limits> Out;
  const Json Read = Json::parse(Document, nullptr, false);
  if (!Read.is_object() || !Read.contains("callers"))
    return Out;
  for (const Json &Each : Read["callers"])
    Out[{Each.value("id", "")}] = {limitIn(Each, "requests_per_second"),
                                   limitIn(Each, "prompt_tokens_per_second"),
                                   limitIn(Each, "output_tokens_per_second"),
                                   limitIn(Each, "concurrent")};
  return Out;
}

void startTerm(Shares &On, TimePoint Now, Duration LongestLease) {
  On = {};
  On.m_GrantsFrom = Now + LongestLease;
}

void adoptLimits(Shares &On, const fleet::Configuration &Accepted) {
  if (On.m_LimitsRevision == Accepted.m_Revision)
    return;
  On.m_Limits = limitsIn(fleet::currentDocument(Accepted));
  On.m_LimitsRevision = Accepted.m_Revision;
}

void keepEntries(Shares &On, const fleet::ObservedState &Heard) {
  std::erase_if(On.m_Holders, [&](const auto &One) {
    return !Heard.m_Entries.contains(One.first);
  });
}

void grantShares(Shares &On, const NodeId &Entry,
                 const wire::EntryReport &Report, TimePoint Now,
                 TimePoint Until, Duration LongestLease,
                 wire::ControlGrant &Grant) {
  ShareHolder &Holder = holderOf(On, Entry, Now, LongestLease);
  Grant.set_entries(static_cast<std::uint32_t>(On.m_Table.m_Entries));
  forgetUnmentioned(Holder, Report);
  for (const wire::ShareUse &Use : Report.shares()) {
    const CallerId Caller{Use.caller()};
    const auto Limit = On.m_Limits.find(Caller);
    if (Limit == On.m_Limits.end())
      continue;
    const limits::Demand Wanted = measure(Holder, Caller, Use, Now);
    if (Now < On.m_GrantsFrom || Now < Holder.m_GrantsFrom)
      continue;
    write(*Grant.add_shares(), Caller,
          limits::renewShare(On.m_Table, Caller, Limit->second, Entry, Wanted,
                             Until, Now));
  }
}

} // namespace wasabivale::control
