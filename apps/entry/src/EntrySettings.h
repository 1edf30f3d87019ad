/// \file
/// Settings of an entry.

#ifndef WASABIVALE_ENTRY_ENTRYSETTINGS_H
#define WASABIVALE_ENTRY_ENTRYSETTINGS_H

#include "Try.h"
#include "http/http.h"
#include "routing/routing.h"
#include "settings/settings.h"
#include "wire/wire.h"

#include <optional>

namespace wasabivale::entry {

/// How plain requests are taken and passed on.
struct RouteSettings {
  http::Address m_Listen;
  http::Address m_ReadinessListen;
  /// Where other entries forward requests to; without a port: nowhere. If the
  /// settings don't name it, the port after control's hubs, where
  /// `EntrySettings::m_HubPort` is known.
  http::Address m_ForwardListen;
  /// Retries for each request of a service, over all entries.
  double m_RetryShare = 0.2;
  /// Retries that the whole fleet may make beside that share, at once.
  double m_RetryReserve = 10;
  /// Longest time for which a customer's key is accepted after control has
  /// acknowledged its removal; unset: until this entry hears of it.
  std::optional<std::chrono::milliseconds> m_RevokeWithin;
  /// Length of the windows in which the requests of customers are counted;
  /// unset: they are not.
  std::optional<std::chrono::milliseconds> m_UsageWindow;
  /// Age of a load that comes with an answer.
  std::chrono::milliseconds m_ReportLag{10};
};

struct EntrySettings {
  NodeId m_Id;
  RegionId m_Region;
  ZoneId m_Zone;
  wire::KeyPair m_Keys;
  std::vector<wire::Peer> m_Control;
  /// Port of every control member's hub, where they are found by themselves and
  /// a member's id is its IP address; zero: `m_Control` has all.
  std::uint16_t m_HubPort = 0;
  std::optional<RouteSettings> m_Routes;
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
  /// Requests that may wait for their start.
  std::size_t m_Queue = 512;
  /// Longest silence of a target before its try is given up.
  Try::Patience m_Patience;
  routing::Policy m_Policy = routing::Policy::AffinityAndWork;
  /// Entries that share the fleet, until control tells.
  std::uint32_t m_Entries = 1;
  /// Whether requests without a key are served, as caller `anonymous`, until a
  /// first configuration has been accepted.
  bool m_AllowAnonymous = false;
  /// How long a process that was asked to stop still takes new requests, so
  /// that the platform can see that it is not ready.
  std::chrono::milliseconds m_StopLag{1'000};
  /// Time that running requests have to finish when the process is stopped.
  std::chrono::milliseconds m_StopPatience{30'000};
};

/// JSON schema of the settings file.
settings::Json entrySchema();

/// \pre Document is valid under `entrySchema`.
Result<EntrySettings> toEntrySettings(const settings::Json &Document);

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_ENTRYSETTINGS_H
