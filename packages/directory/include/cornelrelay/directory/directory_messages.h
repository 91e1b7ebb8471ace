#pragma once

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/directory/upstream_entry.h"

namespace cornelrelay::directory {

/// \brief An entry as it was written; none if it was removed.
struct EntryChange {
  core::UpstreamId id;
  std::optional<UpstreamEntry> entry;
};

/// \brief Entries that changed together.
struct EntriesChanged {
  std::vector<EntryChange> changes;
};
/// \brief Neither this process nor any peer hears the store.
struct StoreLost {};
struct StoreRegained {};
struct DirectoryTick {};

using DirectoryEvent = std::variant<EntriesChanged, StoreLost, StoreRegained, DirectoryTick>;

enum class LeaveReason {
  kDraining,  ///< announced by the upstream
  kRemoved,   ///< its entry was removed
  kLapsed,    ///< its entry lapsed with the store and has not come back
};
std::string_view ToString(LeaveReason reason);

struct UpstreamJoined {
  UpstreamEntry entry;
  bool restarted = false;  ///< the same id was known with another incarnation
};
struct UpstreamLeft {
  core::UpstreamId id;
  LeaveReason reason = LeaveReason::kRemoved;
};
/// \brief The entry was removed, but perhaps only because the store was away.
struct RemovalDeferred {
  core::UpstreamId id;
  core::Instant until;
};

using DirectoryAction = std::variant<UpstreamJoined, UpstreamLeft, RemovalDeferred>;

}  // namespace cornelrelay::directory
