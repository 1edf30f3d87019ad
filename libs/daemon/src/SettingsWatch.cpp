#include "daemon/daemon.h"

#include "events/events.h"

#include <fstream>
#include <sstream>

namespace wasabivale::daemon {

namespace {

/// How often a file that changed without a signal is looked for.
constexpr std::chrono::milliseconds LookInterval{2000};

std::string textOf(const std::string &File) {
  std::ifstream Input(File, std::ios::binary);
  std::ostringstream Text;
  Text << Input.rdbuf();
  return Text.str();
}

} // namespace

SettingsWatch::SettingsWatch(EventLoop &Loop, std::string File,
                             settings::Json Schema, settings::Json Former,
                             std::function<void(const settings::Json &)> Apply)
    : m_File(std::move(File)), m_Schema(std::move(Schema)),
      m_Former(std::move(Former)), m_FormerText(textOf(m_File)),
      m_Apply(std::move(Apply)) {
  Loop.onReload([this] { look(true); });
  m_Timer = std::make_unique<http::Timer>(Loop.base(), LookInterval, true,
                                          [this] { look(false); });
}

void SettingsWatch::look(bool Asked) {
  const std::string Text = textOf(m_File);
  if (!Asked && Text == m_FormerText)
    return;
  m_FormerText = Text;
  std::vector<settings::Problem> Ignored;
  const auto Read = settings::parse(Text, m_Schema, m_File, &Ignored);
  reportIgnored(Ignored);
  if (const auto *Problems =
          std::get_if<std::vector<settings::Problem>>(&Read)) {
    for (const settings::Problem &Each : *Problems)
      events::emit(events::Event::ReloadRefused,
                   {{"file", m_File},
                    {"pointer", Each.m_Pointer},
                    {"value", Each.m_Value},
                    {"expected", Each.m_Expected}});
    return;
  }
  const auto &Next = std::get<settings::Json>(Read);
  const bool Changed = Next != m_Former;
  events::emit(events::Event::SettingsReloaded,
               {{"file", m_File}, {"signal", Asked}, {"changed", Changed}});
  if (!Changed)
    return;
  m_Former = Next;
  m_Apply(Next);
}

} // namespace wasabivale::daemon
