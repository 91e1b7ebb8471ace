#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::limits {

/// \brief A live or suspected entry process. Suspected processes count as members, so that a
/// partition leaves all shares unchanged.
struct Member {
  core::HostId id{};
  std::uint64_t incarnation = 0;

  // The check misreads the comparison with zero that the compiler generates.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Member&, const Member&) = default;
  friend bool operator==(const Member&, const Member&) = default;
};

/// \brief Digest of a set of members and their incarnations. The incarnations give a view with a
/// restarted process an id of its own.
std::uint64_t ViewId(std::vector<Member> members);

}  // namespace cornelrelay::limits
