#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/directory/upstream_entry.h"

namespace cornelrelay::directory {

/// \brief A change of one entry in the store.
struct EntryChange {
  core::UpstreamId id;
  std::optional<UpstreamEntry> entry;  ///< the entry as written; none if it was removed
};

/// \brief Entries that changed together.
struct EntriesChanged {
  std::vector<EntryChange> changes;
  /// They are those of a store that was restored from a copy, so some may be older than what is
  /// known, and others may be missing.
  bool restored = false;
};
/// \brief An upstream said in an answer that it leaves. The entry in the store may not say so.
struct LeavingAnnounced {
  core::UpstreamId id;
  std::uint64_t incarnation = 0;  ///< of the upstream that answered
};
/// \brief The operator's order to send nothing to a data centre was written or removed.
struct EvacuationChanged {
  core::DataCentreId data_centre;
  bool active = false;
  /// The order is missing in a store that was restored from a copy, so it may be newer than the
  /// copy.
  bool restored = false;
};
/// \brief Neither this process nor any peer is connected to the store.
struct StoreLost {};
/// \brief This process or a peer is connected to the store again.
struct StoreRegained {};
struct DirectoryTick {};

using DirectoryEvent = std::variant<EntriesChanged, LeavingAnnounced, EvacuationChanged, StoreLost,
                                    StoreRegained, DirectoryTick>;

enum class LeaveReason {
  kDraining,   ///< its entry says that it leaves
  kAnnounced,  ///< its answers say that it leaves
  kRemoved,    ///< its entry was removed
  kLapsed,     ///< its entry lapsed, probably in a store outage, and was not written again in time
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
/// \brief The entry was removed, but perhaps only because of a store outage. The upstream stays
/// usable for a bounded time.
struct RemovalDeferred {
  core::UpstreamId id;
  core::Instant until;  ///< when the removal takes effect unless the entry is written again
};

/// \brief A restored store holds an entry that is older than what is known of the upstream.
struct OldEntryIgnored {
  core::UpstreamId id;
};

/// \brief The upstreams of the data centre get no requests until the order is removed.
struct DataCentreEvacuated {
  core::DataCentreId data_centre;
  std::size_t upstreams = 0;  ///< known ones in the data centre
};
/// \brief The upstreams of the data centre may get requests again.
struct DataCentreRestored {
  core::DataCentreId data_centre;
};
/// \brief An order names a data centre without known upstreams. It takes effect when one appears.
struct EvacuationPending {
  core::DataCentreId data_centre;
};
/// \brief A restored store lacks the order. It stays in force for a bounded time.
struct EvacuationEndDeferred {
  core::DataCentreId data_centre;
  core::Instant until;  ///< when the order ends unless it is written again
};

using DirectoryAction =
    std::variant<UpstreamJoined, UpstreamLeft, RemovalDeferred, OldEntryIgnored,
                 DataCentreEvacuated, DataCentreRestored, EvacuationPending, EvacuationEndDeferred>;

}  // namespace cornelrelay::directory
