#include "Model.h"

#include <fmt/format.h>

namespace wasabivale::capacity {

namespace {

constexpr double Percent = 100;
constexpr double Megabyte = 1e6;
constexpr double Gigabyte = 1e9;
constexpr double Kilobyte = 1e3;
constexpr double SecondsInDay = 86400;

double inSeconds(std::chrono::milliseconds Value) {
  return std::chrono::duration<double>(Value).count();
}

Row row(std::string Role, std::string What, std::string Arithmetic,
        double Value, std::string Unit, double Limit, std::string Mechanism,
        Verdict Known = Verdict::Calculated) {
  return {std::move(Role), std::move(What), std::move(Arithmetic), Value,
          std::move(Unit), Limit,           std::move(Mechanism),  Known};
}

void addEntryRows(std::vector<Row> &To, const Deployment &Size,
                  const Design &By, const Slopes &Measured, const Figures &Of) {
  To.push_back(
      row("entry", "targets held in full",
          fmt::format("{:.0f} runners / {:.0f} zones", Size.m_Runners,
                      Size.m_Zones),
          Of.m_TargetsPerZone, "targets", 0,
          "an entry sees its own zone in full and other zones as one sum each; "
          "today it holds every target",
          Verdict::NotBuilt));
  To.push_back(row(
      "entry", "control bytes, both ways",
      fmt::format("{:.2f}/s x ({:.0f} B report + {:.0f} B grant) + {:.0f} B "
                  "digest / {:.0f} s + {:.0f} B/s heartbeats + {:.0f} B/s "
                  "configuration",
                  Of.m_ReportsPerEntry, Of.m_ReportBytes, Of.m_GrantBytes,
                  Of.m_DigestBytes, inSeconds(By.m_ZoneDigestInterval),
                  Of.m_HeartbeatBytesPerEntry, Of.m_ConfigurationBytes),
      Of.m_EntryControlBytes / Kilobyte, "KB/s",
      Size.m_NodeBytesPerSecond / Kilobyte,
      "reports each 2 s and a zone's loads as one digest; today each 0.5 s "
      "and no digest",
      Verdict::NotBuilt));
  To.push_back(
      row("entry", "control processor time",
          fmt::format("{:.2f}/s x report + {:.2f}/s x heartbeat + digest of "
                      "{:.0f} targets",
                      Of.m_ReportsPerEntry,
                      Of.m_TargetsPerEntry / inSeconds(By.m_HeartbeatInterval),
                      Of.m_TargetsPerZone),
          Of.m_EntryControlCoreShare * Percent, "% of a core",
          Size.m_NodeCoreShare * Percent,
          "protobuf on one loop; each entry parses the heartbeats of its own "
          "few runners"));
  To.push_back(row(
      "entry", "memory for fleet and callers",
      fmt::format(
          "{:.0f} targets x {:.0f} B + {:.0f} callers x {:.0f} B",
          Of.m_TargetsPerZone, slopeOf(Measured, slope::TargetMemory).m_PerUnit,
          Size.m_Callers, slopeOf(Measured, slope::CallerMemory).m_PerUnit),
      Of.m_EntryControlMemory / Megabyte, "MB", Size.m_NodeMegabytes,
      "plain structs, no index of every cached block"));
  To.push_back(row(
      "entry", "data path processor time",
      fmt::format("{:.1f} requests/s x {:.0f} us + {:.0f} tokens/s x {:.1f} us",
                  Size.m_RequestsPerSecond / Size.m_Nodes,
                  slopeOf(Measured, slope::RequestCpu).m_PerUnit / Kilobyte,
                  Size.m_TokensPerSecond / Size.m_Nodes,
                  slopeOf(Measured, slope::TokenCpu).m_PerUnit / Kilobyte),
      Of.m_EntryRequestCoreShare * Percent, "% of a core", Percent,
      "one loop on one thread; several entries on a VM beyond one core"));
}

void addControlRows(std::vector<Row> &To, const Deployment &Size,
                    const Design &By, const Slopes &Measured,
                    const Figures &Of) {
  To.push_back(
      row("control leader (all entries report to it)", "bytes, both ways",
          fmt::format("{:.0f} entries x {:.2f}/s x ({:.0f} + {:.0f}) B",
                      Size.m_Nodes, Of.m_ReportsPerEntry, Of.m_ReportBytes,
                      Of.m_GrantBytes),
          Of.m_StarLeaderBytes / Kilobyte, "KB/s", 0,
          "as built: a star around the leader"));
  To.push_back(row("control leader (all entries report to it)",
                   "processor time",
                   fmt::format("{:.0f} entries x {:.2f}/s x report and grant",
                               Size.m_Nodes, Of.m_ReportsPerEntry),
                   Of.m_StarLeaderCoreShare * Percent, "% of a core", Percent,
                   "as built: a star around the leader"));
  To.push_back(row(
      "control member as a zone's relay", "bytes, both ways",
      fmt::format("{:.0f} entries x ({:.2f}/s x ({:.0f} + {:.0f}) B + {:.0f} B "
                  "/ {:.0f} s)",
                  Of.m_EntriesPerZone, Of.m_ReportsPerEntry, Of.m_ReportBytes,
                  Of.m_GrantBytes, Of.m_DigestBytes,
                  inSeconds(By.m_ZoneDigestInterval)),
      Of.m_RelayBytes / Kilobyte, "KB/s", 0,
      "one control VM a zone takes its entries' reports and sends the digest",
      Verdict::NotBuilt));
  To.push_back(row("control member as a zone's relay", "processor time",
                   "the leader's share divided by the zones",
                   Of.m_RelayCoreShare * Percent, "% of a core", Percent,
                   "as above", Verdict::NotBuilt));
  To.push_back(row(
      "control leader", "dividing shares",
      fmt::format("{:.0f} callers x division among {:.0f} entries, a second",
                  Size.m_Callers, Size.m_Nodes),
      Size.m_Callers *
          costAt(slopeOf(Measured, slope::DivideCpu), Size.m_Nodes) / Gigabyte *
          Percent,
      "% of a core", Percent, "limits::divideShares, once a second"));
  To.push_back(
      row("control leader", "planning roles",
          fmt::format("{:.0f} models x step over {:.0f} engines, each 5 s",
                      Size.m_Models, Size.m_Runners / Size.m_Models),
          Size.m_Models *
              costAt(slopeOf(Measured, slope::PlannerCpu),
                     Size.m_Runners / Size.m_Models) /
              Gigabyte / 5 * Percent,
          "% of a core", Percent, "roles::step by pools of engines"));
  To.push_back(row("ledger", "commits",
                   fmt::format("2 x {:.0f} requests/s x {:.0f}% not repeatable",
                               Size.m_RequestsPerSecond,
                               By.m_NotRepeatableShare * Percent),
                   Of.m_LedgerCommits, "commits/s", Of.m_CommitsPossible,
                   "one fsync for all proposals of a turn of the loop"));
  To.push_back(row(
      "ledger", "memory",
      fmt::format("{:.3g} keys x {:.0f} B", Of.m_LedgerKeys,
                  slopeOf(Measured, slope::LedgerKeyMemory).m_PerUnit),
      Of.m_LedgerBytes / Megabyte, "MB", Size.m_NodeMegabytes,
      "keys are sharded by hash; beyond the limit: more groups, see below",
      Of.m_LedgerBytes / Megabyte <= Size.m_NodeMegabytes ? Verdict::Calculated
                                                          : Verdict::NotBuilt));
}

} // namespace

/// What is over its limit cannot be called carried.
static void judge(std::vector<Row> &Rows) {
  for (Row &One : Rows)
    if (One.m_Limit > 0 && One.m_Value > One.m_Limit)
      One.m_Verdict = Verdict::NotBuilt;
}

std::string_view verdictName(Verdict Value) {
  switch (Value) {
  case Verdict::Measured:
    return "carried, measured";
  case Verdict::Calculated:
    return "carried by calculation";
  case Verdict::NotBuilt:
    return "not yet built";
  }
  return "not yet built";
}

Result<std::vector<Row>> roleRows(const Deployment &Size, const Design &By,
                                  const Slopes &Measured) {
  const auto Computed = computeFigures(Size, By, Measured);
  if (failed(Computed))
    return errorOf(Computed);
  std::vector<Row> Rows;
  addEntryRows(Rows, Size, By, Measured, valueOf(Computed));
  addControlRows(Rows, Size, By, Measured, valueOf(Computed));
  judge(Rows);
  return Rows;
}

std::string printRows(const std::vector<Row> &Rows) {
  std::string Text = "| Role or demand | What | Arithmetic | Figure | Limit | "
                     "Mechanism | Verdict |\n|---|---|---|---|---|---|---|\n";
  for (const Row &One : Rows)
    Text +=
        fmt::format("| {} | {} | {} | {:.4g} {} | {} | {} | {} |\n", One.m_Role,
                    One.m_What, One.m_Arithmetic, One.m_Value, One.m_Unit,
                    One.m_Limit > 0 ? fmt::format("{:.4g}", One.m_Limit) : "-",
                    One.m_Mechanism, verdictName(One.m_Verdict));
  return Text;
}

Result<std::vector<Row>> demandRows(const Deployment &Size, const Design &By,
                                    const Slopes &Measured) {
  const auto Computed = computeFigures(Size, By, Measured);
  if (failed(Computed))
    return errorOf(Computed);
  const Figures &Of = valueOf(Computed);
  std::vector<Row> Rows;
  const auto Add = [&Rows](const char *What, std::string Arithmetic,
                           double Value, const char *Unit, double Limit,
                           const char *Mechanism,
                           Verdict Known = Verdict::Calculated) {
    Rows.push_back(row("demand", What, std::move(Arithmetic), Value, Unit,
                       Limit, Mechanism, Known));
  };
  Add("nodes",
      fmt::format("{:.0f} nodes / {:.0f} zones", Size.m_Nodes, Size.m_Zones),
      Of.m_EntriesPerZone, "entries a zone", 0,
      "entries hold no durable state; a control VM for each zone relays",
      Verdict::NotBuilt);
  Add("runners",
      fmt::format("{:.0f} runners / {:.0f} nodes", Size.m_Runners,
                  Size.m_Nodes),
      Of.m_TargetsPerEntry, "heartbeats/s an entry", 0,
      "a target reports to one entry, any other takes over when it is lost");
  Add("accelerators",
      fmt::format("{:.0f} / {:.0f} runners", Size.m_Accelerators,
                  Size.m_Runners),
      Size.m_Accelerators / Size.m_Runners, "a runner", 0,
      "the system sees runners only");
  Add("requests a second",
      fmt::format(
          "{:.0f} / {:.0f} entries, with choosing among {:.0f} targets "
          "at {:.1f} us",
          Size.m_RequestsPerSecond, Size.m_Nodes, Of.m_TargetsPerZone,
          costAt(slopeOf(Measured, slope::ChooseCpu), Of.m_TargetsPerZone) /
              Kilobyte),
      Size.m_RequestsPerSecond / Size.m_Nodes, "requests/s an entry", 0,
      "no state is shared on the path of a request that may be repeated");
  Add("tokens a second",
      fmt::format("{:.0f} / {:.0f} entries", Size.m_TokensPerSecond,
                  Size.m_Nodes),
      Of.m_EntryRequestCoreShare * Percent, "% of a core an entry", Percent,
      "one write for each piece an engine sends");
  Add("first token", "processor time of a request at an entry",
      (slopeOf(Measured, slope::RequestCpu).m_PerUnit +
       costAt(slopeOf(Measured, slope::ChooseCpu), Of.m_TargetsPerZone)) /
          Megabyte,
      "ms of the system's own", static_cast<double>(Size.m_FirstToken.count()),
      "admission by estimated finish; queue wait counts");
  Add("between tokens", "processor time of a token at an entry",
      slopeOf(Measured, slope::TokenCpu).m_PerUnit / Megabyte,
      "ms of the system's own",
      static_cast<double>(Size.m_BetweenTokens.count()),
      "pieces are passed on as they come");
  Add("prefill share",
      fmt::format("{:.2g} of the work of {:.0f} runners", Size.m_PrefillShare,
                  Size.m_Runners),
      Size.m_PrefillShare * Size.m_Runners, "runners' worth of prefill", 0,
      "mixed engines with chunked prefill, or engines by role");
  Add("prefill share moves",
      fmt::format("{:.2g} of {:.0f} runners in a day", Size.m_PrefillShareMoves,
                  Size.m_Runners),
      Size.m_PrefillShareMoves * Size.m_Runners / 24 / Size.m_Models,
      "role changes/h a model at most", 0,
      "role planner within a standing policy; mixed engines take up most");
  Add("KV of prompts",
      fmt::format("{:.0f} GB/s / {:.0f} MB a block of 1,024 tokens",
                  Size.m_KvGigabytesPerSecond, By.m_KvMegabytesPerBlock),
      Of.m_CacheEvents / Size.m_Nodes, "cache events/s an entry", 0,
      "KV goes engine to engine by ticket, never through a node; events go to "
      "one entry only, and affinity is by rendezvous hash");
  Add("callers",
      fmt::format("{:.0f} callers x {:.0f} B", Size.m_Callers,
                  slopeOf(Measured, slope::CallerMemory).m_PerUnit),
      Size.m_Callers * slopeOf(Measured, slope::CallerMemory).m_PerUnit /
          Megabyte,
      "MB an entry", Size.m_NodeMegabytes,
      "shares are leased to entries by their use");
  Add("models",
      fmt::format("{:.0f} runners / {:.0f}", Size.m_Runners, Size.m_Models),
      Size.m_Runners / Size.m_Models, "runners a model", 0,
      "the planner steps over a model's engines");
  Add("regions and zones",
      fmt::format("{:.0f} regions, {:.0f} zones, {:.0f} control VMs",
                  Size.m_Regions, Size.m_Zones, Size.m_ControlVms),
      Size.m_ControlVms, "control VMs", Size.m_ControlVms,
      "five voters in 2 + 2 + 1 over the regions, each in its own zone, two "
      "learners in the zones left",
      Verdict::NotBuilt);
  Add("configuration in force",
      fmt::format("commit {:.0f} ms + push {:.0f} us x {:.0f} + lease {:.1f} s",
                  static_cast<double>(By.m_CrossRegionRoundTrip.count()),
                  slopeOf(Measured, slope::PushCpu).m_PerUnit / Kilobyte,
                  Size.m_Nodes, inSeconds(By.m_LeaseAtSize)),
      inSeconds(By.m_CrossRegionRoundTrip) +
          costAt(slopeOf(Measured, slope::PushCpu), Size.m_Nodes) / Gigabyte +
          inSeconds(By.m_LeaseAtSize),
      "s at worst", static_cast<double>(Size.m_InForce.count()),
      "an entry that cannot be told stops starting work when its lease ends");
  Add("configuration changes",
      fmt::format("{:.0f} a day x {:.0f} B", Size.m_ConfigurationChangesPerDay,
                  By.m_ConfigurationChangeBytes),
      Of.m_ConfigurationBytes, "B/s an entry", Size.m_NodeBytesPerSecond,
      "changes are sent as differences", Verdict::NotBuilt);
  Add("core share of a node", "see the entry's row",
      Of.m_EntryControlCoreShare * Percent, "%", Size.m_NodeCoreShare * Percent,
      "as there");
  Add("memory of a node", "see the entry's row",
      Of.m_EntryControlMemory / Megabyte, "MB", Size.m_NodeMegabytes,
      "as there");
  Add("bytes a second of a node", "see the entry's row", Of.m_EntryControlBytes,
      "B/s", Size.m_NodeBytesPerSecond, "as there", Verdict::NotBuilt);
  Add("VMs that fail", fmt::format("{:.3g} a day", Size.m_VmFailuresPerDay),
      Size.m_VmFailuresPerDay / Size.m_Nodes * Percent, "% of nodes a day", 0,
      "an entry's lease runs out; its targets report elsewhere");
  Add("VMs replaced",
      fmt::format("{:.0f} a day x fleet of a zone, {:.0f} B a target",
                  Size.m_VmReplacementsPerDay,
                  slopeOf(Measured, slope::FleetBytesPerTarget).m_PerUnit),
      Size.m_VmReplacementsPerDay / SecondsInDay *
          costAt(slopeOf(Measured, slope::FleetBytesPerTarget),
                 Of.m_TargetsPerZone),
      "B/s of the leader", 0,
      "an entry that comes back asks for what it lacks");
  judge(Rows);
  return Rows;
}

Result<std::string> replaceSection(std::string_view Page, std::string_view Name,
                                   std::string_view Text) {
  const std::string Begin = fmt::format("<!-- begin {} -->\n", Name);
  const std::string End = fmt::format("<!-- end {} -->", Name);
  const std::size_t From = Page.find(Begin);
  const std::size_t To = Page.find(End);
  if (From == Page.npos || To == Page.npos || To < From)
    return Error{"capacity.replace_section", std::string(Name),
                 "the page lacks this section's markers"};
  std::string Replaced(Page.substr(0, From + Begin.size()));
  Replaced += Text;
  Replaced += Page.substr(To);
  return Replaced;
}

} // namespace wasabivale::capacity
