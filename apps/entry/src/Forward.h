/// \file
/// One forward of a request: sends it to another entry, once, and reads that
/// entry's answer.

#ifndef WASABIVALE_ENTRY_FORWARD_H
#define WASABIVALE_ENTRY_FORWARD_H

#include "Arrival.h"
#include "Forwarding.h"
#include "http/http.h"
#include "relay/relay.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace wasabivale::entry {

struct ForwardEnding {
  /// A target's answer is whole.
  struct Whole {
    bool m_Streamed = false; ///< Passed on event by event.
    http::Response m_Answer; ///< Unless streamed.
  };
  struct Broken {
    bool m_Sent = false;    ///< The peer may have the request.
    bool m_Invalid = false; ///< What arrived is no answer of an entry.
    bool m_Silent = false;  ///< Given up without an event or answer in time.
    Error m_Why;
  };
  std::variant<Whole, Rejection, Broken> m_Result;
};

struct ForwardHandlers {
  /// The head of a target's stream.
  std::function<void(int Status, ForwardedAnswer)> m_OnHead;
  std::function<void(const relay::Event &)> m_OnEvent;
  /// Whether another try takes over once the forward of a repeatable request
  /// ends because its peer is silent. It goes on otherwise.
  std::function<bool(const retries::Failure &Why, TimePoint SilentSince)>
      m_MayReplace;
  /// Called once, last, and not at all after `cancel`.
  std::function<void(ForwardEnding)> m_OnEnd;
};

class Forward : public std::enable_shared_from_this<Forward> {
public:
  /// \param Caller the request as it arrived.
  static std::shared_ptr<Forward>
  start(http::Pool &Connections, const ForwardPeers::Peer &Receiver,
        const http::Request &Caller, const Arrival &Request,
        const ForwardOrigin &Origin, std::chrono::nanoseconds Patience,
        ForwardHandlers Handlers, TimePoint Now);
  ~Forward();
  Forward(const Forward &) = delete;
  Forward &operator=(const Forward &) = delete;

  /// Closes the connection, so that the peer ends the run.
  void cancel();
  /// Ends the forward of a repeatable request when its peer is silent and
  /// another try takes over.
  void check(TimePoint Now);
  void pause();
  void resume(TimePoint Now);
  [[nodiscard]] bool isPaused() const { return m_Paused; }
  [[nodiscard]] bool hasSent() const {
    return m_Call != nullptr && m_Call->hasSent();
  }
  [[nodiscard]] const NodeId &peer() const { return m_Peer; }

private:
  Forward(NodeId Peer, const Arrival &Request, std::uint64_t LastEventId,
          std::chrono::nanoseconds Patience, ForwardHandlers Handlers,
          TimePoint Now);
  void takeHead(int Status, const http::Fields &Fields);
  void takeBytes(std::string_view Bytes);
  void takeEnd(const Result<http::Response> &Ending);
  void reject(Error Why);
  void finish(ForwardEnding Ending);

  NodeId m_Peer;
  bool m_NotRepeatable;
  bool m_MayStream;
  std::chrono::nanoseconds m_Patience;
  ForwardHandlers m_Handlers;
  std::shared_ptr<http::ClientCall> m_Call;
  relay::EventReader m_Events;
  TimePoint m_SilentSince;
  int m_Status = 0;
  std::optional<ForwardedAnswer> m_Answer;
  std::optional<Rejection> m_Rejection;
  std::string m_Body;
  bool m_Streaming = false;
  bool m_Paused = false;
  bool m_Ended = false;
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_FORWARD_H
