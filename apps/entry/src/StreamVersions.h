/// \file
/// Software versions that began the streams of callers. A stream may only go on
/// at its version, at whichever entry its caller comes back.

#ifndef WASABIVALE_ENTRY_STREAMVERSIONS_H
#define WASABIVALE_ENTRY_STREAMVERSIONS_H

#include "EntryMetrics.h"
#include "FleetView.h"
#include "LedgerClient.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wasabivale::entry {

/// Remembers the streams that this entry has begun, and has control commit
/// their versions while their service has several.
class StreamVersions {
public:
  using StreamKey = std::uint64_t; ///< Hash of the id of the first attempt.

  struct Finding {
    std::optional<std::string> m_Version; ///< None: it is not known.
    std::string m_Source; ///< What it is known from, or why it isn't.
  };

  StreamVersions(event_base *Loop, const FleetView &Fleet,
                 EntryMetrics &Metrics);
  void setControl(LedgerClient::Call Control) {
    m_Control = std::move(Control);
  }

  /// Call after the fleet has applied \p Update.
  void apply(const wire::FleetUpdate &Update, TimePoint Now);

  /// A try of a stream is sent to a target of \p Version. If control was told
  /// another version, that record is withdrawn and this one follows it.
  void recordSent(StreamKey Stream, const std::string &Service,
                  const std::string &Version, TimePoint Now);
  /// The first event of a stream from the target of the newest try arrived.
  void recordEvent(StreamKey Stream);
  void recordEnded(StreamKey Stream, TimePoint Now);
  /// Another entry has withdrawn \p Count records of the stream.
  void noteWithdrawals(StreamKey Stream, std::uint32_t Count, TimePoint Now);
  [[nodiscard]] std::uint32_t withdrawals(StreamKey Stream) const;
  /// The version that control was told, to which a stream must keep.
  [[nodiscard]] std::optional<std::string>
  reportedVersion(StreamKey Stream, const std::string &Service) const;
  /// The version that this entry knows a stream of the service to have, or
  /// nothing.
  [[nodiscard]] std::optional<std::string>
  knownVersion(StreamKey Stream, const std::string &Service) const;
  /// Has control forget the version of a stream that has no event yet. \p Done
  /// is called from a later turn with whether that is committed: from then on
  /// the stream may begin at any version, which is recorded anew.
  void release(StreamKey Stream, TimePoint Deadline,
               std::function<void(bool)> Done);
  /// Finds the version at which a stream must go on. \p Done may be called from
  /// within.
  void find(const std::string &Service, std::optional<StreamKey> Stream,
            TimePoint Deadline, std::function<void(const Finding &)> Done);

private:
  struct Row {
    std::string m_Service; ///< Empty: not sent since its record was withdrawn.
    std::string m_Version;
    bool m_IsOpen = true;
    bool m_HasEvent = false; ///< From this entry, at this version.
    bool m_IsReported = false;
    bool m_IsQueued = false; ///< In `m_Unsent`.
    /// Records of it that were withdrawn. Each is followed by another.
    std::uint32_t m_Withdrawals = 0;
    TimePoint m_ExpiresAt; ///< Once it is not open any longer.
    TimePoint m_NextReport;
  };

  /// Asks control for one of the records that a stream may have.
  struct Question {
    std::string m_Service;
    std::optional<StreamKey> m_Stream;
    TimePoint m_Deadline;
    std::uint32_t m_Withdrawals = 0; ///< Before the record.
  };
  using OnFound = std::function<void(const Finding &)>;

  /// When each version of a service is forgotten.
  using ServiceVersions =
      std::map<std::string, std::map<std::string, TimePoint>>;

  [[nodiscard]] bool needsRecord(const Row &Record, TimePoint Now) const;
  [[nodiscard]] bool mustReport(const Row &Record, TimePoint Now) const;
  static void withdraw(Row &Record, std::uint32_t Count);
  void ask(Question Next, OnFound Done);
  void keepFormerVersions(const ServiceVersions &Former, TimePoint Now);
  [[nodiscard]] bool hasSeveralVersions(const std::string &Service,
                                        TimePoint Now) const;
  [[nodiscard]] std::vector<std::string>
  currentVersions(const std::string &Service, TimePoint Now) const;
  void report(StreamKey Stream, Row &Record, TimePoint Now);
  void queue(StreamKey Stream, Row &Record);
  void sendSoon(TimePoint Now);
  void sendReports();
  void takeReply(const std::vector<StreamKey> &Streams,
                 const Result<wire::CallReply> &Reply);
  void sweep();
  [[nodiscard]] Finding readAnswer(const std::string &Service,
                                   const Result<wire::CallReply> &Reply) const;

  event_base *m_Loop;
  const FleetView &m_Fleet;
  EntryMetrics &m_Metrics;
  LedgerClient::Call m_Control;
  std::unordered_map<StreamKey, Row> m_Streams;
  ServiceVersions m_Versions;
  std::vector<StreamKey> m_Unsent;
  std::size_t m_OpenQuestions = 0;
  TimePoint m_NextSend;
  std::unique_ptr<http::Timer> m_SendTimer;
  std::unique_ptr<http::Timer> m_Sweep;
  /// Answers of control that arrive later are dropped.
  std::shared_ptr<bool> m_IsAlive = std::make_shared<bool>(true);
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_STREAMVERSIONS_H
