#include "Headers.h"
#include "Pool.h"
#include "ResponseReader.h"

#include "events/events.h"

#include <algorithm>
#include <event2/bufferevent.h>
#include <optional>
#include <utility>

namespace wasabivale::http {

namespace {

std::optional<evhttp_cmd_type> methodOf(const std::string &Name) {
  const std::pair<const char *, evhttp_cmd_type> Methods[] = {
      {"GET", EVHTTP_REQ_GET},         {"POST", EVHTTP_REQ_POST},
      {"PUT", EVHTTP_REQ_PUT},         {"DELETE", EVHTTP_REQ_DELETE},
      {"HEAD", EVHTTP_REQ_HEAD},       {"PATCH", EVHTTP_REQ_PATCH},
      {"OPTIONS", EVHTTP_REQ_OPTIONS},
  };
  for (const auto &[Known, Value] : Methods)
    if (Name == Known)
      return Value;
  return std::nullopt;
}

constexpr const char *MalformedStep = "http.response";

const char *textOf(evhttp_request_error Kind) {
  switch (Kind) {
  case EVREQ_HTTP_TIMEOUT:
    return "timed out";
  case EVREQ_HTTP_EOF:
    return "the connection ended early";
  case EVREQ_HTTP_INVALID_HEADER:
    return "the answer's headers are invalid";
  case EVREQ_HTTP_BUFFER_ERROR:
    return "the connection broke";
  case EVREQ_HTTP_REQUEST_CANCEL:
    return "cancelled";
  case EVREQ_HTTP_DATA_TOO_LONG:
    return "the answer is too long";
  }
  return "the connection failed";
}

/// Keeps itself alive (`m_Self`) until the call has ended. The evhttp
/// connection must not be freed inside its own callbacks; it is freed from a
/// fresh turn of the loop.
class ClientCallState final : public ClientCall {
public:
  /// \param Keep null: the connection is fresh and closed afterwards.
  ClientCallState(event_base *Loop, ClientRequest What, ClientHandlers Handlers,
                  std::shared_ptr<Pool::State> Keep, bool Repeatable)
      : m_Loop(Loop), m_What(std::move(What)), m_Handlers(std::move(Handlers)),
        m_Reader(m_What.m_Method, m_What.m_HeadBytes), m_Pool(std::move(Keep)),
        m_Repeatable(Repeatable) {}

  ~ClientCallState() override {
    unwatch();
    if (m_Connection != nullptr)
      evhttp_connection_free(m_Connection);
  }

  void start(std::shared_ptr<ClientCallState> Self) {
    m_Self = std::move(Self);
    if (m_Pool != nullptr)
      ++m_Pool->m_UnderWay;
    const std::optional<evhttp_cmd_type> Method = methodOf(m_What.m_Method);
    if (!Method)
      return failSoon();
    m_HeardAt = BootClock::now();
    const Pool::State::Taken Taken =
        m_Pool == nullptr
            ? Pool::State::Taken{openConnection(m_Loop, m_What.m_To), false}
            : m_Pool->take(m_What, m_Repeatable);
    m_Connection = Taken.m_Connection;
    m_IsReused = Taken.m_IsReused;
    bufferevent *Buffer = evhttp_connection_get_bufferevent(m_Connection);
    m_Output = evbuffer_add_cb(bufferevent_get_output(Buffer), onOutput, this);
    m_Input = evbuffer_add_cb(bufferevent_get_input(Buffer), onInput, this);
    evhttp_connection_set_max_headers_size(
        m_Connection, static_cast<ev_ssize_t>(m_What.m_HeadBytes));
    evhttp_connection_set_max_body_size(
        m_Connection, static_cast<ev_ssize_t>(m_What.m_AnswerBytes));
    evhttp_request *Raw = evhttp_request_new(onComplete, this);
    evhttp_request_set_header_cb(Raw, onHead);
    evhttp_request_set_chunked_cb(Raw, onChunk);
    evhttp_request_set_error_cb(Raw, onError);
    evkeyvalq *Out = evhttp_request_get_output_headers(Raw);
    if (m_What.m_Fields.empty()) {
      addHeaders(Out, m_What.m_Headers);
      evhttp_add_header(Out, "Host", printAddress(m_What.m_To).c_str());
    } else {
      addFields(Out, m_What.m_Fields);
    }
    if (m_Pool == nullptr)
      evhttp_add_header(Out, "Connection", "close");
    // evhttp states the length of some methods only.
    if (!m_What.m_Body.empty())
      evhttp_add_header(Out, "Content-Length",
                        std::to_string(m_What.m_Body.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(Raw), m_What.m_Body.data(),
                 m_What.m_Body.size());
    const auto Left = std::chrono::ceil<std::chrono::milliseconds>(
        m_What.m_Deadline - BootClock::now());
    m_Deadline.emplace(m_Loop, std::max(Left, std::chrono::milliseconds(0)),
                       false, [this] { end("timed out"); });
    // On failure evhttp frees the request, or has already reported the error.
    if (evhttp_make_request(m_Connection, Raw, *Method,
                            m_What.m_Path.c_str()) != 0)
      return failSoon();
    if (m_Pool != nullptr)
      m_Connecting.emplace(m_Loop, m_Pool->m_Settings.m_Connect, false, [this] {
        if (m_HasSent)
          return;
        recordFailure();
        end("no connection in time");
      });
  }

  [[nodiscard]] bool hasSent() const override { return m_HasSent; }
  [[nodiscard]] bool isReused() const override { return m_IsReused; }

  void cancel() override {
    if (!m_InCallback)
      m_Handlers = {};
    close();
  }

  void pause() override {
    if (m_Connection != nullptr && !m_Ended)
      bufferevent_disable(evhttp_connection_get_bufferevent(m_Connection),
                          EV_READ);
  }

  void resume() override {
    if (m_Connection != nullptr && !m_Ended)
      bufferevent_enable(evhttp_connection_get_bufferevent(m_Connection),
                         EV_READ);
  }

private:
  void failSoon() {
    m_FailedAtStart.emplace(m_Loop, std::chrono::milliseconds(0), false,
                            [this] {
                              if (m_Connection != nullptr)
                                recordFailure();
                              end("the connection failed");
                            });
  }

  void unwatch() {
    if (m_Output == nullptr)
      return;
    bufferevent *Buffer = evhttp_connection_get_bufferevent(m_Connection);
    evbuffer_remove_cb_entry(bufferevent_get_output(Buffer),
                             std::exchange(m_Output, nullptr));
    evbuffer_remove_cb_entry(bufferevent_get_input(Buffer),
                             std::exchange(m_Input, nullptr));
  }

  static void onInput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                      void *Argument) {
    auto &Self = *static_cast<ClientCallState *>(Argument);
    if (Info->n_added == 0 || Self.m_IsRewriting)
      return;
    Self.recordReceived();
    if (Self.m_Ended)
      return;
    // The call ends within a turn of the loop, in which evhttp may read on.
    if (Self.m_BadInput) {
      evbuffer_drain(Buffer, evbuffer_get_length(Buffer));
      return;
    }
    Self.checkEarlyBytes();
    if (!Self.m_BadInput)
      Self.checkResponse(Buffer, Info->n_added);
    if (Self.m_BadInput)
      return;
    // evhttp bounds what it takes of the buffer, but takes nothing while the
    // request is written.
    if (evbuffer_get_length(Buffer) >
        Self.m_What.m_AnswerBytes + Self.m_What.m_HeadBytes)
      Self.endSoon("the answer is too long");
  }

  /// Replaces the last \p Added bytes of the buffer by what evhttp may parse of
  /// them. evhttp has not seen them yet.
  void checkResponse(evbuffer *Buffer, std::size_t Added) {
    if (m_Reader.skipContent(Added))
      return;
    m_IsRewriting = true;
    const std::unique_ptr<evbuffer, decltype(&evbuffer_free)> Former(
        evbuffer_new(), evbuffer_free);
    evbuffer_remove_buffer(Buffer, Former.get(),
                           evbuffer_get_length(Buffer) - Added);
    std::string Checked;
    const std::optional<ResponseFault> Fault =
        m_Reader.feed(takeBody(Buffer), Checked);
    evbuffer_add_buffer(Buffer, Former.get());
    evbuffer_add(Buffer, Checked.data(), Checked.size());
    m_IsRewriting = false;
    if (Fault)
      rejectResponse(*Fault);
  }

  void rejectResponse(ResponseFault Fault) {
    m_Fault = Fault;
    countMalformedResponse(Fault);
    events::emit(events::Event::ResponseMalformed,
                 {{"peer", printAddress(m_What.m_To)},
                  {"request", m_What.m_LogId},
                  {"reason", responseFaultName(Fault)},
                  {"reused", m_IsReused}});
    endSoon(responseFaultText(Fault));
  }

  /// Bytes that arrive before the request has been written answer something
  /// else.
  void checkEarlyBytes() {
    bufferevent *Buffer = evhttp_connection_get_bufferevent(m_Connection);
    if (m_HasSent) {
      m_IsEarly =
          m_IsEarly || evbuffer_get_length(bufferevent_get_output(Buffer)) > 0;
      return;
    }
    bufferevent_disable(Buffer, EV_WRITE);
    endSoon("bytes arrived before the request was sent");
  }

  void endSoon(const char *Message) {
    if (!m_BadInput)
      m_BadInput.emplace(m_Loop, std::chrono::milliseconds(0), false,
                         [this, Message] { end(Message); });
  }

  static void onOutput(evbuffer *, const evbuffer_cb_info *Info,
                       void *Argument) {
    auto &Self = *static_cast<ClientCallState *>(Argument);
    if (Info->n_deleted == 0 || Self.m_HasSent)
      return;
    Self.m_HasSent = true;
    // What can be read already was sent before the request arrived.
    Self.m_IsEarly = Self.m_IsEarly || !hasNoInput(Self.m_Connection);
    if (Self.m_Pool == nullptr)
      return;
    Self.m_Pool->watchSilence(Self.m_Connection);
    if (!Self.m_IsReused && Self.m_Pool->m_Observer.m_OnConnected)
      Self.m_Pool->m_Observer.m_OnConnected(Self.m_What.m_To);
  }

  void recordReceived() {
    if (m_Pool == nullptr)
      return;
    m_HeardAt = BootClock::now();
    if (m_Pool->m_Observer.m_OnReceived)
      m_Pool->m_Observer.m_OnReceived();
  }

  void recordFailure() const {
    if (m_Pool != nullptr && m_Pool->m_Observer.m_OnFailure)
      m_Pool->m_Observer.m_OnFailure(m_What.m_To, m_HeardAt);
  }

  static int onHead(evhttp_request *Raw, void *Argument) {
    auto &Self = *static_cast<ClientCallState *>(Argument);
    if (Self.m_Ended)
      return 0;
    Self.m_Response.m_Status = evhttp_request_get_response_code(Raw);
    Self.m_Response.m_Headers =
        toHeaders(evhttp_request_get_input_headers(Raw));
    Self.m_Response.m_Fields = toFields(evhttp_request_get_input_headers(Raw));
    Self.tell(Self.m_Handlers.m_OnHead, Self.m_Response.m_Status,
              Self.m_Response.m_Headers);
    if (!Self.m_Ended)
      Self.tell(Self.m_Handlers.m_OnFields, Self.m_Response.m_Status,
                Self.m_Response.m_Fields);
    return 0;
  }

  static void onChunk(evhttp_request *Raw, void *Argument) {
    auto &Self = *static_cast<ClientCallState *>(Argument);
    const std::string Piece = takeBody(evhttp_request_get_input_buffer(Raw));
    if (Self.m_Ended)
      return;
    if (Self.m_Handlers.m_OnChunk)
      Self.passOn(Piece);
    else
      Self.m_Response.m_Body += Piece;
  }

  void passOn(std::string_view Piece) {
    // evhttp counts the whole body; what was passed on is no longer held.
    m_PassedOn += Piece.size();
    evhttp_connection_set_max_body_size(
        m_Connection,
        static_cast<ev_ssize_t>(m_PassedOn + m_What.m_AnswerBytes));
    tell(m_Handlers.m_OnChunk, Piece);
  }

  /// Runs a callback, which may cancel the call: it must outlive its own run.
  template <typename Callback, typename... Values>
  void tell(const Callback &Told, const Values &...With) {
    if (!Told)
      return;
    m_InCallback = true;
    Told(With...);
    m_InCallback = false;
    if (m_Ended)
      m_Handlers = {};
  }

  static void onError(evhttp_request_error Kind, void *Argument) {
    auto &Self = *static_cast<ClientCallState *>(Argument);
    Self.m_ErrorText = textOf(Kind);
    Self.m_IsPeerError =
        Kind == EVREQ_HTTP_INVALID_HEADER || Kind == EVREQ_HTTP_DATA_TOO_LONG;
  }

  static void onComplete(evhttp_request *Raw, void *Argument) {
    auto &Self = *static_cast<ClientCallState *>(Argument);
    if (Raw == nullptr || evhttp_request_get_response_code(Raw) == 0) {
      if (!Self.m_Ended && !Self.m_IsPeerError && !Self.m_Fault)
        Self.recordFailure();
      Self.end(Self.m_ErrorText);
      return;
    }
    Self.m_Response.m_Body += takeBody(evhttp_request_get_input_buffer(Raw));
    Self.m_Response.m_Status = evhttp_request_get_response_code(Raw);
    Self.m_IsWhole = true;
    Self.endWith(std::move(Self.m_Response));
  }

  /// \param Message unless the response is malformed.
  void end(const char *Message) {
    const std::string Peer = printAddress(m_What.m_To);
    if (m_Fault)
      return endWith(Error{MalformedStep, Peer, responseFaultText(*m_Fault)});
    endWith(Error{"http.call", Peer, Message});
  }

  void endWith(Result<Response> Ending) {
    if (m_Ended)
      return;
    const auto OnDone = std::move(m_Handlers.m_OnDone);
    m_Handlers = {};
    if (m_IsWhole)
      m_Response.m_Fields = valueOf(Ending).m_Fields;
    close();
    if (OnDone)
      OnDone(std::move(Ending));
  }

  void close() {
    if (m_Ended)
      return;
    m_Ended = true;
    if (m_Pool != nullptr)
      --m_Pool->m_UnderWay;
    unwatch();
    if (m_Pool != nullptr && m_IsWhole && !m_IsEarly && m_Connection != nullptr)
      m_Pool->giveBack(std::exchange(m_Connection, nullptr), m_What.m_To,
                       m_Response.m_Fields);
    const timeval AtOnce{0, 0};
    auto *Last = new std::shared_ptr<ClientCallState>(std::move(m_Self));
    event_base_once(
        m_Loop, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void *Argument) {
          const std::unique_ptr<std::shared_ptr<ClientCallState>> Held(
              static_cast<std::shared_ptr<ClientCallState> *>(Argument));
          if (auto *Raw = std::exchange((*Held)->m_Connection, nullptr))
            evhttp_connection_free(Raw);
          (*Held)->m_Deadline.reset();
          (*Held)->m_Connecting.reset();
          (*Held)->m_BadInput.reset();
        },
        Last, &AtOnce);
  }

  event_base *m_Loop;
  ClientRequest m_What;
  ClientHandlers m_Handlers;
  Response m_Response;
  ResponseReader m_Reader;
  std::optional<ResponseFault> m_Fault;
  const char *m_ErrorText = "the connection failed";
  evhttp_connection *m_Connection = nullptr;
  std::optional<Timer> m_Deadline;
  std::optional<Timer> m_FailedAtStart;
  std::optional<Timer> m_Connecting;
  std::optional<Timer> m_BadInput;
  std::shared_ptr<Pool::State> m_Pool;
  bool m_Repeatable;
  evbuffer_cb_entry *m_Output = nullptr;
  evbuffer_cb_entry *m_Input = nullptr;
  std::shared_ptr<ClientCallState> m_Self;
  std::size_t m_PassedOn = 0; ///< Bytes of the body given to `m_OnChunk`.
  TimePoint m_HeardAt;        ///< Newest bytes received, or the start.
  bool m_IsPeerError = false; ///< The peer's bytes are at fault.
  bool m_InCallback = false;
  bool m_IsRewriting = false; ///< The input buffer is being changed here.
  bool m_HasSent = false;
  bool m_IsReused = false;
  bool m_IsEarly = false; ///< Bytes came before the request was written.
  bool m_IsWhole = false;
  bool m_Ended = false;
};

} // namespace

bool isMalformedResponse(const Error &Failure) {
  return Failure.m_Step == MalformedStep;
}

std::shared_ptr<ClientCall> call(event_base *Loop, ClientRequest What,
                                 ClientHandlers Handlers) {
  ignoreBrokenPipes();
  auto Made = std::make_shared<ClientCallState>(
      Loop, std::move(What), std::move(Handlers), nullptr, true);
  Made->start(Made);
  return Made;
}

std::shared_ptr<ClientCall>
Pool::call(ClientRequest What, ClientHandlers Handlers, bool Repeatable) {
  auto Made = std::make_shared<ClientCallState>(
      m_State->m_Loop, std::move(What), std::move(Handlers), m_State,
      Repeatable);
  Made->start(Made);
  return Made;
}

} // namespace wasabivale::http
