#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "cornelrelay/limits/member.h"

namespace cornelrelay::limits {

/// \brief Returns the share of `self` in `limit`.
///
/// Each member gets the whole part of the division; the remainder goes, one permit each, to the
/// members with the highest rendezvous scores for `key`. The shares of all members add up to
/// `limit`. A share never grows when a member is added. A process outside `members` has no share.
/// \code
/// const std::uint64_t permits = ShareOf(limits.concurrency, key, members, self);
/// \endcode
std::uint64_t ShareOf(std::uint64_t limit, std::string_view key, const std::vector<Member>& members,
                      const core::HostId& self);

/// \brief Returns the member that gets the first permit of the remainder for `key`, or an empty id
/// if there are no members.
core::HostId FirstHolder(std::string_view key, const std::vector<Member>& members);

}  // namespace cornelrelay::limits
