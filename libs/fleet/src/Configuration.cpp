#include "Configuration.h"

#include "FleetMutations.h"
#include "Replies.h"

#include <fmt/format.h>

namespace wasabivale::fleet {

namespace {

void dropOld(Configuration &In) {
  while (In.m_History.size() > RevisionsKept)
    In.m_History.pop_front();
  if (In.m_History.size() > DocumentsKept)
    In.m_History[In.m_History.size() - DocumentsKept - 1].m_Document.clear();
}

} // namespace

std::string_view currentDocument(const Configuration &In) {
  return In.m_History.empty() ? std::string_view()
                              : In.m_History.back().m_Document;
}

void adopt(Configuration &In) {
  const Json Document = Json::parse(currentDocument(In), nullptr, false);
  In.m_LoadsAtOnce = 1;
  if (!Document.is_object())
    return;
  const auto Store = Document.find("weight_store");
  if (Store != Document.end() && Store->is_object())
    In.m_LoadsAtOnce =
        static_cast<std::uint32_t>(numberOf(*Store, "loads_at_once", 1));
}

Reply acceptConfiguration(State &On, std::uint64_t Replaces,
                          const std::string &Document,
                          const std::string &Actor) {
  Configuration &In = On.m_Configuration;
  if (Replaces != In.m_Revision) {
    const std::string Winner =
        In.m_History.empty() ? "nobody" : In.m_History.back().m_Actor;
    return refuse(
        Refusal::RevisionConflict,
        fmt::format("the revision is {}, by {}", In.m_Revision, Winner));
  }
  if (!Json::parse(Document, nullptr, false).is_object())
    return refuse(Refusal::InvalidConfiguration, "not a JSON object");
  const std::uint64_t Next =
      mutated(Mutation::RevertRevision) && In.m_Revision > 0
          ? In.m_Revision
          : In.m_Revision + 1;
  FLEET_INVARIANT(Next > In.m_Revision);
  In.m_Revision = Next;
  In.m_History.push_back(
      {Next, Actor, digestHex(Document), On.m_Now, Document});
  dropOld(In);
  adopt(In);
  return accept(
      Json{{"revision", Next}, {"digest", In.m_History.back().m_Digest}}
          .dump());
}

} // namespace wasabivale::fleet
