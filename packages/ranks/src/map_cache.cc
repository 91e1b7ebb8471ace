#include "cornelrelay/ranks/map_cache.h"

#include <algorithm>
#include <utility>

namespace cornelrelay::ranks {

const MapCache::Entry* MapCache::Find(balance::MapDigest digest) const {
  const auto found = std::find_if(m_entries.begin(), m_entries.end(),
                                  [&](const Entry& entry) { return entry.digest == digest; });
  return found == m_entries.end() ? nullptr : &*found;
}

void MapCache::Add(const balance::SharedLayerMap& map) {
  const balance::MapDigest digest = balance::DigestOf(map.layers());
  if (Find(digest) != nullptr) return;
  m_entries.push_back({digest, map});
  if (m_entries.size() > kCapacity) m_entries.pop_front();
}

std::optional<balance::SharedLayerMap> MapCache::Resolve(const balance::MapDelta& delta) {
  if (const Entry* known = Find(delta.result)) return known->map;
  const Entry* base = Find(delta.base);
  if (base == nullptr) return std::nullopt;
  auto layers = balance::ApplyDelta(base->map.layers(), delta);
  if (!layers) return std::nullopt;
  balance::SharedLayerMap map(std::move(*layers));
  Add(map);
  return map;
}

}  // namespace cornelrelay::ranks
