/// \file
/// Record storage. Each function keeps the counts, bytes, expiry index and open
/// sessions consistent with the records.

#ifndef WASABIVALE_LEDGER_SRC_RECORDS_H
#define WASABIVALE_LEDGER_SRC_RECORDS_H

#include "ledger/ledger.h"

namespace wasabivale::ledger {

/// Accounted size of a record in bytes.
std::size_t sizeOf(const Key &Id, const Record &Value);

Record *findRecord(State &Ledger, const Key &Id);

/// Inserts or replaces the record of \p Id.
void put(State &Ledger, const Key &Id, Record Value);
void erase(State &Ledger, const Key &Id);

/// Removes the records that have expired at \p Now. Keys in progress never
/// expire.
void expire(State &Ledger, LogTime Now);

} // namespace wasabivale::ledger

#endif // WASABIVALE_LEDGER_SRC_RECORDS_H
