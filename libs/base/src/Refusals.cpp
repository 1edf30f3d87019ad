#include "base/base.h"

#include <array>
#include <cctype>

namespace wasabivale {

namespace {

struct Row {
  std::uint16_t m_Number;
  std::string_view m_Identifier;
  int m_HttpStatus;
  bool m_RetryHelps;
  std::string_view m_Text;
};

constexpr std::array Rows = {
#define REFUSAL(Number, Name, Status, RetryHelps, Text)                        \
  Row{Number, #Name, Status, RetryHelps, Text},
#include "base/Refusals.def"
};

const std::array<std::string, Rows.size()> &names() {
  static const auto Built = [] {
    std::array<std::string, Rows.size()> Names;
    for (std::size_t I = 0; I < Rows.size(); ++I)
      Names[I] = snakeCase(Rows[I].m_Identifier);
    return Names;
  }();
  return Built;
}

} // namespace

std::string snakeCase(std::string_view Identifier) {
  std::string Name;
  for (const char Letter : Identifier) {
    if (std::isupper(static_cast<unsigned char>(Letter)) != 0 && !Name.empty())
      Name += '_';
    Name += static_cast<char>(std::tolower(static_cast<unsigned char>(Letter)));
  }
  return Name;
}

std::size_t refusalCount() { return Rows.size(); }

const RefusalInfo &refusalAt(std::size_t Index) {
  static const auto Built = [] {
    std::array<RefusalInfo, Rows.size()> Infos;
    for (std::size_t I = 0; I < Rows.size(); ++I)
      Infos[I] = {Rows[I].m_Number, names()[I], Rows[I].m_HttpStatus,
                  Rows[I].m_RetryHelps, Rows[I].m_Text};
    return Infos;
  }();
  return Built.at(Index);
}

const RefusalInfo &refusalInfo(Refusal Reason) {
  for (std::size_t I = 0; I < Rows.size(); ++I)
    if (Rows[I].m_Number == static_cast<std::uint16_t>(Reason))
      return refusalAt(I);
  invariantBroken("the reason is in the catalogue", __FILE__, __LINE__);
}

} // namespace wasabivale
