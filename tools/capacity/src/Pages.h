/// \file
/// The capacity pages as their inputs make them.

#ifndef WASABIVALE_TOOLS_CAPACITY_PAGES_H
#define WASABIVALE_TOOLS_CAPACITY_PAGES_H

#include "capacity/capacity.h"

namespace wasabivale::pages {

struct Page {
  std::string m_File;
  std::string m_Old; ///< As it stands on disk.
  std::string m_New; ///< As its inputs make it.
};

/// Reads the pages below \p Docs and the inputs below \p Inputs.
Result<std::vector<Page>> makePages(const std::string &Docs,
                                    const std::string &Inputs);

} // namespace wasabivale::pages

#endif // WASABIVALE_TOOLS_CAPACITY_PAGES_H
