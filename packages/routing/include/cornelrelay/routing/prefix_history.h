#pragma once

#include <cstddef>
#include <list>
#include <map>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/routing/route_query.h"

namespace cornelrelay::routing {

/// \brief Which replicas hold a prefix, from what this router sent and from late cache events.
///
/// Holds the `capacity` most recently used prefixes.
class PrefixHistory {
 public:
  PrefixHistory(std::size_t capacity, core::Duration lifetime);

  void Sent(core::Instant now, const PrefixKey& key, const core::UpstreamId& replica);
  void Evicted(const PrefixKey& key, const core::UpstreamId& replica);
  void Forget(const core::UpstreamId& replica);

  /// \brief Chance in [0, 1] that `replica` still holds `key`; falls linearly over the lifetime.
  double HitChance(core::Instant now, const PrefixKey& key, const core::UpstreamId& replica) const;

  /// \brief Replica with the freshest copy, or null.
  const core::UpstreamId* Freshest(const PrefixKey& key) const;

  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::map<core::UpstreamId, core::Instant> holders;
    std::list<PrefixKey>::iterator used;
  };

  std::size_t m_capacity;
  core::Duration m_lifetime;
  std::map<PrefixKey, Entry> m_entries;
  std::list<PrefixKey> m_use_order;  // most recent first
};

}  // namespace cornelrelay::routing
