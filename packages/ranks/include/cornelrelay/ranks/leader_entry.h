#pragma once

#include <compare>
#include <string>
#include <string_view>

#include "cornelrelay/balance/plan_record.h"
#include "cornelrelay/store/store_version.h"

namespace cornelrelay::ranks {

/// \brief Value of a group's leader key.
///
/// It names the era of the write, because the item of a leadership that began before a restore of
/// the store may be part of the copy: the leadership goes on with its fence then.
struct LeaderEntry {
  std::string host;         ///< host of the leader
  store::StoreEra era = 0;  ///< era of the store in which the leadership began

  friend auto operator<=>(const LeaderEntry&, const LeaderEntry&) = default;
};

/// \brief Converts to and from the stored form. A text that names no era has era 0.
std::string EncodeLeaderEntry(const LeaderEntry& entry);
LeaderEntry DecodeLeaderEntry(std::string_view text);

/// \brief Returns the fence of a leadership that began with a write of the leader key at this
/// version.
///
/// It is a single number, as engines compare fences too. It increases over a restore of the store,
/// which gives revisions out again, because a restore loses far fewer changes than an era adds.
constexpr balance::Fence FenceOf(store::StoreVersion version) {
  constexpr balance::Fence kFencesPerEra = balance::Fence{1} << 32U;
  return version.era * kFencesPerEra + static_cast<balance::Fence>(version.revision);
}

}  // namespace cornelrelay::ranks
