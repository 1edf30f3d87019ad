#include "Socket.h"

namespace wasabivale::wire {

int Socket::fileDescriptor() const {
  int Descriptor = -1;
  std::size_t Size = sizeof(Descriptor);
  zmq_getsockopt(m_Handle, ZMQ_FD, &Descriptor, &Size);
  return Descriptor;
}

bool Socket::readable() const {
  int Events = 0;
  std::size_t Size = sizeof(Events);
  zmq_getsockopt(m_Handle, ZMQ_EVENTS, &Events, &Size);
  return (Events & ZMQ_POLLIN) != 0;
}

std::vector<Part> Socket::receive() {
  std::vector<Part> Parts;
  bool More = true;
  while (More) {
    zmq_msg_t Message;
    zmq_msg_init(&Message);
    if (zmq_msg_recv(&Message, m_Handle, ZMQ_DONTWAIT) < 0) {
      zmq_msg_close(&Message);
      return {};
    }
    Part Received;
    Received.m_Bytes.assign(static_cast<const char *>(zmq_msg_data(&Message)),
                            zmq_msg_size(&Message));
    if (const char *UserId = zmq_msg_gets(&Message, "User-Id"))
      Received.m_UserId = UserId;
    More = zmq_msg_more(&Message) != 0;
    zmq_msg_close(&Message);
    Parts.push_back(std::move(Received));
  }
  return Parts;
}

bool Socket::send(const std::vector<std::string_view> &Parts) {
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    const int Flags = ZMQ_DONTWAIT | (I + 1 < Parts.size() ? ZMQ_SNDMORE : 0);
    if (zmq_send(m_Handle, Parts[I].data(), Parts[I].size(), Flags) < 0)
      return false;
  }
  return true;
}

} // namespace wasabivale::wire
