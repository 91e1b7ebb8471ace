#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::limits {

/// \brief A live or suspected entry process. Suspected members count, so a partition leaves all
/// shares unchanged.
struct Member {
  core::HostId id{};
  std::uint64_t incarnation = 0;

  // The check misreads the rewritten comparison with zero.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Member&, const Member&) = default;
  friend bool operator==(const Member&, const Member&) = default;
};

/// \brief Digest of a set of members with their incarnations; a returning process makes a new view.
std::uint64_t ViewId(std::vector<Member> members);

}  // namespace cornelrelay::limits
