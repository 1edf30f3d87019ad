#include "ErrorPages.h"

#include <charconv>
#include <fmt/format.h>

namespace wasabivale::http {

namespace {

constexpr std::string_view StatusLine = "HTTP/1.";
constexpr std::size_t StatusAt = 9; // After "HTTP/1.x ".
constexpr int LowestError = 400;

/// Status of the answer that \p Output starts with, or zero.
int statusOf(std::string_view Output) {
  int Status = 0;
  if (Output.substr(0, StatusLine.size()) != StatusLine ||
      Output.size() < StatusAt + 3)
    return 0;
  std::from_chars(Output.data() + StatusAt, Output.data() + StatusAt + 3,
                  Status);
  return Status;
}

std::string print(const Response &Page) {
  std::string Text = fmt::format("HTTP/1.1 {} Refused\r\n", Page.m_Status);
  for (const auto &[Name, Value] : Page.m_Headers)
    Text += fmt::format("{}: {}\r\n", Name, Value);
  Text += fmt::format("Connection: close\r\nContent-Length: {}\r\n\r\n",
                      Page.m_Body.size());
  return Text + Page.m_Body;
}

} // namespace

ErrorPages::ErrorPages(event_base *Loop, bufferevent *Buffer, ErrorPage Page,
                       std::function<bool()> IsAnswering)
    : m_Buffer(Buffer), m_Page(std::move(Page)),
      m_IsAnswering(std::move(IsAnswering)),
      m_Watch(evbuffer_add_cb(bufferevent_get_output(Buffer), onOutput, this)),
      m_Replace(event_new(
          Loop, -1, 0,
          [](evutil_socket_t, short, void *Argument) {
            static_cast<ErrorPages *>(Argument)->replace();
          },
          this)) {}

ErrorPages::~ErrorPages() {
  evbuffer_remove_cb_entry(bufferevent_get_output(m_Buffer), m_Watch);
  event_free(m_Replace);
}

void ErrorPages::onOutput(evbuffer *, const evbuffer_cb_info *Info,
                          void *Argument) {
  auto &Self = *static_cast<ErrorPages *>(Argument);
  if (Info->n_added == 0 || Self.m_Replacing || Self.m_IsAnswering())
    return;
  event_active(Self.m_Replace, EV_TIMEOUT, 0);
}

void ErrorPages::replace() {
  evbuffer *Output = bufferevent_get_output(m_Buffer);
  // A bufferevent keeps the start of its output to itself.
  evbuffer_unfreeze(Output, 1);
  std::string Sent(evbuffer_get_length(Output), '\0');
  evbuffer_copyout(Output, Sent.data(), Sent.size());
  if (const int Status = statusOf(Sent); Status >= LowestError) {
    const std::string Page = print(m_Page(Status));
    m_Replacing = true;
    evbuffer_drain(Output, Sent.size());
    evbuffer_add(Output, Page.data(), Page.size());
    m_Replacing = false;
  }
  evbuffer_freeze(Output, 1);
}

} // namespace wasabivale::http
