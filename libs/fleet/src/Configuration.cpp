#include "Configuration.h"

#include "FleetMutations.h"
#include "Replies.h"

#include <fmt/format.h>

namespace wasabivale::fleet {

namespace {

void trimHistory(Configuration &Configuration) {
  while (Configuration.m_History.size() > MaxConfigurationRevisions)
    Configuration.m_History.pop_front();
  if (Configuration.m_History.size() > MaxConfigurationDocuments)
    Configuration
        .m_History[Configuration.m_History.size() - MaxConfigurationDocuments -
                   1]
        .m_Document.clear();
}

} // namespace

std::string_view currentDocument(const Configuration &Configuration) {
  return Configuration.m_History.empty()
             ? std::string_view()
             : Configuration.m_History.back().m_Document;
}

void updateDerivedSettings(Configuration &Configuration) {
  const Json Document =
      Json::parse(currentDocument(Configuration), nullptr, false);
  Configuration.m_MaxConcurrentLoads = 1;
  if (!Document.is_object())
    return;
  const auto Store = Document.find("weight_store");
  if (Store != Document.end() && Store->is_object())
    Configuration.m_MaxConcurrentLoads =
        static_cast<std::uint32_t>(numberOf(*Store, "loads_at_once", 1));
}

Reply acceptConfiguration(State &Fleet, std::uint64_t ExpectedRevision,
                          const std::string &Document,
                          const std::string &Actor) {
  Configuration &Configuration = Fleet.m_Configuration;
  if (ExpectedRevision != Configuration.m_Revision) {
    const std::string LastActor = Configuration.m_History.empty()
                                      ? "nobody"
                                      : Configuration.m_History.back().m_Actor;
    return refuse(Refusal::RevisionConflict,
                  fmt::format("the revision is {}, by {}",
                              Configuration.m_Revision, LastActor));
  }
  if (!Json::parse(Document, nullptr, false).is_object())
    return refuse(Refusal::InvalidConfiguration, "not a JSON object");
  const std::uint64_t Next =
      mutated(Mutation::RevertRevision) && Configuration.m_Revision > 0
          ? Configuration.m_Revision
          : Configuration.m_Revision + 1;
  FLEET_INVARIANT(Next > Configuration.m_Revision);
  Configuration.m_Revision = Next;
  Configuration.m_History.push_back(
      {Next, Actor, digestHex(Document), Fleet.m_Now, Document});
  trimHistory(Configuration);
  updateDerivedSettings(Configuration);
  return accept(Json{{"revision", Next},
                     {"digest", Configuration.m_History.back().m_Digest}}
                    .dump());
}

} // namespace wasabivale::fleet
