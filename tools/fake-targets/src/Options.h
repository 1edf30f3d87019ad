/// \file
/// The command line of `wasabivale-fake-targets`.

#ifndef WASABIVALE_FAKETARGETS_OPTIONS_H
#define WASABIVALE_FAKETARGETS_OPTIONS_H

#include "Settings.h"

namespace wasabivale::faketargets {

/// What the command line asks for: to run with settings, or to print a text
/// and exit.
struct Options {
  std::optional<Settings> m_Settings;
  std::string m_Text;
  int m_ExitCode = 0;
};

/// Options of the command line replace those of the settings file.
Options readOptions(int Count, const char *const *Arguments);

} // namespace wasabivale::faketargets

#endif // WASABIVALE_FAKETARGETS_OPTIONS_H
