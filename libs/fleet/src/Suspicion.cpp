#include "Suspicion.h"

#include "Replies.h"

namespace wasabivale::fleet {

namespace {

std::uint64_t nanosecondsIn(TimePoint Time) {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}

TimePoint timeOf(std::uint64_t Nanoseconds) {
  return suspicionTime(logTime(Nanoseconds));
}

void write(wire::CrashName &To, const retries::CrashKey &From) {
  To.set_target(From.first.m_Value);
  To.set_incarnation(From.second);
}

retries::CrashKey read(const wire::CrashName &From) {
  return {{From.target()}, From.incarnation()};
}

void write(wire::SuspectState &To, retries::Fingerprint Print,
           const retries::Suspect &From) {
  To.set_fingerprint(Print);
  To.set_verdict(static_cast<std::uint32_t>(From.m_Verdict));
  To.set_until_ns(nanosecondsIn(From.m_ExpiresAt));
  for (const retries::CrashKey &Each : From.m_Crashes)
    write(*To.add_crashes(), Each);
  To.set_convictions(From.m_QuarantineCount);
  if (From.m_RerunEntry)
    To.set_rerun_by(From.m_RerunEntry->m_Value);
  To.set_rerun_at(From.m_RerunTarget.m_Value);
  To.set_rerun_until_ns(nanosecondsIn(From.m_RerunDeadline));
}

retries::Suspect read(const wire::SuspectState &From) {
  retries::Suspect Out;
  Out.m_Verdict = static_cast<retries::Verdict>(From.verdict());
  Out.m_ExpiresAt = timeOf(From.until_ns());
  for (const wire::CrashName &Each : From.crashes())
    Out.m_Crashes.insert(read(Each));
  Out.m_QuarantineCount = From.convictions();
  if (!From.rerun_by().empty())
    Out.m_RerunEntry = NodeId{From.rerun_by()};
  Out.m_RerunTarget = {From.rerun_at()};
  Out.m_RerunDeadline = timeOf(From.rerun_until_ns());
  return Out;
}

void write(wire::CrashState &To, const retries::CrashKey &Name,
           const retries::CrashRecord &From) {
  write(*To.mutable_name(), Name);
  To.set_at_ns(nanosecondsIn(From.m_ReportedAt));
  for (const retries::Fingerprint Each : From.m_Running)
    To.add_running(Each);
  To.set_has_culprit(From.m_Culprit.has_value());
  To.set_culprit(From.m_Culprit.value_or(0));
}

retries::CrashRecord read(const wire::CrashState &From) {
  retries::CrashRecord Out;
  Out.m_ReportedAt = timeOf(From.at_ns());
  Out.m_Running.insert(From.running().begin(), From.running().end());
  if (From.has_culprit())
    Out.m_Culprit = From.culprit();
  return Out;
}

} // namespace

Reply takeCrash(State &On, const wire::CrashReport &Seen) {
  if (Seen.target().empty() || Seen.fingerprints().empty())
    return refuse(Refusal::InvalidField, "a crash without target or runs");
  retries::Crash Report;
  Report.m_Target = {Seen.target()};
  Report.m_Incarnation = Seen.incarnation();
  Report.m_Running.assign(Seen.fingerprints().begin(),
                          Seen.fingerprints().end());
  retries::applyCrash(On.m_Suspicion, Report, suspicionTime(On.m_Now));
  return accept();
}

Reply takeRerun(State &On, const wire::RerunReport &Asked) {
  const NodeId Entry{Asked.entry()};
  const TimePoint Now = suspicionTime(On.m_Now);
  if (Asked.state() == "wanted") {
    retries::permitRerun(On.m_Suspicion, Asked.fingerprint(), Entry,
                         {Asked.target()}, Now);
    return accept();
  }
  if (Asked.state() != "completed" && Asked.state() != "failed")
    return refuse(Refusal::InvalidField, "unknown state " + Asked.state());
  retries::endRerun(On.m_Suspicion, Asked.fingerprint(), Entry,
                    Asked.state() == "completed", Now);
  return accept();
}

void write(wire::SuspicionState &To, const retries::SuspectTable &From) {
  To.set_revision(From.m_Revision);
  for (const auto &[Print, Each] : From.m_Suspects)
    write(*To.add_suspects(), Print, Each);
  for (const auto &[Name, Each] : From.m_Crashes)
    write(*To.add_crashes(), Name, Each);
}

void read(retries::SuspectTable &To, const wire::SuspicionState &From) {
  To.m_Revision = From.revision();
  for (const wire::SuspectState &Each : From.suspects())
    To.m_Suspects[Each.fingerprint()] = read(Each);
  for (const wire::CrashState &Each : From.crashes())
    To.m_Crashes[read(Each.name())] = read(Each);
}

} // namespace wasabivale::fleet
