/// \file
/// The metrics of the data path, looked up once.

#ifndef WASABIVALE_ENTRY_ENTRYMETRICS_H
#define WASABIVALE_ENTRY_ENTRYMETRICS_H

#include "metrics/metrics.h"
#include "retries/retries.h"
#include "routing/routing.h"

#include <array>

namespace wasabivale::entry {

struct EntryMetrics {
  explicit EntryMetrics(metrics::Registry &In);

  /// Counts an end of a try.
  void countTry(routing::TryOutcome Ending);
  /// Counts a retry by the failure that it follows.
  void countRetry(retries::FailureKind After, bool Resumed);
  /// Counts a stream that a caller resumes, by how its version was found.
  void countResume(bool IsKnown, const std::string &Source);

  metrics::Registry &m_Registry;
  metrics::Counter &m_Requests;
  metrics::Counter &m_Completed;
  metrics::Counter &m_CompletedLate;
  metrics::Counter &m_CallersGone;
  metrics::Counter &m_SlowReaders;
  metrics::Counter &m_Pauses;
  metrics::Counter &m_Tokens;
  metrics::Counter &m_Bytes;
  metrics::Counter &m_Resumes;
  metrics::Counter &m_StreamRecords;
  metrics::Counter &m_Cancels;
  metrics::Counter &m_AbandonedTries;
  metrics::Counter &m_DuplicatePieces;
  metrics::Counter &m_Crashes;
  metrics::Counter &m_LeaseWaits;
  metrics::Counter &m_Partitions;
  metrics::Counter &m_ReachProbes;
  metrics::Counter &m_Forwards;
  metrics::Counter &m_ForwardFailures;
  metrics::Counter &m_ForwardsTaken;
  metrics::Histogram &m_FirstToken;
  metrics::Histogram &m_BetweenTokens;
  metrics::Histogram &m_Total;
  metrics::Histogram &m_QueueWait;
  metrics::Histogram &m_LedgerBegin;
  metrics::Histogram &m_FirstTokenLater;
  metrics::Histogram &m_FirstTokenSooner;
  metrics::Gauge &m_Open;
  metrics::Gauge &m_Queued;
  metrics::Gauge &m_Running;
  metrics::Gauge &m_Paused;
  metrics::Gauge &m_TargetsUnreachable;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_ENTRYMETRICS_H
