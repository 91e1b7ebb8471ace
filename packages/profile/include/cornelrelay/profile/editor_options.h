#pragma once

#include <compare>

#include "cornelrelay/core/time.h"

namespace cornelrelay::profile {

/// \brief Limits of one edit.
struct EditorOptions {
  core::Duration time_limit = std::chrono::seconds(12);  ///< the operator waits for this long
  core::Duration retry_delay = std::chrono::milliseconds(250);

  friend auto operator<=>(const EditorOptions&, const EditorOptions&) = default;
};

/// \brief Deliberate faults that tests inject to show that they are caught.
enum class EditorFault {
  kNone,
  kSkipReadBack,        ///< takes a write without an answer for a write without effect
  kIgnoreSwapRevision,  ///< swaps on whatever revision the key has
};

}  // namespace cornelrelay::profile
