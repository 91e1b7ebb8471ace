#include "cornelrelay/store/item_cache.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cornelrelay::store {

std::vector<ItemChange> ItemCache::Merge(std::vector<ItemChange> changes, StoreVersion version) {
  const bool first = m_version == StoreVersion{};
  if (!first && version.era != m_version.era) return {};
  return ApplyAll(std::move(changes), version);
}

std::vector<ItemChange> ItemCache::Replace(const std::string& prefix, std::vector<ItemChange> items,
                                           StoreVersion version) {
  if (version.era < m_version.era) return {};
  const bool new_era = version.era > m_version.era;
  std::set<std::string> present;
  for (const ItemChange& item : items) present.insert(item.key);
  for (const auto& [key, known] : m_items) {
    const bool kept = !new_era && (known.revision > version.revision || !key.starts_with(prefix));
    if (!known.value || kept || present.contains(key)) continue;
    items.push_back({key, std::nullopt, version.revision});
  }
  if (!new_era) return ApplyAll(std::move(items), version);
  m_items.clear();
  for (const ItemChange& item : items) m_items.emplace(item.key, item);
  m_version = version;
  return items;
}

std::vector<ItemChange> ItemCache::ApplyAll(std::vector<ItemChange> changes, StoreVersion version) {
  std::erase_if(changes, [this](const ItemChange& change) { return !Apply(change); });
  m_version = std::max(m_version, version);
  ForgetOldDeletions();
  return changes;
}

std::vector<ItemChange> ItemCache::Since(StoreRevision revision) const {
  std::vector<ItemChange> changes;
  for (const auto& [key, item] : m_items) {
    if (item.revision > revision) changes.push_back(item);
  }
  std::sort(changes.begin(), changes.end(),
            [](const ItemChange& a, const ItemChange& b) { return a.revision < b.revision; });
  return changes;
}

bool ItemCache::Apply(const ItemChange& change) {
  const auto [found, added] = m_items.try_emplace(change.key, change);
  if (added) return change.value.has_value();
  if (change.revision <= found->second.revision) return false;
  const bool both_absent = !change.value && !found->second.value;
  found->second = change;
  return !both_absent;
}

void ItemCache::ForgetOldDeletions() {
  std::vector<std::pair<StoreRevision, std::string>> deleted;
  for (const auto& [key, item] : m_items) {
    if (!item.value) deleted.emplace_back(item.revision, key);
  }
  if (deleted.size() <= m_deletions) return;
  std::sort(deleted.begin(), deleted.end());
  deleted.resize(deleted.size() - m_deletions / 2);
  for (const auto& [revision, key] : deleted) m_items.erase(key);
}

}  // namespace cornelrelay::store
