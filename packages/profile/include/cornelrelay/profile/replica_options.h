#pragma once

#include <compare>

#include "cornelrelay/core/time.h"

namespace cornelrelay::profile {

/// \brief Intervals of a CatalogueReplica. An accepted change must be in force within 16 s.
struct ReplicaOptions {
  /// Own reads of the store without a confirmation by a watcher. 12 s leave 4 s for the call.
  core::Duration read_min = std::chrono::seconds(8);
  core::Duration read_max = std::chrono::seconds(12);
  /// Reads by a watcher, each followed by a confirmation to the others.
  core::Duration watcher_read_min = std::chrono::seconds(3);
  core::Duration watcher_read_max = std::chrono::seconds(5);
  /// A confirmation puts the next own read off until so long after it.
  core::Duration confirmed_min = std::chrono::seconds(5);
  core::Duration confirmed_max = std::chrono::seconds(8);
  /// First delay after a failed read, doubled per failure up to read_max.
  core::Duration retry = std::chrono::milliseconds(500);
  core::Duration read_timeout = std::chrono::seconds(4);
  core::Duration peer_timeout = std::chrono::seconds(1);
  /// A peer whose transfer failed or was no newer is not asked again for so long.
  core::Duration peer_rest = std::chrono::seconds(2);
  /// Fetches after a newly heard revision are spread over this time, so that a data centre's
  /// processes do not all ask its two watchers.
  core::Duration fetch_spread = std::chrono::milliseconds(400);
  /// Shortest time between two reads of the store that a heard revision causes.
  core::Duration heard_read_pause = std::chrono::seconds(1);

  friend auto operator<=>(const ReplicaOptions&, const ReplicaOptions&) = default;
};

/// \brief Deliberate faults that tests inject to show that they are caught.
enum class ReplicaFault {
  kNone,
  kAcceptLowerRevision,
};

}  // namespace cornelrelay::profile
