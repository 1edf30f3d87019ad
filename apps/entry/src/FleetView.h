/// \file
/// The fleet as control last described it, and the barriers that this entry
/// acknowledges.

#ifndef WASABIVALE_ENTRY_FLEETVIEW_H
#define WASABIVALE_ENTRY_FLEETVIEW_H

#include "base/base.h"
#include "http/http.h"
#include "reach/reach.h"
#include "routes/routes.h"
#include "routing/routing.h"
#include "wire.pb.h"
#include "workdigest/workdigest.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace wasabivale::entry {

class FleetView {
public:
  struct Known {
    wire::Target m_Description;
    std::optional<http::Address> m_Address; ///< None if it is not usable.
  };

  /// Applies an update here and to \p Routing. From its return on a target that
  /// is not serving gets no new work.
  void apply(const wire::FleetUpdate &Update, const routes::Table &Routes,
             routing::State &Routing, TimePoint Now);
  /// Routes tell what some targets do not say of themselves.
  void applyRoutes(const routes::Table &Routes, routing::State &Routing,
                   TimePoint Now);

  /// The target, or null.
  [[nodiscard]] const Known *find(const TargetId &Id) const;
  /// The target that a digest names by this key, or null.
  [[nodiscard]] const TargetId *findByKey(workdigest::TargetKey Key) const;
  [[nodiscard]] std::vector<TargetId> targetsAt(std::string_view Address) const;
  /// Whether this incarnation is registered and still reporting.
  [[nodiscard]] bool isCurrent(const TargetId &Id,
                               std::string_view Incarnation) const;
  /// Whether the target gets no new work and waits for what runs there.
  [[nodiscard]] bool isClosing(const TargetId &Id) const;
  [[nodiscard]] std::set<std::string> servedModels() const;
  /// Software versions of the targets that are registered, by service.
  [[nodiscard]] std::map<std::string, std::set<std::string>>
  softwareVersions() const;

  /// The target of a service that alone runs requests of suspect routes.
  struct Isolation {
    bool m_IsUsed = false; ///< False if the service has one address only.
    TargetId m_Target;     ///< Empty while none serves at the address.
  };
  /// Entries that know the same addresses choose the same one, also while its
  /// target restarts.
  [[nodiscard]] Isolation isolation(const std::string &Service) const;
  /// The targets that serve, one for each address.
  [[nodiscard]] std::vector<reach::Candidate> serving() const;
  [[nodiscard]] std::size_t size() const { return m_Targets.size(); }

  /// Acknowledges the generation of every target that gets no new work.
  void fillBarriers(const routing::State &Routing,
                    wire::EntryReport &Report) const;

  /// Reports targets that are closed by their own answers, and serve as far as
  /// control knows.
  void fillLeaving(const routing::State &Routing,
                   wire::EntryReport &Report) const;

private:
  void remove(const TargetId &Id, routing::State &Routing, TimePoint Now);

  std::map<TargetId, Known> m_Targets;
  std::unordered_map<workdigest::TargetKey, TargetId> m_ByKey;
  std::map<std::string, std::string> m_HealthPaths; ///< By service.
};

} // namespace wasabivale::entry

#endif // WASABIVALE_ENTRY_FLEETVIEW_H
