/// \file
/// Conversions between evhttp's types and this library's.

#ifndef WASABIVALE_HTTP_SRC_HEADERS_H
#define WASABIVALE_HTTP_SRC_HEADERS_H

#include "http/http.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace wasabivale::http {

Headers toHeaders(const evkeyvalq *From);
void addHeaders(evkeyvalq *To, const Headers &From);
Fields toFields(const evkeyvalq *From);
void addFields(evkeyvalq *To, const Fields &From);
/// Whether the length of a request is stated in a way that another reader could
/// take differently, or it has a body where evhttp reads none.
bool isAmbiguous(const std::string &Method, const Fields &Of);
/// Whether it may be the name of a field (RFC 9110, 5.6.2).
bool isToken(std::string_view Name);
std::string takeBody(evbuffer *From);
/// Writing to a connection that the peer has closed must not end the process.
void ignoreBrokenPipes();

} // namespace wasabivale::http

#endif // WASABIVALE_HTTP_SRC_HEADERS_H
