#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "cornelrelay/core/time.h"
#include "cornelrelay/store/item_change.h"

namespace cornelrelay::store {

/// \brief This process's copy of the store's items, fed by the store and by peers in any order.
///
/// For each key the highest revision wins, so that an old value never replaces a newer one.
/// Deletions are remembered for a while, so that a late copy of a deleted item does not bring it
/// back.
///
/// \code
/// for (const ItemChange& change : cache.Merge(now, changes, revision)) Use(change);
/// \endcode
class ItemCache {
 public:
  /// \param deletions how many deletions are remembered
  explicit ItemCache(std::size_t deletions = 4096) : m_deletions(deletions) {}

  /// \brief Applies changes that complete the copy up to `revision`.
  /// \return the changes that were new
  std::vector<ItemChange> Merge(std::vector<ItemChange> changes, StoreRevision revision);

  /// \brief Applies all items with the prefix as of `revision`; others with it were deleted by
  /// then. \return the differences
  std::vector<ItemChange> Replace(const std::string& prefix, std::vector<ItemChange> items,
                                  StoreRevision revision);

  /// \brief Changes after a revision, oldest first.
  std::vector<ItemChange> Since(StoreRevision revision) const;

  /// \brief The copy holds every change up to this revision; 0 before the first read.
  StoreRevision revision() const { return m_revision; }
  std::size_t size() const { return m_items.size(); }

 private:
  bool Apply(const ItemChange& change);
  void ForgetOldDeletions();

  std::size_t m_deletions;
  StoreRevision m_revision = 0;
  std::map<std::string, ItemChange> m_items;  ///< deleted ones included
};

}  // namespace cornelrelay::store
