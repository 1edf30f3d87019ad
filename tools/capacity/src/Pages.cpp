#include "Pages.h"

#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace wasabivale::pages {

namespace {

struct Inputs {
  capacity::Design m_Design;
  capacity::Slopes m_Slopes;
  capacity::Deployment m_Letter;
  capacity::Deployment m_Cooperative;
  capacity::Deployment m_Malabar;
};

Result<std::string> readText(const std::string &File) {
  std::ifstream Input(File);
  if (!Input)
    return Error{"capacity.read", File, "cannot be read"};
  std::ostringstream Text;
  Text << Input.rdbuf();
  return Text.str();
}

Result<settings::Json> readChecked(const std::string &File,
                                   const settings::Json &Schema) {
  auto Loaded = settings::load(File, Schema);
  if (const auto *Problems =
          std::get_if<std::vector<settings::Problem>>(&Loaded))
    return Error{"capacity.read", File, settings::describe(Problems->front())};
  return std::get<settings::Json>(std::move(Loaded));
}

Status readDeployment(const std::string &File, capacity::Deployment &To) {
  const auto Document = readChecked(File, capacity::deploymentSchema());
  if (failed(Document))
    return errorOf(Document);
  To = capacity::toDeployment(valueOf(Document));
  return std::monostate{};
}

Result<Inputs> readInputs(const std::string &Folder) {
  Inputs Read;
  const auto Design =
      readChecked(Folder + "/design.json", capacity::designSchema());
  if (failed(Design))
    return errorOf(Design);
  Read.m_Design = capacity::toDesign(valueOf(Design));
  const auto Slopes =
      readChecked(Folder + "/slopes.json", settings::Json{{"type", "object"}});
  if (failed(Slopes))
    return errorOf(Slopes);
  auto Parsed = capacity::parseSlopes(valueOf(Slopes));
  if (failed(Parsed))
    return errorOf(Parsed);
  Read.m_Slopes = valueOf(Parsed);
  const std::pair<const char *, capacity::Deployment *> Deployments[] = {
      {"letter", &Read.m_Letter},
      {"co-operative", &Read.m_Cooperative},
      {"malabar", &Read.m_Malabar}};
  for (const auto &[Name, To] : Deployments)
    if (Status Done =
            readDeployment(fmt::format("{}/{}.json", Folder, Name), *To);
        failed(Done))
      return errorOf(Done);
  return Read;
}

struct Section {
  const char *m_Name;
  std::string m_Text;
};

Result<Page> makePage(const std::string &File,
                      const std::vector<Section> &Sections) {
  const auto Old = readText(File);
  if (failed(Old))
    return errorOf(Old);
  Page Made{File, valueOf(Old), valueOf(Old)};
  for (const Section &One : Sections) {
    const auto Next =
        capacity::replaceSection(Made.m_New, One.m_Name, One.m_Text);
    if (failed(Next))
      return errorOf(Next);
    Made.m_New = valueOf(Next);
  }
  return Made;
}

} // namespace

Result<std::vector<Page>> makePages(const std::string &Docs,
                                    const std::string &InputFolder) {
  const auto Read = readInputs(InputFolder);
  if (failed(Read))
    return errorOf(Read);
  const Inputs &In = valueOf(Read);
  const auto Demands =
      capacity::demandRows(In.m_Letter, In.m_Design, In.m_Slopes);
  const auto Roles = capacity::roleRows(In.m_Letter, In.m_Design, In.m_Slopes);
  const auto Cooperative =
      capacity::roleRows(In.m_Cooperative, In.m_Design, In.m_Slopes);
  const auto Malabar =
      capacity::roleRows(In.m_Malabar, In.m_Design, In.m_Slopes);
  for (const auto *Rows : {&Demands, &Roles, &Cooperative, &Malabar})
    if (failed(*Rows))
      return errorOf(*Rows);
  const auto Capacity =
      makePage(Docs + "/CAPACITY.md",
               {{"demands", capacity::printRows(valueOf(Demands))},
                {"roles", capacity::printRows(valueOf(Roles))},
                {"slopes", capacity::printSlopeTable(In.m_Slopes)}});
  if (failed(Capacity))
    return errorOf(Capacity);
  const auto Sizing =
      makePage(Docs + "/operations/sizing.md",
               {{"co-operative", capacity::printRows(valueOf(Cooperative))},
                {"malabar", capacity::printRows(valueOf(Malabar))}});
  if (failed(Sizing))
    return errorOf(Sizing);
  return std::vector<Page>{valueOf(Capacity), valueOf(Sizing)};
}

} // namespace wasabivale::pages
