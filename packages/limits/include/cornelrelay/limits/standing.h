#pragma once

#include <string_view>

namespace cornelrelay::limits {

/// \brief What a process's statement about its share rests on.
enum class Standing {
  kNew,      ///< never settled, and no member that it knew is gone
  kOrphan,   ///< never settled, and lost a member that may have known others
  kSettled,  ///< has settled a view before
};

std::string_view ToString(Standing standing);

}  // namespace cornelrelay::limits
