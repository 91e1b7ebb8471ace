#pragma once

#include <string_view>

namespace cornelrelay::limits {

/// \brief What a process that confirms a view knows about the membership.
///
/// ShareTracker describes views and when they are settled.
enum class Standing {
  kNew,      ///< has never settled a view, and no member that it knew is gone
  kOrphan,   ///< has never settled a view, and lost a member that may have known other processes
  kSettled,  ///< has settled a view before
};

std::string_view ToString(Standing standing);

}  // namespace cornelrelay::limits
