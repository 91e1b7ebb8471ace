#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "cornelrelay/directory/upstream_directory.h"
#include "cornelrelay/peers/store_role.h"
#include "cornelrelay/relay/fleet_protocol.h"
#include "cornelrelay/routes/route_table.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/store_link.h"
#include "cornelrelay/runtime/wake_timer.h"
#include "cornelrelay/store/item_cache.h"
#include "cornelrelay/store/prefix_reader.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"
#include "cornelrelay/wire/fleet_messages.h"

namespace cornelrelay::relay {

/// How long the store keeps a watch open when nothing changes. If the store stops answering without
/// closing the connection, this is not noticed before this time has passed.
inline constexpr std::chrono::milliseconds kFleetWatchTimeout{1'900};

/// \brief This process's copy of the store's items about configuration, upstreams and entry
/// processes (see RelayProcess). Updates come from the store or from peers.
class FleetView {
 public:
  struct Listener {
    std::function<void(const routes::Configuration&)> on_configuration;
    std::function<void()> on_upstreams;
    /// Called after items were received, even if none has changed, and after the connection to the
    /// store was lost or regained.
    std::function<void()> on_items_changed;
    /// Called after a change of an item that cornelrelay processes write (see internal_keys.h).
    std::function<void(const store::ItemChange&)> on_internal_item;
  };

  FleetView(boost::asio::io_context& context, const runtime::ProcessClock& clock,
            runtime::StoreLink& store, const FleetProtocol& protocol,
            directory::DirectoryConfig config, telemetry::JsonLog& log,
            telemetry::MetricRegistry& metrics, std::uint64_t seed, Listener listener);

  void Start();

  /// \brief Merges the items that a peer has sent.
  void Merge(const wire::ItemsTransfer& transfer);
  /// \brief Returns the items that have changed after a version, and the configuration in force if
  /// it is newer than `configuration_version`.
  wire::ItemsTransfer ItemsSince(store::StoreVersion version,
                                 std::uint64_t configuration_version) const;

  /// \brief Stops the use of an upstream that said in an answer that it leaves.
  void NoteLeaving(const core::UpstreamId& upstream, std::uint64_t incarnation);

  /// \brief Sets whether this process or at least one of its peers is connected to the store.
  void SetStoreReachable(bool reachable);
  /// \brief Sets whether this process follows the store. All read it once.
  void SetStoreRole(peers::StoreRole role);

  /// \brief Routing table of the configuration in force; null before the first configuration.
  std::shared_ptr<const routes::RouteTable> table() const { return m_table; }
  const directory::UpstreamDirectory& upstreams() const { return m_upstreams; }
  store::StoreVersion version() const { return m_cache.version(); }
  /// \brief Version of the configuration in force; 0 before the first one.
  std::uint64_t configuration_version() const { return m_table ? m_table->version() : 0; }
  /// \brief Whether this process follows the store and is connected to it.
  bool connected() const { return m_reader.linked(); }
  /// \brief Whether this process has read the items and the store, as far as it knows, answers it.
  bool may_call_store() const {
    return m_loaded && (m_reader.linked() || m_store_role == peers::StoreRole::kFollower);
  }
  /// \brief Whether this process or at least one of its peers is connected to the store.
  bool store_reachable() const { return m_store_reachable; }
  /// \brief Whether this process has read all items from the store at least once.
  bool loaded() const { return m_loaded; }

 private:
  void Run(const store::PrefixReader::Actions& actions);
  void Perform(const store::CallStore& action);
  void Perform(const store::ItemsRead& action);
  void Perform(const store::ItemsChanged& action);
  void Perform(const store::StoreLinkLost& action);
  void Perform(const store::StoreLinkRegained& action);
  void ReplaceAll(const std::vector<store::ItemChange>& items, store::StoreVersion version,
                  std::string_view source);
  /// \param restored whether the changes are the items of a store that was restored from a copy
  void ApplyChanges(const std::vector<store::ItemChange>& changes, std::string_view source,
                    bool restored = false);
  void ApplyConfiguration(const store::ItemChange& item, ConfigurationItem configuration,
                          std::string_view source);
  /// \brief Applies events that belong together; the listener hears of them once.
  void StepUpstreams(const std::vector<directory::DirectoryEvent>& events);
  void Log(const directory::UpstreamJoined& action);
  void Log(const directory::UpstreamLeft& action);
  void Log(const directory::RemovalDeferred& action);
  void Log(const directory::OldEntryIgnored& action);
  void Log(const directory::DataCentreEvacuated& action);
  void Log(const directory::DataCentreRestored& action);
  void Log(const directory::EvacuationPending& action);
  void Log(const directory::EvacuationEndDeferred& action);
  void SetEvacuatedMetric(const core::DataCentreId& data_centre, bool evacuated);

  const runtime::ProcessClock& m_clock;
  runtime::StoreLink& m_store;
  const FleetProtocol& m_protocol;
  telemetry::JsonLog& m_log;
  telemetry::MetricRegistry& m_metrics;
  Listener m_listener;
  store::PrefixReader m_reader;
  store::ItemCache m_cache;
  directory::UpstreamDirectory m_upstreams;
  std::shared_ptr<const routes::RouteTable> m_table;
  /// The item of the configuration in force. A restored store may hold an older one.
  std::optional<store::ItemChange> m_configuration_item;
  runtime::WakeTimer m_reader_timer;
  runtime::WakeTimer m_directory_timer;
  bool m_loaded = false;
  bool m_store_reachable = true;
  peers::StoreRole m_store_role = peers::StoreRole::kReader;
};

}  // namespace cornelrelay::relay
