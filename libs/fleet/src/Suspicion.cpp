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

void write(wire::CrashName &Message, const retries::CrashKey &Crash) {
  Message.set_target(Crash.first.m_Value);
  Message.set_incarnation(Crash.second);
}

retries::CrashKey read(const wire::CrashName &Message) {
  return {{Message.target()}, Message.incarnation()};
}

void write(wire::SuspectState &Message, retries::Fingerprint Fingerprint,
           const retries::Suspect &Suspect) {
  Message.set_fingerprint(Fingerprint);
  Message.set_verdict(static_cast<std::uint32_t>(Suspect.m_Verdict));
  Message.set_until_ns(nanosecondsIn(Suspect.m_ExpiresAt));
  for (const retries::CrashKey &Crash : Suspect.m_Crashes)
    write(*Message.add_crashes(), Crash);
  Message.set_convictions(Suspect.m_QuarantineCount);
  if (Suspect.m_RerunEntry)
    Message.set_rerun_by(Suspect.m_RerunEntry->m_Value);
  Message.set_rerun_at(Suspect.m_RerunTarget.m_Value);
  Message.set_rerun_until_ns(nanosecondsIn(Suspect.m_RerunDeadline));
}

retries::Suspect read(const wire::SuspectState &Message) {
  retries::Suspect Result;
  Result.m_Verdict = static_cast<retries::Verdict>(Message.verdict());
  Result.m_ExpiresAt = timeOf(Message.until_ns());
  for (const wire::CrashName &Item : Message.crashes())
    Result.m_Crashes.insert(read(Item));
  Result.m_QuarantineCount = Message.convictions();
  if (!Message.rerun_by().empty())
    Result.m_RerunEntry = NodeId{Message.rerun_by()};
  Result.m_RerunTarget = {Message.rerun_at()};
  Result.m_RerunDeadline = timeOf(Message.rerun_until_ns());
  return Result;
}

void write(wire::CrashState &Message, const retries::CrashKey &Name,
           const retries::CrashRecord &Crash) {
  write(*Message.mutable_name(), Name);
  Message.set_at_ns(nanosecondsIn(Crash.m_ReportedAt));
  for (const retries::Fingerprint Fingerprint : Crash.m_Running)
    Message.add_running(Fingerprint);
  Message.set_has_culprit(Crash.m_Culprit.has_value());
  Message.set_culprit(Crash.m_Culprit.value_or(0));
}

retries::CrashRecord read(const wire::CrashState &Message) {
  retries::CrashRecord Result;
  Result.m_ReportedAt = timeOf(Message.at_ns());
  Result.m_Running.insert(Message.running().begin(), Message.running().end());
  if (Message.has_culprit())
    Result.m_Culprit = Message.culprit();
  return Result;
}

template <typename Values>
void assign(google::protobuf::RepeatedField<std::uint64_t> &Field,
            const Values &Source) {
  Field.Assign(Source.begin(), Source.end());
}

} // namespace

retries::TraitCrash readTraitCrash(const wire::TraitCrash &Message) {
  retries::TraitCrash Result{{Message.target()}, Message.incarnation(), {}};
  for (const wire::RequestTraits &Request : Message.waiting()) {
    retries::RequestTraits &Traits = Result.m_Waiting.emplace_back();
    Traits.m_Content = Request.content();
    Traits.m_Parts.assign(Request.parts().begin(), Request.parts().end());
    Traits.m_SentAgain = Request.sent_again();
    Traits.m_Route = Request.route();
    if (Request.has_waited_ns())
      Traits.m_Waited = std::chrono::nanoseconds(Request.waited_ns());
  }
  for (const wire::BegunRun &Run : Message.begun())
    Result.m_Begun.push_back({Run.content(), Run.route(), Run.events(),
                              Run.offset(),
                              std::chrono::nanoseconds(Run.ran_ns())});
  return Result;
}

Reply handleCrashReport(State &Fleet, const wire::CrashReport &Report) {
  if (Report.target().empty() || Report.fingerprints().empty())
    return refuse(Refusal::InvalidField, "a crash without target or runs");
  retries::Crash Crash;
  Crash.m_Target = {Report.target()};
  Crash.m_Incarnation = Report.incarnation();
  Crash.m_Running.assign(Report.fingerprints().begin(),
                         Report.fingerprints().end());
  retries::applyCrash(Fleet.m_Suspicion, Crash, suspicionTime(Fleet.m_Now));
  return accept();
}

Reply handleRerunReport(State &Fleet, const wire::RerunReport &Report) {
  const NodeId Entry{Report.entry()};
  const TimePoint Now = suspicionTime(Fleet.m_Now);
  if (Report.state() == "wanted") {
    retries::permitRerun(Fleet.m_Suspicion, Report.fingerprint(), Entry,
                         {Report.target()}, Now);
    return accept();
  }
  if (Report.state() != "completed" && Report.state() != "failed")
    return refuse(Refusal::InvalidField, "unknown state " + Report.state());
  retries::endRerun(Fleet.m_Suspicion, Report.fingerprint(), Entry,
                    Report.state() == "completed", Now);
  return accept();
}

Reply handleTraitReport(State &Fleet, const wire::TraitReport &Report) {
  const TimePoint Now = suspicionTime(Fleet.m_Now);
  for (const wire::TraitCrash &Crash : Report.crashes())
    retries::applyTraitCrash(Fleet.m_Traits, readTraitCrash(Crash), Now);
  for (const retries::Trait Value : Report.sound())
    retries::applySoundTrait(Fleet.m_Traits, Value, Now);
  return accept();
}

void write(wire::TraitsState &Message, const retries::TraitTable &Traits) {
  Message.set_revision(Traits.m_Revision);
  for (const auto &[Value, Evidence] : Traits.m_Evidence) {
    wire::TraitState &Row = *Message.add_evidence();
    Row.set_trait(Value);
    Row.set_crashes(Evidence.m_Crashes);
    Row.set_last_crash_ns(nanosecondsIn(Evidence.m_LastCrash));
    Row.set_until_ns(nanosecondsIn(Evidence.m_ExpiresAt));
    assign(*Row.mutable_companions(), Evidence.m_Companions);
    assign(*Row.mutable_alternatives(), Evidence.m_Alternatives);
    assign(*Row.mutable_contents(), Evidence.m_Contents);
    Row.set_paused_until_ns(nanosecondsIn(Evidence.m_PausedUntil));
    Row.set_pauses(Evidence.m_Pauses);
    Row.set_trial_runs(Evidence.m_TrialRuns);
  }
  for (const auto &[Value, Until] : Traits.m_AcquittedUntil) {
    wire::TraitAcquittalState &Row = *Message.add_acquittals();
    Row.set_trait(Value);
    Row.set_until_ns(nanosecondsIn(Until));
  }
  for (const auto &[Key, Crash] : Traits.m_Crashes) {
    wire::TraitCrashState &Row = *Message.add_crashes();
    write(*Row.mutable_name(), Key);
    Row.set_at_ns(nanosecondsIn(Crash.m_ReportedAt));
    assign(*Row.mutable_contents(), Crash.m_Contents);
    assign(*Row.mutable_routes(), Crash.m_Routes);
  }
  for (const auto &[Key, Crash] : Traits.m_BegunCrashes) {
    wire::BegunCrashState &Row = *Message.add_begun_crashes();
    write(*Row.mutable_name(), Key);
    Row.set_at_ns(nanosecondsIn(Crash.m_ReportedAt));
    assign(*Row.mutable_routes(), Crash.m_Routes);
    for (const retries::BegunRun &Each : Crash.m_Runs) {
      wire::BegunRunState &Run = *Row.add_runs();
      Run.set_content(Each.m_Content);
      Run.set_route(Each.m_Route);
      Run.set_events(Each.m_Events);
      Run.set_offset(Each.m_Offset);
      Run.set_ran_ns(static_cast<std::uint64_t>(Each.m_Ran.count()));
      Run.set_decided(Each.m_IsDecided);
    }
  }
  for (const retries::TraitQuarantine &Each : Traits.m_Quarantines) {
    wire::TraitQuarantineState &Row = *Message.add_quarantines();
    assign(*Row.mutable_traits(), Each.m_Traits);
    Row.set_until_ns(nanosecondsIn(Each.m_EndsAt));
    Row.set_forgotten_ns(nanosecondsIn(Each.m_ForgottenAt));
    Row.set_count(Each.m_Count);
  }
}

void read(retries::TraitTable &Traits, const wire::TraitsState &Message) {
  Traits.m_Revision = Message.revision();
  for (const wire::TraitState &Row : Message.evidence()) {
    retries::TraitEvidence &Evidence = Traits.m_Evidence[Row.trait()];
    Evidence.m_Crashes = Row.crashes();
    Evidence.m_LastCrash = timeOf(Row.last_crash_ns());
    Evidence.m_ExpiresAt = timeOf(Row.until_ns());
    Evidence.m_Companions.assign(Row.companions().begin(),
                                 Row.companions().end());
    Evidence.m_Alternatives.assign(Row.alternatives().begin(),
                                   Row.alternatives().end());
    Evidence.m_Contents.insert(Row.contents().begin(), Row.contents().end());
    Evidence.m_PausedUntil = timeOf(Row.paused_until_ns());
    Evidence.m_Pauses = Row.pauses();
    Evidence.m_TrialRuns = Row.trial_runs();
  }
  for (const wire::TraitAcquittalState &Row : Message.acquittals())
    Traits.m_AcquittedUntil[Row.trait()] = timeOf(Row.until_ns());
  for (const wire::TraitCrashState &Row : Message.crashes()) {
    retries::TraitTable::CrashRecord &Crash =
        Traits.m_Crashes[read(Row.name())];
    Crash.m_ReportedAt = timeOf(Row.at_ns());
    Crash.m_Contents.insert(Row.contents().begin(), Row.contents().end());
    Crash.m_Routes.insert(Row.routes().begin(), Row.routes().end());
  }
  for (const wire::BegunCrashState &Row : Message.begun_crashes()) {
    retries::BegunCrash &Crash = Traits.m_BegunCrashes[read(Row.name())];
    Crash.m_ReportedAt = timeOf(Row.at_ns());
    Crash.m_Routes.insert(Row.routes().begin(), Row.routes().end());
    for (const wire::BegunRunState &Run : Row.runs())
      Crash.m_Runs.push_back(
          {Run.content(), Run.route(), Run.events(), Run.offset(),
           std::chrono::nanoseconds(Run.ran_ns()), Run.decided()});
  }
  retries::scheduleBegunDecision(Traits);
  for (const wire::TraitQuarantineState &Row : Message.quarantines())
    Traits.m_Quarantines.push_back({{Row.traits().begin(), Row.traits().end()},
                                    timeOf(Row.until_ns()),
                                    timeOf(Row.forgotten_ns()),
                                    Row.count()});
}

void write(wire::SuspicionState &Message,
           const retries::SuspectTable &Suspicion) {
  Message.set_revision(Suspicion.m_Revision);
  for (const auto &[Fingerprint, Suspect] : Suspicion.m_Suspects)
    write(*Message.add_suspects(), Fingerprint, Suspect);
  for (const auto &[Key, Crash] : Suspicion.m_Crashes)
    write(*Message.add_crashes(), Key, Crash);
}

void read(retries::SuspectTable &Suspicion,
          const wire::SuspicionState &Message) {
  Suspicion.m_Revision = Message.revision();
  for (const wire::SuspectState &Item : Message.suspects())
    Suspicion.m_Suspects[Item.fingerprint()] = read(Item);
  for (const wire::CrashState &Item : Message.crashes())
    Suspicion.m_Crashes[read(Item.name())] = read(Item);
}

} // namespace wasabivale::fleet
