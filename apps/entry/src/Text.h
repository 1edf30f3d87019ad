/// \file
/// Checks and printing of text: UTF-8, JSON nesting, JSON strings.

#ifndef WASABIVALE_ENTRY_TEXT_H
#define WASABIVALE_ENTRY_TEXT_H

#include <cstddef>
#include <string>
#include <string_view>

namespace wasabivale::entry {

/// Whether \p Text is well-formed UTF-8 (no surrogates, no overlong forms).
bool isUtf8(std::string_view Text);

/// Deepest nesting of arrays and objects, strings left out. Counts brackets
/// only: the text need not be valid JSON.
std::size_t nestingDepth(std::string_view JsonText);

/// Appends \p Text with its quotes as a JSON string.
/// \pre isUtf8(Text)
void appendJsonString(std::string &To, std::string_view Text);

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_TEXT_H
