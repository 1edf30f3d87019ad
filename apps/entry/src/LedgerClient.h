/// \file
/// The entry's side of the at-most-once ledger.

#ifndef WASABIVALE_ENTRY_LEDGERCLIENT_H
#define WASABIVALE_ENTRY_LEDGERCLIENT_H

#include "AnswerWriter.h"
#include "Arrival.h"
#include "wire.pb.h"

#include <functional>

namespace wasabivale::entry {

/// What the ledger says about a key.
enum class KeyVerdict : std::uint8_t {
  Granted,    ///< This arrival, and no other, may run the request.
  Stored,     ///< It was completed before; the answer is there.
  Dropped,    ///< It was completed before; the answer was too large to keep.
  InProgress, ///< Another arrival holds the key.
  Unknown,    ///< An earlier arrival may have run it.
  Conflict,   ///< The key was used with another body.
  Refused,    ///< Not granted, for the reason that is given.
};

struct KeyAnswer {
  KeyVerdict m_Verdict = KeyVerdict::Refused;
  KeptAnswer m_Stored;
  Refusal m_Reason = Refusal::LedgerUnavailable;
  std::string m_Detail;
  /// The ledger takes this entry's session for ended.
  bool m_SessionEnded = false;
};

/// Calls control. A call whose reply is lost is sent again by the link; the
/// identity of the arrival makes each of them idempotent.
class LedgerClient {
public:
  using OnReply = std::function<void(Result<wire::CallReply>)>;
  using Call = std::function<void(wire::Command, TimePoint Deadline, OnReply)>;
  /// Starts a new session with control after the ledger has ended the present
  /// one.
  using RenewSession = std::function<void()>;

  LedgerClient(NodeId Entry, Call Caller,
               std::function<std::uint64_t()> Session, RenewSession Renew)
      : m_Entry(std::move(Entry)), m_Call(std::move(Caller)),
        m_Session(std::move(Session)), m_Renew(std::move(Renew)) {}

  /// Asks for the key before anything is sent to a target. Without an answer
  /// in time the verdict is a refusal, and the key is released behind it.
  void begin(const Arrival &For, std::chrono::nanoseconds Retention,
             TimePoint Deadline, std::function<void(KeyAnswer)> Done);
  /// Keeps the answer of a completed run.
  void finish(const Arrival &For, const KeptAnswer &Answer);
  /// A target may have run it.
  void finishUnknown(const Arrival &For);
  /// Nothing was sent to a target, nor will be.
  void release(const Arrival &For);

private:
  void askAgain(const Arrival &For, std::chrono::nanoseconds Retention,
                TimePoint Deadline, std::function<void(KeyAnswer)> Done,
                bool MayRenew);

  NodeId m_Entry;
  Call m_Call;
  std::function<std::uint64_t()> m_Session;
  RenewSession m_Renew;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_LEDGERCLIENT_H
