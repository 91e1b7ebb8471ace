#pragma once

#include <string_view>

namespace cornelrelay::peers {

/// \brief Whether an entry process follows the store itself or takes changes from its peers.
///
/// Each watch of the store is a call that is paid for, so in a large fleet only some processes of
/// each data centre follow it.
enum class StoreRole {
  kReader,  ///< follows the store, and tries again soon after a failure
  /// Follows the store because too few readers of its data centre are connected to it, but tries
  /// again slowly after a failure.
  kSubstitute,
  kFollower,  ///< takes changes from its peers
};
std::string_view ToString(StoreRole role);

}  // namespace cornelrelay::peers
