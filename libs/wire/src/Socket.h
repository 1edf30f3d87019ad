/// \file
/// RAII around ZeroMQ's context, sockets and messages.

#ifndef WASABIVALE_WIRE_SRC_SOCKET_H
#define WASABIVALE_WIRE_SRC_SOCKET_H

#include "base/base.h"

#include <string>
#include <string_view>
#include <vector>
#include <zmq.h>

namespace wasabivale::wire {

class Context {
public:
  Context() : m_Handle(zmq_ctx_new()) {}
  ~Context() { zmq_ctx_term(m_Handle); }
  Context(const Context &) = delete;
  Context &operator=(const Context &) = delete;
  [[nodiscard]] void *handle() const { return m_Handle; }

private:
  void *m_Handle;
};

/// One received part with the identity that its sender's key proved.
struct Part {
  std::string m_Bytes;
  std::string m_UserId;
};

class Socket {
public:
  Socket(const Context &In, int Type)
      : m_Handle(zmq_socket(In.handle(), Type)) {}
  ~Socket() { zmq_close(m_Handle); }
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  [[nodiscard]] void *handle() const { return m_Handle; }
  void set(int Option, int Value) {
    zmq_setsockopt(m_Handle, Option, &Value, sizeof(Value));
  }
  void set(int Option, std::string_view Value) {
    zmq_setsockopt(m_Handle, Option, Value.data(), Value.size());
  }
  [[nodiscard]] int fileDescriptor() const;
  [[nodiscard]] bool readable() const;
  /// Receives the parts of one message without waiting. Empty when none waits.
  [[nodiscard]] std::vector<Part> receive();
  /// Sends the parts without waiting. \returns false when nothing was queued.
  [[nodiscard]] bool send(const std::vector<std::string_view> &Parts);

private:
  void *m_Handle;
};

} // namespace wasabivale::wire

#endif // WASABIVALE_WIRE_SRC_SOCKET_H
