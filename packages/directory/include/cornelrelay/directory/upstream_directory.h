#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "cornelrelay/directory/directory_messages.h"

namespace cornelrelay::directory {

struct DirectoryConfig {
  /// Time after the end of a store outage in which upstreams can register again. An entry whose
  /// removal is seen in the outage or within this time is dropped if it is not written again by
  /// then.
  core::Duration reregistration_time = std::chrono::seconds(2);
  /// How long the removal of many entries at once is deferred while the store seems healthy. This
  /// must be less than the time after which an upstream that has left may get no more requests.
  core::Duration deferral_time = std::chrono::milliseconds(1'200);
  /// Removals within this time count as simultaneous.
  core::Duration removal_window = std::chrono::milliseconds(500);
  /// Simultaneous removals in a service are deferred if they are at least two and make up more than
  /// one in this many of its upstreams.
  std::size_t mass_removal_divisor = 3;
  /// How long upstreams that have left are remembered, in case the store is restored from an older
  /// copy. Longer than any copy is old.
  core::Duration departure_memory = std::chrono::minutes(1);
};

/// \brief Tracks the registrations of upstreams and tells which upstreams may get requests.
///
/// The removal of a single entry means that its upstream has left. Entries that disappear during a
/// store outage, just after it, or many at once may have lapsed although their upstreams are alive.
/// These upstreams stay usable for a bounded time. Entries of a restored store do not replace newer
/// ones, and do not bring back upstreams that have left. An upstream that says in an answer that it
/// leaves gets no more requests until it starts again.
///
/// Upstreams of an evacuated data centre get no requests until the order is removed. Their records
/// are kept up to date meanwhile. A restored store that lacks an order ends it only after the time
/// of re-registration, because the copy may be older than the order.
///
/// \code
/// UpstreamDirectory directory({});
/// for (const auto& action : directory.Step(now, EntriesChanged{changes})) Log(action);
/// for (const UpstreamEntry& upstream : directory.Usable(service)) ...
/// \endcode
class UpstreamDirectory {
 public:
  explicit UpstreamDirectory(DirectoryConfig config) : m_config(config) {}

  std::vector<DirectoryAction> Step(core::Instant now, const DirectoryEvent& event);

  /// \brief Returns the upstreams of the service that may get requests.
  std::vector<UpstreamEntry> Usable(const core::ServiceId& service) const;
  /// \brief Returns the entry as last written, also while its removal is deferred; none if unknown.
  std::optional<UpstreamEntry> Find(const core::UpstreamId& id) const;
  /// \brief Returns the entry if the upstream may get requests; none otherwise.
  std::optional<UpstreamEntry> FindUsable(const core::UpstreamId& id) const;
  std::size_t size() const { return m_records.size(); }

  /// \brief Returns a counter that changes whenever the result of Usable() may have changed.
  std::uint64_t version() const { return m_version; }
  /// \brief Returns when DirectoryTick is due; none if no removal of an entry or order is deferred
  /// or the store is lost.
  std::optional<core::Instant> NextWake() const;

 private:
  struct Record {
    UpstreamEntry entry;
    std::optional<core::Instant> deferred_until;  ///< set if the entry was removed
    bool announced_leaving = false;               ///< in an answer of this incarnation
  };
  struct Removal {
    core::Instant at;
    core::ServiceId service;
  };
  struct Departure {
    core::Instant at;
    UpstreamEntry last_entry;
  };
  /// An order of the operator.
  struct Evacuation {
    bool announced = false;                       ///< an upstream of the data centre is known
    std::optional<core::Instant> deferred_until;  ///< set if a restored store lacks the order
  };
  using Actions = std::vector<DirectoryAction>;

  void Apply(core::Instant now, const EntriesChanged& event, Actions& out);
  void Apply(core::Instant now, const LeavingAnnounced& event, Actions& out);
  void Apply(core::Instant now, const EvacuationChanged& event, Actions& out);
  void Apply(core::Instant now, const StoreLost& event, Actions& out);
  void Apply(core::Instant now, const StoreRegained& event, Actions& out);
  void Apply(core::Instant now, const DirectoryTick& event, Actions& out);
  void Put(core::Instant now, UpstreamEntry entry, bool restored, Actions& out);
  void Remove(core::Instant now, const core::UpstreamId& id, Actions& out);
  std::optional<core::Instant> DeferralEnd(core::Instant now, const core::ServiceId& service) const;
  void ApplyDeferredRemovals(core::Instant now, Actions& out);
  void EndDeferredEvacuations(core::Instant now, Actions& out);
  void AnnounceEvacuation(const core::DataCentreId& data_centre, Actions& out);
  void EndEvacuation(const core::DataCentreId& data_centre, Actions& out);
  bool MayGetRequests(const UpstreamEntry& entry) const;
  /// \brief Returns whether more recent is known of the upstream than this entry.
  bool IsOutdated(const UpstreamEntry& entry) const;
  void RememberDeparture(core::Instant now, const UpstreamEntry& entry);

  DirectoryConfig m_config;
  std::map<core::UpstreamId, Record> m_records;
  std::map<core::UpstreamId, Departure> m_departures;
  std::deque<Removal> m_removals;
  std::map<core::DataCentreId, Evacuation> m_evacuations;
  bool m_store_lost = false;
  std::optional<core::Instant> m_store_regained;
  std::uint64_t m_version = 0;
};

}  // namespace cornelrelay::directory
