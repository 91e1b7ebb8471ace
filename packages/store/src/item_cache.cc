#include "cornelrelay/store/item_cache.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cornelrelay::store {

std::vector<ItemChange> ItemCache::Merge(std::vector<ItemChange> changes, StoreRevision revision) {
  std::erase_if(changes, [this](const ItemChange& change) { return !Apply(change); });
  m_revision = std::max(m_revision, revision);
  ForgetOldDeletions();
  return changes;
}

std::vector<ItemChange> ItemCache::Replace(const std::string& prefix, std::vector<ItemChange> items,
                                           StoreRevision revision) {
  std::set<std::string> present;
  for (const ItemChange& item : items) present.insert(item.key);
  for (auto it = m_items.lower_bound(prefix); it != m_items.end() && it->first.starts_with(prefix);
       ++it) {
    const ItemChange& known = it->second;
    if (!known.value || known.revision > revision || present.contains(known.key)) continue;
    items.push_back({known.key, std::nullopt, revision});
  }
  return Merge(std::move(items), revision);
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
