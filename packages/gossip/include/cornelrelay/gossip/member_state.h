#pragma once

#include <compare>
#include <cstdint>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"

namespace cornelrelay::gossip {

enum class Role : std::uint8_t { kEntry, kAgent };

/// \brief Life of a member. At equal versions the later value wins, so a suspicion overrides the
/// alive record that it is about, and only the member's own next incarnation overrides it.
enum class Life : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

/// \brief What is known about one process; the subject of the record is its host id.
struct MemberState {
  Life life = Life::kAlive;  // compared first: see Life
  Role role = Role::kEntry;
  core::DataCentreId data_centre;
  core::Endpoint control;
  std::uint64_t revision = 0;  ///< applied catalogue revision

  friend auto operator<=>(const MemberState&, const MemberState&) = default;
};

}  // namespace cornelrelay::gossip
