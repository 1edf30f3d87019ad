#include "EntryMetrics.h"

namespace wasabivale::entry {

EntryMetrics::EntryMetrics(metrics::Registry &In)
    : m_Registry(In),
      m_Requests(In.counter("wasabivale_entry_requests_total",
                            "Requests of callers that were well formed")),
      m_Completed(In.counter("wasabivale_entry_completed_total",
                             "Whole answers passed on")),
      m_CompletedLate(In.counter("wasabivale_entry_completed_late_total",
                                 "Whole answers after their deadline")),
      m_CallersGone(In.counter("wasabivale_entry_callers_gone_total",
                               "Requests whose caller went away")),
      m_SlowReaders(In.counter("wasabivale_entry_slow_readers_total",
                               "Answers given up for a slow reader")),
      m_Pauses(In.counter("wasabivale_entry_reader_pauses_total",
                          "Times that reading from a target stopped for a "
                          "slow reader")),
      m_Tokens(In.counter("wasabivale_entry_output_tokens_total",
                          "Generated tokens taken from engines")),
      m_Bytes(In.counter("wasabivale_entry_output_bytes_total",
                         "Bytes of generated text taken from engines")),
      m_Resumes(In.counter("wasabivale_entry_resumes_total",
                           "Streams continued at an offset")),
      m_StreamRecords(
          In.counter("wasabivale_entry_stream_records_total",
                     "Begun streams whose version control was told")),
      m_Cancels(In.counter("wasabivale_entry_cancels_total",
                           "Runs that engines were told to cancel")),
      m_AbandonedTries(
          In.counter("wasabivale_entry_abandoned_tries_total",
                     "Tries given up whose later answer is dropped")),
      m_DuplicatePieces(In.counter("wasabivale_entry_duplicate_pieces_total",
                                   "Stream pieces that repeated tokens")),
      m_Crashes(In.counter("wasabivale_entry_target_crashes_total",
                           "Targets seen to crash under a request")),
      m_LeaseWaits(In.counter("wasabivale_entry_lease_waits_total",
                              "Tries put off for want of a lease")),
      m_Partitions(In.counter("wasabivale_entry_partitions_total",
                              "Times that no target could be reached")),
      m_ReachProbes(In.counter("wasabivale_entry_reach_probes_total",
                               "Connections opened only to find out whether "
                               "targets can be reached")),
      m_Forwards(In.counter("wasabivale_entry_forwards_total",
                            "Requests sent to another entry")),
      m_ForwardFailures(
          In.counter("wasabivale_entry_forward_failures_total",
                     "Forwards that ended without a whole answer")),
      m_ForwardsTaken(In.counter("wasabivale_entry_forwards_taken_total",
                                 "Requests taken from another entry")),
      m_FirstToken(In.histogram("wasabivale_entry_first_token_seconds",
                                "From arrival to the first token")),
      m_BetweenTokens(In.histogram("wasabivale_entry_between_tokens_seconds",
                                   "Between two pieces of a stream")),
      m_Total(In.histogram("wasabivale_entry_total_seconds",
                           "From arrival to the end of a whole answer")),
      m_QueueWait(In.histogram("wasabivale_entry_queue_wait_seconds",
                               "From arrival to the start")),
      m_LedgerBegin(In.histogram("wasabivale_entry_ledger_begin_seconds",
                                 "Until the ledger has granted a key")),
      m_FirstTokenLater(
          In.histogram("wasabivale_entry_first_token_later_seconds",
                       "By how much a first token came after its estimate")),
      m_FirstTokenSooner(
          In.histogram("wasabivale_entry_first_token_sooner_seconds",
                       "By how much a first token came before its estimate")),
      m_Open(In.gauge("wasabivale_entry_open_requests",
                      "Requests that are not answered yet")),
      m_Queued(In.gauge("wasabivale_entry_queued_requests",
                        "Requests that wait for their start")),
      m_Running(In.gauge("wasabivale_entry_running_requests",
                         "Requests that were started")),
      m_Paused(In.gauge("wasabivale_entry_paused_streams",
                        "Streams that wait for a slow reader")),
      m_TargetsUnreachable(In.gauge("wasabivale_entry_targets_unreachable",
                                    "One while no target can be reached")) {
  // Every reason is printed from the start, with zero.
  for (std::size_t I = 0; I < refusalCount(); ++I)
    In.refusals(static_cast<Refusal>(refusalAt(I).m_Number));
  for (std::size_t I = 0; I < retries::FailureKindCount; ++I)
    for (const char *How : {"restart", "resume"})
      In.counter("wasabivale_entry_retries_total",
                 "Further tries by the failure before and the way",
                 {{"reason", std::string(retries::failureKindName(
                                 static_cast<retries::FailureKind>(I)))},
                  {"how", How}});
}

void EntryMetrics::countTry(routing::TryOutcome Ending) {
  m_Registry
      .counter("wasabivale_entry_tries_total", "Ended tries by outcome",
               {{"outcome", std::string(routing::tryOutcomeName(Ending))}})
      .add();
}

void EntryMetrics::countResume(bool IsKnown, const std::string &Source) {
  m_Registry
      .counter("wasabivale_entry_caller_resumes_total",
               "Streams that callers resumed, by what is known of their "
               "software version",
               {{"known", IsKnown ? "yes" : "no"}, {"source", Source}})
      .add();
}

void EntryMetrics::countRetry(retries::FailureKind After, bool Resumed) {
  m_Registry
      .counter("wasabivale_entry_retries_total",
               "Further tries by the failure before and the way",
               {{"reason", std::string(retries::failureKindName(After))},
                {"how", Resumed ? "resume" : "restart"}})
      .add();
  if (Resumed)
    m_Resumes.add();
}

} // namespace wasabivale::entry
