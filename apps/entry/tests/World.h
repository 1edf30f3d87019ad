/// \file
/// An entry's data path among fake targets and a fake control, on loopback and
/// on one loop.

#ifndef WASABIVALE_ENTRY_TESTS_WORLD_H
#define WASABIVALE_ENTRY_TESTS_WORLD_H

#include "DataPath.h"
#include "ledger/ledger.h"

#include <deque>
#include <nlohmann/json.hpp>

namespace wasabivale::entry::test {

using Json = nlohmann::json;
using namespace std::chrono_literals;

inline constexpr std::uint16_t CallersPort = 28600;
inline constexpr std::uint16_t FirstTargetPort = 28610;
inline constexpr const char *Model = "gourd-8b";
inline constexpr const char *Key = "secret-of-shop-1";

/// What a fake engine or service does with a request.
enum class Act {
  Whole,
  Close,         ///< Closes before the head.
  CutAtOnce,     ///< Closes after the head.
  CutMiddle,     ///< Closes after half the tokens.
  NoEnd,         ///< All tokens, no end marker.
  WrongLength,   ///< An end marker that names another length.
  ForeignStream, ///< A line of another stream in the middle.
  Gap,           ///< Leaves a token out.
  Repeats,       ///< Every token twice, with its offset.
  Garbage,
  Silent,       ///< Takes the request and says nothing.
  SilentMiddle, ///< Stops after half the tokens, connection open.
  Full,         ///< 429 with `not_run`.
  Draining,     ///< 503 with `not_run`.
  PlainBusy,    ///< 503 without a word on whether it ran.
  CannotResume, ///< 409.
  Malformed,    ///< 400.
  Error,        ///< 500.
  Flood,        ///< Large pieces as fast as they are taken.
};

struct Loop {
  event_base *m_Base = event_base_new();
  ~Loop() { event_base_free(m_Base); }
  bool until(const std::function<bool()> &Done) const;
  void turnFor(std::chrono::milliseconds Length) const;
};

/// What the targets of a world do, in turn, whichever is asked; then `Whole`.
using Script = std::deque<Act>;

class FakeTarget {
public:
  FakeTarget(event_base *On, std::uint16_t Port, bool IsService, Script &Acts);
  std::vector<Json> m_Runs; ///< Bodies of all run requests.
  std::vector<std::string> m_Cancelled;
  std::size_t m_Gone = 0; ///< Runs whose connection the entry closed.
  /// Breaks the connection of the next question for its state and is gone soon
  /// after it, as a process that is dying is.
  bool m_DiesWhenAsked = false;
  /// Stops listening and breaks what is open, as a crash does.
  void crash();
  [[nodiscard]] bool isUp() const { return m_Server != nullptr; }

private:
  void take(const std::shared_ptr<http::Exchange> &Arrived);
  void answerState(http::Exchange &To);
  void run(const std::shared_ptr<http::Exchange> &To, const Json &Body);
  bool refuse(http::Exchange &To, Act Doing) const;
  void stream(const std::shared_ptr<http::Exchange> &To, const Json &Body,
              Act Doing);
  void abortLater(const std::shared_ptr<http::Exchange> &Which);

  event_base *m_Loop;
  bool m_IsService;
  Script &m_Script;
  std::unique_ptr<http::Server> m_Server;
  std::vector<std::shared_ptr<http::Exchange>> m_Held;
  std::vector<std::unique_ptr<http::Timer>> m_Timers;
};

/// One caller's request and all of its answer.
struct Call {
  std::shared_ptr<http::ClientCall> m_Call;
  int m_Status = 0;
  http::Headers m_Headers;
  std::string m_Body;
  bool m_Ended = false;
  bool m_Broken = false;

  [[nodiscard]] bool has(std::string_view Text) const {
    return m_Body.find(Text) != std::string::npos;
  }
  /// Text of all pieces of a stream, or of the whole answer.
  [[nodiscard]] std::string text() const;
  [[nodiscard]] std::string outcome() const;
  [[nodiscard]] std::string reason() const;
};

struct Ask {
  std::string m_Path = "/v1/completions";
  std::string m_Method = "POST";
  Json m_Body = {{"model", Model}, {"prompt", "hello"}, {"max_tokens", 6}};
  http::Headers m_Headers;
};

Ask streamed(int Tokens = 6);
/// A call of the service `book`, which is not repeatable.
Ask booking(const std::string &IdempotencyKey);

/// Text that a whole answer of \p Tokens tokens has.
std::string wholeText(int Tokens);

class World {
public:
  explicit World(int Engines = 2, int Services = 1);
  ~World();

  std::shared_ptr<Call> send(const Ask &What, bool Paused = false);
  /// Sends and waits for the end.
  std::shared_ptr<Call> ask(const Ask &What);
  void setState(const std::string &Target, const std::string &State);
  void configure(const Json &Document);
  [[nodiscard]] std::uint64_t refusals(Refusal Reason) {
    return m_Registry.refusals(Reason).m_Value;
  }
  /// Waits until nothing is left of any request.
  void checkAtRest();
  [[nodiscard]] wire::EntryReport report();
  /// Requests that have reached any target.
  [[nodiscard]] std::size_t runs() const;

  Loop m_Loop;
  metrics::Registry m_Registry;
  EntrySettings m_Settings;
  bool m_HoldsLease = true;
  bool m_HasQuorum = true;     ///< Otherwise calls are never answered.
  bool m_LosesReplies = false; ///< Calls are committed, replies are lost.
  std::uint64_t m_Session = 7;
  ledger::State m_Ledger;
  int m_Reports = 0;
  Script m_Script;
  std::vector<std::unique_ptr<FakeTarget>> m_Targets; ///< Engines first.
  std::unique_ptr<DataPath> m_Path;

private:
  void commit(const wire::Command &Command, TimePoint Deadline,
              const LedgerClient::OnReply &Done);
  void addTarget(const std::string &Id, std::uint16_t Port, bool IsService);

  EntryMetrics m_Metrics{m_Registry};
  std::unique_ptr<LedgerClient> m_LedgerClient;
  std::unique_ptr<http::Server> m_Server;
  std::vector<std::unique_ptr<http::Timer>> m_Timers;
  std::map<std::string, wire::Target> m_Fleet;
  std::uint64_t m_Revision = 0;
  std::uint64_t m_LogTime = 1;
};

} // namespace wasabivale::entry::test

#endif // WASABIVALE_ENTRY_TESTS_WORLD_H
