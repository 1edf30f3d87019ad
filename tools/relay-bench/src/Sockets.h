/// \file
/// Addresses as the socket calls want them.

#ifndef WASABIVALE_RELAY_BENCH_SOCKETS_H
#define WASABIVALE_RELAY_BENCH_SOCKETS_H

#include "http/http.h"

#include <netinet/in.h>

namespace wasabivale::relaybench {

inline sockaddr_in toSocketAddress(const http::Address &From) {
  sockaddr_in Made{};
  Made.sin_family = AF_INET;
  Made.sin_port = htons(From.m_Port);
  evutil_inet_pton(AF_INET, From.m_Host.c_str(), &Made.sin_addr);
  return Made;
}

} // namespace wasabivale::relaybench

#endif // WASABIVALE_RELAY_BENCH_SOCKETS_H
