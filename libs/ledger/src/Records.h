/// \file
/// The bookkeeping of records: counts, bytes, expiry and open sessions agree
/// with the records after each of these calls.

#ifndef WASABIVALE_LEDGER_SRC_RECORDS_H
#define WASABIVALE_LEDGER_SRC_RECORDS_H

#include "ledger/ledger.h"

namespace wasabivale::ledger {

/// Bytes accounted for a record.
std::size_t sizeOf(const Key &Name, const Record &Value);

Record *findRecord(State &On, const Key &Name);

/// Inserts or replaces the record of \p Name.
void put(State &On, const Key &Name, Record Value);
void erase(State &On, const Key &Name);

/// Removes what has expired at \p Now. Keys in progress stay.
void expire(State &On, LogTime Now);

} // namespace wasabivale::ledger

#endif // WASABIVALE_LEDGER_SRC_RECORDS_H
