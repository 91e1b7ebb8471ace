#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "cornelrelay/core/time.h"
#include "cornelrelay/store/item_change.h"
#include "cornelrelay/store/store_version.h"

namespace cornelrelay::store {

/// \brief This process's copy of the store's items, fed by the store and by peers in any order.
///
/// Within an era of the store the highest revision of each key wins, so that an old value never
/// replaces a newer one. Deletions are remembered for a while, so that a late copy of a deleted
/// item does not bring it back. A newer era replaces everything: its revisions say nothing about
/// those of older ones.
///
/// \code
/// for (const ItemChange& change : cache.Merge(changes, version)) Use(change);
/// \endcode
class ItemCache {
 public:
  /// \param deletions how many deletions are remembered
  explicit ItemCache(std::size_t deletions = 4096) : m_deletions(deletions) {}

  /// \brief Applies changes that complete the copy up to `version`. Those of another era are
  /// ignored.
  /// \return the changes that were new
  std::vector<ItemChange> Merge(std::vector<ItemChange> changes, StoreVersion version);

  /// \brief Applies all items with the prefix as of `version`; others with it were deleted by
  /// then. A newer era deletes those of other prefixes too; an older era is ignored.
  /// \return the differences; in a newer era, all items
  std::vector<ItemChange> Replace(const std::string& prefix, std::vector<ItemChange> items,
                                  StoreVersion version);

  /// \brief Changes after a revision of the current era, oldest first.
  std::vector<ItemChange> Since(StoreRevision revision) const;

  /// \brief The copy holds every change up to this version; the default before the first read.
  StoreVersion version() const { return m_version; }
  std::size_t size() const { return m_items.size(); }

 private:
  bool Apply(const ItemChange& change);
  std::vector<ItemChange> ApplyAll(std::vector<ItemChange> changes, StoreVersion version);
  void ForgetOldDeletions();

  std::size_t m_deletions;
  StoreVersion m_version;
  std::map<std::string, ItemChange> m_items;  ///< deleted ones included
};

}  // namespace cornelrelay::store
