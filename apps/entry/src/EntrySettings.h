/// \file
/// Settings of an entry.

#ifndef WASABIVALE_ENTRY_ENTRYSETTINGS_H
#define WASABIVALE_ENTRY_ENTRYSETTINGS_H

#include "http/http.h"
#include "settings/settings.h"
#include "wire/wire.h"

namespace wasabivale::entry {

struct EntrySettings {
  NodeId m_Id;
  RegionId m_Region;
  ZoneId m_Zone;
  wire::KeyPair m_Keys;
  std::vector<wire::Peer> m_Control;
  http::Address m_CallersListen;
  http::Address m_TargetsListen;
  http::Address m_AdminListen;
  http::ServerLimits m_CallerLimits;
  /// Streams and calls under way at once.
  std::size_t m_Streams = 4000;
  /// Bytes of an answer that may wait for a slow reader before reading from
  /// the target stops.
  std::size_t m_PendingBytes = 256U << 10U;
  /// How long a slow reader may leave them waiting.
  std::chrono::milliseconds m_ReaderPatience{30'000};
  /// Time that running requests have to finish when the process is stopped.
  std::chrono::milliseconds m_StopPatience{30'000};
};

/// JSON schema of the settings file.
settings::Json entrySchema();

/// \pre Document is valid under `entrySchema`.
Result<EntrySettings> toEntrySettings(const settings::Json &Document);

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_ENTRYSETTINGS_H
