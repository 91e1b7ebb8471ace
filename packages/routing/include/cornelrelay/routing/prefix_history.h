#pragma once

#include <cstddef>
#include <list>
#include <map>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/routing/route_query.h"

namespace cornelrelay::routing {

/// \brief Estimates which replicas have a prompt prefix in their cache.
///
/// The estimate rests on the requests that this router sent and on the cache events of engines,
/// which arrive late. Only the `capacity` most recently used prefixes are stored.
class PrefixHistory {
 public:
  /// \param capacity  greatest number of prefixes; at least 1 is stored
  /// \param lifetime  time after its last use at which a cached prefix counts as evicted
  PrefixHistory(std::size_t capacity, core::Duration lifetime);

  /// \brief Records that `replica` used `key` at `now`. An empty key is ignored.
  void Insert(core::Instant now, const PrefixKey& key, const core::UpstreamId& replica);
  /// \brief Records that `replica` evicted `key`.
  void Erase(const PrefixKey& key, const core::UpstreamId& replica);
  void EraseReplica(const core::UpstreamId& replica);

  /// \brief Estimated probability in [0, 1] that `replica` still holds `key`.
  ///
  /// It falls linearly from 1 at the last use to 0 at the end of the lifetime.
  double HitProbability(core::Instant now, const PrefixKey& key,
                        const core::UpstreamId& replica) const;

  /// \brief Returns the replica that used `key` last, or null if none is known.
  ///
  /// The pointer is valid until the history changes.
  const core::UpstreamId* MostRecentHolder(const PrefixKey& key) const;

  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::map<core::UpstreamId, core::Instant> holders;  // with the time of the last use
    std::list<PrefixKey>::iterator use_position;        // in `m_use_order`
  };

  std::size_t m_capacity;
  core::Duration m_lifetime;
  std::map<PrefixKey, Entry> m_entries;
  std::list<PrefixKey> m_use_order;  // most recently used first
};

}  // namespace cornelrelay::routing
