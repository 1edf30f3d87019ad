/// \file
/// The engine half of a fake target: runs, streams and KV tickets on the
/// engine model in real time.

#ifndef WASABIVALE_FAKETARGETS_ENGINEWORK_H
#define WASABIVALE_FAKETARGETS_ENGINEWORK_H

#include "Context.h"

#include <deque>
#include <unordered_map>

namespace wasabivale::faketargets {

class EngineWork {
public:
  explicit EngineWork(Life &Of);

  /// `POST /engine/v1/run`. \p Accepts is false while the target drains.
  void run(const std::shared_ptr<http::Exchange> &From, bool Accepts);
  /// `POST /engine/v1/cancel`
  void cancel(http::Exchange &From);
  /// `GET /engine/v1/kv/TICKET`
  void sendKv(http::Exchange &To, const std::string &Ticket);

  /// Passes on what the model has made by \p Now.
  void turn(TimePoint Now);

  /// Takes the engine away. \pre idle()
  void changeRole(targets::Role To);
  void loadModels();
  void setSpeed(double Factor);

  [[nodiscard]] bool idle() const { return m_Streams.empty(); }
  [[nodiscard]] bool away() const { return m_Model.m_Away; }
  [[nodiscard]] enginemodel::Load load() const {
    return enginemodel::load(m_Model);
  }
  /// Cache events that are old enough to be reported, less those that the
  /// settings drop. Fills the cache part of \p Into.
  void takeCacheEvents(targets::Heartbeat &Into, TimePoint Now);

private:
  struct Stream {
    targets::RunRequest m_Request;
    std::shared_ptr<http::Exchange> m_To;
    std::uint64_t m_Sent = 0; ///< Tokens of this try.
  };
  struct LateCacheEvent {
    TimePoint m_At;
    targets::CacheEvent m_Event;
  };

  void begin(const std::shared_ptr<http::Exchange> &From,
             targets::RunRequest What);
  void fetchKv(const std::shared_ptr<http::Exchange> &From,
               const targets::RunRequest &What);
  void submit(const std::shared_ptr<http::Exchange> &From,
              targets::RunRequest What, bool ImportsKv);
  void startStream(enginemodel::RunKey Key, Stream Made);
  void take(const enginemodel::Event &What);
  void sendTokens(Stream &To, std::uint64_t Made);
  /// \returns whether the stream was broken on purpose.
  bool cutStream(enginemodel::RunKey Key, const Stream &Which);
  void endStream(enginemodel::RunKey Key, std::uint64_t Made);
  void dropStream(enginemodel::RunKey Key, std::string_view Why);
  void dropLateStreams(TimePoint Now);

  Life &m_Life;
  enginemodel::Engine m_Model;
  enginemodel::RunKey m_LastKey = 0;
  std::unordered_map<enginemodel::RunKey, Stream> m_Streams;
  /// Requests that will never be answered.
  std::vector<std::shared_ptr<http::Exchange>> m_Stalled;
  std::unordered_map<std::string, std::uint64_t> m_Tickets; ///< To tokens.
  std::deque<LateCacheEvent> m_CacheEvents;
  std::uint64_t m_LastCacheEvent = 0;
  std::uint64_t m_LastReported = 0;
  std::shared_ptr<void> m_Alive = std::make_shared<int>();
};

} // namespace wasabivale::faketargets

#endif // WASABIVALE_FAKETARGETS_ENGINEWORK_H
