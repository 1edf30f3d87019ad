/// \file
/// The whole replicated state: fleet and at-most-once ledger. Payloads of the
/// log are serialized `wire::Command`s.

#ifndef WASABIVALE_CONTROL_STATEMACHINE_H
#define WASABIVALE_CONTROL_STATEMACHINE_H

#include "fleet/fleet.h"
#include "ledger/ledger.h"

namespace wasabivale::control {

struct ReplicatedState {
  fleet::State m_Fleet;
  ledger::State m_Ledger;
};

/// Applies one committed payload. Deterministic.
wire::CallReply applyPayload(ReplicatedState &State,
                             const std::string &Payload);

std::string takeSnapshot(const ReplicatedState &State);
Result<ReplicatedState> fromSnapshot(const std::string &Bytes);

/// \returns a digest of the fleet and of one shard of the ledger. Successive
/// values of \p Number select the shards in turn, so that a large ledger stops
/// no member for long. A large state leaves out numbers, at most 63 of 64.
std::optional<std::uint64_t> takeDigest(const ReplicatedState &State,
                                        std::uint64_t Number);

/// Newest log time that the state knows.
LogTime newestLogTime(const ReplicatedState &State);

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_STATEMACHINE_H
