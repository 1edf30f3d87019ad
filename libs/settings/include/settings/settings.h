/// \file
/// Reads JSON settings and checks them against a JSON schema.
///
/// Every problem is reported with the file, the JSON pointer of the value, the
/// value itself and what was expected. Unknown keys are refused because every
/// schema in this project sets `additionalProperties` to false. A running
/// system leaves them out and reports them, because its settings may have been
/// written for a newer version of the program.

#ifndef WASABIVALE_SETTINGS_SETTINGS_H
#define WASABIVALE_SETTINGS_SETTINGS_H

#include "base/base.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace wasabivale::settings {

using Json = nlohmann::json;

/// One finding: where, what stands there and what was expected.
struct Problem {
  std::string m_File;
  std::string m_Pointer; ///< JSON pointer; empty for the whole document.
  std::string m_Value;   ///< The offending value, shortened to 80 bytes.
  std::string m_Expected;
};

/// `file: pointer: value: expected ...` on one line.
std::string describe(const Problem &Finding);

/// Checks \p Document against \p Schema (JSON schema draft 7).
/// \returns every finding; empty when the document is valid.
std::vector<Problem> check(const Json &Document, const Json &Schema,
                           const std::string &File);

/// Removes the keys that \p Schema does not know, at any depth.
/// \returns what was removed.
std::vector<Problem> removeUnknownKeys(Json &Document, const Json &Schema,
                                       const std::string &File);

/// Parses \p Text and checks it. A syntax error yields one finding with line
/// and column in place of the pointer.
/// \param Ignored if set, unknown keys are removed and added here.
std::variant<Json, std::vector<Problem>>
parse(std::string_view Text, const Json &Schema, const std::string &File,
      std::vector<Problem> *Ignored = nullptr);

/// Reads a file and does the same. A file that cannot be read yields one
/// finding.
std::variant<Json, std::vector<Problem>>
load(const std::string &File, const Json &Schema,
     std::vector<Problem> *Ignored = nullptr);

} // namespace wasabivale::settings

#endif // WASABIVALE_SETTINGS_SETTINGS_H
