#pragma once

#include <optional>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/gossip/record_table.h"

namespace cornelrelay::gossip {

/// \brief An upstream as the records describe it.
struct KnownUpstream {
  core::UpstreamId upstream;
  core::HostId agent;
  UpstreamStatus status;
  core::Duration age{};  ///< since the agent's report
  bool leaving = false;  ///< draining, or under a notice for itself or its host

  friend bool operator==(const KnownUpstream&, const KnownUpstream&) = default;
};

/// \brief Which upstreams may receive new work.
///
/// An upstream stays usable when its agent is lost: its status ages and the router judges it by its
/// own results, so a mass loss of agents does not empty the pool.
/// \code
/// for (const KnownUpstream& u : UpstreamView(node.table()).Usable(now)) router.Add(u);
/// \endcode
class UpstreamView {
 public:
  explicit UpstreamView(const RecordTable& table) : m_table(table) {}

  std::vector<KnownUpstream> All(core::Instant now) const;
  std::vector<KnownUpstream> Usable(core::Instant now) const;
  std::optional<KnownUpstream> Find(const core::UpstreamId& upstream, core::Instant now) const;

 private:
  KnownUpstream Describe(const StoredRecord& stored, core::Instant now) const;

  const RecordTable& m_table;
};

}  // namespace cornelrelay::gossip
