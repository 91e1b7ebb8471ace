#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "cornelrelay/limits/member.h"

namespace cornelrelay::limits {

/// \brief Share of `self` in `limit`: the whole part for everyone, the remainder to the highest
/// rendezvous scores.
///
/// The shares of all members add up to `limit`. A share never grows when a member is added. A
/// process outside of `members` has no share. \code const std::uint64_t permits =
/// ShareOf(limits.concurrency, key, members, self); \endcode
std::uint64_t ShareOf(std::uint64_t limit, std::string_view key, const std::vector<Member>& members,
                      const core::HostId& self);

/// \brief The member that holds the first remainder permit for `key`; empty without members.
core::HostId FirstHolder(std::string_view key, const std::vector<Member>& members);

}  // namespace cornelrelay::limits
