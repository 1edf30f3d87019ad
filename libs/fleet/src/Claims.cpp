#include "Targets.h"

#include <algorithm>
#include <fmt/format.h>

namespace wasabivale::fleet {

namespace {

constexpr std::uint64_t FirstIncarnationSuffix = 2;
constexpr Duration FirstAskInterval = std::chrono::seconds(1);
constexpr Duration MaxAskInterval = std::chrono::seconds(16);

bool isLostOrWithdrawn(const Target &Target) {
  return Target.m_State == TargetState::Lost ||
         Target.m_State == TargetState::Withdrawn;
}

/// Whether \p Registered is the name under which this process was registered:
/// what it says of itself, or that with a suffix `/NUMBER`.
bool isNameOf(const std::string &Registered, const std::string &Incarnation) {
  return Registered == Incarnation ||
         (Registered.size() > Incarnation.size() + 1 &&
          Registered.compare(0, Incarnation.size(), Incarnation) == 0 &&
          Registered[Incarnation.size()] == '/' &&
          Registered.find_first_not_of("0123456789", Incarnation.size() + 1) ==
              std::string::npos);
}

bool isSameProcess(const Target &Registered, const wire::Target &Announced) {
  return isNameOf(Registered.m_Incarnation, Announced.incarnation()) &&
         Registered.m_Address == Announced.address();
}

/// Whether everything in the announcement is already committed.
bool isCommitted(const Target &Registered, const wire::Target &Announced) {
  return Registered.m_Role == Announced.role() &&
         Registered.m_MaxRunning == Announced.max_running() &&
         Registered.m_SoftwareVersion == Announced.software_version();
}

ClaimKey keyOf(const Claim &Message) {
  return {{Message.m_Target.id()},
          Message.m_Target.incarnation(),
          Message.m_Target.address()};
}

ClaimRecord &findOrAddRecord(ClaimRecords &Records, const ClaimKey &Key) {
  if (const auto Found = Records.m_ByKey.find(Key);
      Found != Records.m_ByKey.end())
    return Found->second;
  if (Records.m_ByKey.size() >= MaxClaimRecords)
    Records.m_ByKey.erase(std::min_element(
        Records.m_ByKey.begin(), Records.m_ByKey.end(),
        [](const auto &Left, const auto &Right) {
          return Left.second.m_HeardAt < Right.second.m_HeardAt;
        }));
  return Records.m_ByKey[Key];
}

/// Adds a message to a series of rising numbers. A pause, a number that doesn't
/// rise or one that leaps begins a new series.
void extend(ClaimSeries &Series, std::uint64_t Sequence, TimePoint Now) {
  const bool Continues = Series.m_Count > 0 &&
                         Now - Series.m_Newest <= ClaimPause &&
                         Sequence > Series.m_Sequence &&
                         Sequence - Series.m_Sequence <= MaxSequenceStep;
  if (!Continues) {
    Series.m_Since = Now;
    Series.m_Count = 0;
  }
  Series.m_Newest = Now;
  Series.m_Sequence = Sequence;
  Series.m_Count += 1;
}

bool isSteady(const ClaimSeries &Series) {
  return Series.m_Count >= SteadyClaimMessages &&
         Series.m_Newest - Series.m_Since >= SteadyClaimTime;
}

ClaimOrder putInOrder(ClaimRecord &Record, std::uint64_t Sequence,
                      TimePoint Now) {
  ClaimSeries &Believed = Record.m_Believed;
  const bool Rises = Believed.m_Count == 0 || Sequence > Believed.m_Sequence;
  const bool Leaps = Rises && Believed.m_Count > 0 &&
                     Sequence - Believed.m_Sequence > MaxSequenceStep;
  if (Rises && !Leaps) {
    extend(Believed, Sequence, Now);
    extend(Record.m_Unopposed, Sequence, Now);
    return ClaimOrder::InOrder;
  }
  // Only those since the newest message in order count.
  if (Believed.m_Newest >= Record.m_Other.m_Since)
    Record.m_Other = {};
  extend(Record.m_Other, Sequence, Now);
  if (isSteady(Record.m_Other)) {
    Believed = std::exchange(Record.m_Other, {});
    Record.m_Unopposed = Believed;
    return ClaimOrder::InOrder;
  }
  return Leaps ? ClaimOrder::Leaping : ClaimOrder::Late;
}

/// One message of a claim together with all that is known of it.
struct Case {
  const ClaimRecords &m_Records;
  const State &m_Fleet;
  const ObservedState &m_Observed;
  const Claim &m_Message;
  ClaimRecord &m_Record;
  const Target *m_Registered; ///< Of this id, or null.
  const Target *m_Holder;     ///< Of this address under another id, or null.
  bool m_IsStartPlausible;
  TimePoint m_Now;
};

const Target *findHolder(const Targets &Targets,
                         const wire::Target &Announced) {
  for (const auto &[Name, Target] : Targets.m_ById)
    if (Target.m_Address == Announced.address() &&
        Name.m_Value != Announced.id() && !isLostOrWithdrawn(Target))
      return &Target;
  return nullptr;
}

TimePoint lastHeard(const Case &Case, const Target &Target) {
  const auto Found = Case.m_Observed.m_LastSeen.find(Target.m_Id);
  return Found == Case.m_Observed.m_LastSeen.end() ? TimePoint()
                                                   : Found->second.m_At;
}

/// Whether \p Target has ended, as far as messages say: the claimant started
/// later, and is the same target at the same address, or \p Target is silent.
/// That is not enough to take it out of service by a message that says
/// `leaving`.
bool yields(const Case &Case, const Target &Target) {
  const wire::Target &Announced = Case.m_Message.m_Target;
  if (!Case.m_IsStartPlausible || Case.m_Message.m_Leaving ||
      Announced.started_ms() <= Target.m_StartedMs)
    return false;
  // Entries must not keep the software version of the former process. One that
  // has said that it leaves may still be there.
  const bool IsRestart = Target.m_Id.m_Value == Announced.id() &&
                         Target.m_Address == Announced.address() &&
                         !Target.m_LeaveRequested;
  return IsRestart || isLostOrWithdrawn(Target) ||
         Case.m_Now - lastHeard(Case, Target) >= SilenceOfEnded;
}

/// Whether the claimant has been heard steadily since \p Target was last heard.
bool outlasts(const Case &Case, const Target &Target) {
  ClaimSeries &Unopposed = Case.m_Record.m_Unopposed;
  if (Target.m_State != TargetState::Lost &&
      lastHeard(Case, Target) >= Unopposed.m_Since)
    Unopposed = {Case.m_Now, Case.m_Now, Case.m_Message.m_Sequence, 1};
  return isSteady(Unopposed);
}

const AddressAnswer *findAnswer(const Case &Case, const std::string &Address) {
  const auto Found = Case.m_Records.m_Answers.find(Address);
  return Found == Case.m_Records.m_Answers.end() ||
                 Case.m_Now - Found->second.m_At > AddressAnswerValidity
             ? nullptr
             : &Found->second;
}

/// What an address says of the target that a claim names.
enum class Testimony : std::uint8_t { None, Confirms, Denies, Unreadable };

Testimony testimony(const Case &Case, const std::string &Address) {
  const AddressAnswer *Answer = findAnswer(Case, Address);
  if (Answer == nullptr)
    return Testimony::None;
  if (Answer->m_Target.empty())
    return Testimony::Unreadable;
  return Answer->m_Target.m_Value == Case.m_Message.m_Target.id()
             ? Testimony::Confirms
             : Testimony::Denies;
}

/// Whether this claim may cause a question now. The interval doubles, so that a
/// claim that is refused for long costs few of them.
bool mayAsk(ClaimRecord &Record, const std::string &Address, TimePoint Now) {
  if (Record.m_AskedAddress == Address && Now < Record.m_NextAsk)
    return false;
  if (Record.m_AskedAddress == Address && Record.m_AskInterval > Duration())
    Record.m_AskInterval = std::min(Record.m_AskInterval * 2, MaxAskInterval);
  else
    Record.m_AskInterval = FirstAskInterval;
  Record.m_AskedAddress = Address;
  Record.m_NextAsk = Now + Record.m_AskInterval;
  return true;
}

using Doubt = std::variant<std::monostate, AskAddress, RefuseClaim>;

RefuseClaim refuseClaim(ClaimRefusal Reason, std::string Message) {
  return {Reason, std::move(Message)};
}

RefuseClaim refuseStart(const wire::Target &Announced) {
  return refuseClaim(ClaimRefusal::ImplausibleStart,
                     fmt::format("the start {} ms lies in the future",
                                 Announced.started_ms()));
}

RefuseClaim refuseUndecided(const Case &Case, const Target &Other) {
  if (!Case.m_IsStartPlausible)
    return refuseStart(Case.m_Message.m_Target);
  return refuseClaim(ClaimRefusal::Undecided,
                     "another process of " + Other.m_Id.m_Value +
                         " is registered at " + Other.m_Address);
}

/// Decides by what the addresses answer where this can tell the claims apart,
/// and else by who is heard steadily.
Doubt examine(const Case &Case) {
  const wire::Target &Announced = Case.m_Message.m_Target;
  const Target *Registered =
      Case.m_Registered != nullptr &&
              !isSameProcess(*Case.m_Registered, Announced)
          ? Case.m_Registered
          : nullptr;
  const Target *Holder = Case.m_Holder;
  if (Registered != nullptr && yields(Case, *Registered))
    Registered = nullptr;
  if (Holder != nullptr && yields(Case, *Holder))
    Holder = nullptr;
  const bool Contested = Registered != nullptr || Holder != nullptr;
  if (!Contested && Case.m_IsStartPlausible)
    return {};
  const bool ElsewhereToo =
      Registered != nullptr && Registered->m_Address != Announced.address();
  const bool AnswerDecides = Holder != nullptr || ElsewhereToo || !Contested;
  Testimony Here = Testimony::Unreadable;
  if (AnswerDecides) {
    Here = testimony(Case, Announced.address());
    if (Here == Testimony::None &&
        mayAsk(Case.m_Record, Announced.address(), Case.m_Now))
      return AskAddress{Announced.address()};
    Case.m_Record.m_IsDenied =
        Here == Testimony::Denies ||
        (Here == Testimony::None && Case.m_Record.m_IsDenied);
    if (Case.m_Record.m_IsDenied)
      return refuseClaim(ClaimRefusal::Denied, "the process at " +
                                                   Announced.address() +
                                                   " is another target");
  }
  const bool Confirmed = Here == Testimony::Confirms;
  if (Holder != nullptr && !Confirmed && !outlasts(Case, *Holder))
    return refuseUndecided(Case, *Holder);
  if (!Contested && !Confirmed && !isSteady(Case.m_Record.m_Believed))
    return refuseStart(Announced);
  if (Registered == nullptr || outlasts(Case, *Registered))
    return {};
  if (!Confirmed || !ElsewhereToo)
    return refuseUndecided(Case, *Registered);
  if (Case.m_IsStartPlausible &&
      Announced.started_ms() > Registered->m_StartedMs)
    return {};
  // Two addresses were claimed for one id, and this one has confirmed it.
  const Testimony There = testimony(Case, Registered->m_Address);
  if (There == Testimony::None &&
      mayAsk(Case.m_Record, Registered->m_Address, Case.m_Now))
    return AskAddress{Registered->m_Address};
  if (There == Testimony::Denies || There == Testimony::Unreadable)
    return {};
  return refuseUndecided(Case, *Registered);
}

/// Begins to follow whether the process behind \p Target still says `ready`.
void followLeave(ClaimRecords &Records, const Target &Target, TimePoint Now) {
  for (auto It = Records.m_ByKey.lower_bound({Target.m_Id, "", ""});
       It != Records.m_ByKey.end() && It->first.m_Target == Target.m_Id; ++It)
    if (!It->second.m_Leave && It->first.m_Address == Target.m_Address &&
        isNameOf(Target.m_Incarnation, It->first.m_Incarnation))
      It->second.m_Leave = ClaimSeries{Now, Now, 0, 0};
}

ClaimVerdict leaveVerdict(ClaimRecords &Records, const Case &Case) {
  LeaveTargets Leaving;
  for (const Target *Target : {Case.m_Registered, Case.m_Holder})
    if (Target != nullptr) {
      if (!Target->m_LeaveRequested)
        followLeave(Records, *Target, Case.m_Now);
      Leaving.m_Targets.push_back(Target->m_Id);
    }
  if (Leaving.m_Targets.empty())
    return AcknowledgeClaim{}; // No entry sends it work.
  return Leaving;
}

/// The announcement that the state accepts. A process that was replaced by
/// mistake returns under a new name of its incarnation, since past ones may not
/// return, and with a start that is not before that of what it replaces.
wire::Target announcement(const Case &Case, std::uint64_t LatestStartMs) {
  wire::Target Next = Case.m_Message.m_Target;
  const Target *Registered = Case.m_Registered;
  std::uint64_t Start = std::min(Next.started_ms(), LatestStartMs);
  if (Case.m_Holder != nullptr)
    Start = std::max(Start, Case.m_Holder->m_StartedMs + 1);
  if (Registered != nullptr)
    Start = std::max(Start, Registered->m_StartedMs);
  Next.set_started_ms(Start);
  if (Registered == nullptr)
    return Next;
  const bool Revoked = Registered->m_LeaveRequested;
  const auto IsTaken = [&](const std::string &Name) {
    return (Name == Registered->m_Incarnation &&
            (Registered->m_Address != Next.address() || Revoked)) ||
           std::find(Registered->m_PastIncarnations.begin(),
                     Registered->m_PastIncarnations.end(),
                     Name) != Registered->m_PastIncarnations.end();
  };
  if (isSameProcess(*Registered, Next) && !IsTaken(Registered->m_Incarnation)) {
    Next.set_incarnation(Registered->m_Incarnation);
    return Next;
  }
  const std::string Base = Next.incarnation();
  for (std::uint64_t Suffix = FirstIncarnationSuffix;
       IsTaken(Next.incarnation()); ++Suffix)
    Next.set_incarnation(fmt::format("{}/{}", Base, Suffix));
  return Next;
}

/// A target that says after its leave that it is ready, in later messages, has
/// not left if its address says so too: another writer said it.
Doubt examineLeave(const Case &Case) {
  ClaimRecord &Record = Case.m_Record;
  const std::string &Address = Case.m_Message.m_Target.address();
  if (!Record.m_Leave || !isSteady(*Record.m_Leave))
    return refuseClaim(ClaimRefusal::Undecided, "");
  if (const AddressAnswer *Answer = findAnswer(Case, Address)) {
    if (Answer->m_IsServing &&
        Answer->m_Target.m_Value == Case.m_Message.m_Target.id())
      return {};
  } else if (mayAsk(Record, Address, Case.m_Now)) {
    return AskAddress{Address};
  }
  return refuseClaim(ClaimRefusal::Undecided, "");
}

/// Messages after the one with the leave that still say `ready`.
void followLeave(ClaimRecord &Record, const Claim &Message, TimePoint Now) {
  if (Message.m_Leaving) {
    Record.m_Leave = ClaimSeries{Now, Now, Message.m_Sequence, 0};
    return;
  }
  if (!Record.m_Leave)
    return;
  const std::uint32_t Count = Record.m_Leave->m_Count;
  if (Count == 0)
    Record.m_Leave->m_Since = Now;
  Record.m_Leave->m_Newest = Now;
  Record.m_Leave->m_Count = Count + 1;
}

} // namespace

HeardClaim hearClaim(ClaimRecords &Records, const Claim &Message,
                     TimePoint Now) {
  const ClaimKey Key = keyOf(Message);
  ClaimRecord &Record = findOrAddRecord(Records, Key);
  Record.m_HeardAt = Now;
  const ClaimOrder Order = putInOrder(Record, Message.m_Sequence, Now);
  if (Order == ClaimOrder::InOrder ||
      (Order == ClaimOrder::Late && Message.m_Leaving))
    followLeave(Record, Message, Now);
  return {Message, Order};
}

ClaimVerdict decideClaim(ClaimRecords &Records, const State &Fleet,
                         ObservedState &Observed, const HeardClaim &Heard,
                         TimePoint Now, std::chrono::milliseconds TimeOfDay) {
  const Claim &Message = Heard.m_Message;
  const wire::Target &Announced = Message.m_Target;
  if (Heard.m_Order == ClaimOrder::Leaping)
    return refuseClaim(ClaimRefusal::LeapingSequence,
                       fmt::format("sequence {} leaps", Message.m_Sequence));
  const std::uint64_t LatestStart = static_cast<std::uint64_t>(
      std::max(std::chrono::milliseconds(0), TimeOfDay + MaxClockLead).count());
  const Target *Registered = findTarget(Fleet.m_Targets, {Announced.id()});
  const Case Case{Records,
                  Fleet,
                  Observed,
                  Message,
                  findOrAddRecord(Records, keyOf(Message)),
                  Registered,
                  findHolder(Fleet.m_Targets, Announced),
                  Announced.started_ms() <= LatestStart,
                  Now};
  const bool Same =
      Registered != nullptr && isSameProcess(*Registered, Announced);
  // A process that has said that it leaves does not return, so that an older
  // message of it is as good as the newest.
  if (Heard.m_Order == ClaimOrder::Late && !Message.m_Leaving)
    return AcknowledgeClaim{};
  // One that has left stays out when it falls silent.
  const bool IsCurrent = Same && Case.m_Holder == nullptr &&
                         (Registered->m_State != TargetState::Lost ||
                          Registered->m_LeaveRequested);
  if (!IsCurrent) {
    Doubt Why = Same && Case.m_Holder == nullptr ? Doubt() : examine(Case);
    if (auto *Question = std::get_if<AskAddress>(&Why))
      return std::move(*Question);
    if (auto *Refused = std::get_if<RefuseClaim>(&Why))
      return std::move(*Refused);
  }
  if (Message.m_Leaving) {
    if (Same)
      recordTargetSeen(Observed, Registered->m_Id, Registered->m_Incarnation,
                       Now);
    return leaveVerdict(Records, Case);
  }
  if (IsCurrent) {
    recordTargetSeen(Observed, Registered->m_Id, Registered->m_Incarnation,
                     Now);
    if (Registered->m_LeaveRequested) {
      Doubt Why = examineLeave(Case);
      if (auto *Question = std::get_if<AskAddress>(&Why))
        return std::move(*Question);
      if (std::holds_alternative<RefuseClaim>(Why))
        return AcknowledgeClaim{};
      Case.m_Record.m_Leave.reset();
    } else if (isCommitted(*Registered, Announced)) {
      return AcknowledgeClaim{};
    }
  }
  AnnounceClaim Next{announcement(Case, LatestStart)};
  recordTargetSeen(Observed, {Announced.id()}, Next.m_Target.incarnation(),
                   Now);
  return Next;
}

void recordAnswer(ClaimRecords &Records, const std::string &Address,
                  AddressAnswer Answer) {
  if (Records.m_Answers.size() >= MaxAddressAnswers &&
      Records.m_Answers.count(Address) == 0)
    Records.m_Answers.erase(
        std::min_element(Records.m_Answers.begin(), Records.m_Answers.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second.m_At < Right.second.m_At;
                         }));
  Records.m_Answers[Address] = std::move(Answer);
}

void forgetLeave(ClaimRecords &Records, const TargetId &Target) {
  for (auto It = Records.m_ByKey.lower_bound({Target, "", ""});
       It != Records.m_ByKey.end() && It->first.m_Target == Target; ++It)
    It->second.m_Leave.reset();
}

void expireClaims(ClaimRecords &Records, ObservedState &Observed,
                  const State &Fleet, TimePoint Now) {
  std::erase_if(Records.m_ByKey, [&](const auto &Item) {
    return Now - Item.second.m_HeardAt > ClaimRetention;
  });
  std::erase_if(Records.m_Answers, [&](const auto &Item) {
    return Now - Item.second.m_At > AddressAnswerValidity;
  });
  std::erase_if(Observed.m_LastSeen, [&](const auto &Item) {
    return Now - Item.second.m_At > ClaimRetention &&
           findTarget(Fleet.m_Targets, Item.first) == nullptr;
  });
}

} // namespace wasabivale::fleet
