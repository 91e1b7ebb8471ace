#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "cornelrelay/directory/upstream_directory.h"
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

/// How long the store holds a watch of the fleet without a change. A connection that went silent
/// shows no sooner.
inline constexpr std::chrono::milliseconds kFleetWatch{1'900};

/// \brief What the store says of configuration, upstreams and entry processes, as far as this
/// process has heard, from the store itself or from peers.
class FleetView {
 public:
  struct Listener {
    std::function<void(const routes::Configuration&)> on_configuration;
    std::function<void()> on_upstreams;
    /// The copy of the items, or the link to the store, changed.
    std::function<void()> on_items;
    /// An own item (see own_keys.h) changed.
    std::function<void(const store::ItemChange&)> on_own_item;
  };

  FleetView(boost::asio::io_context& context, const runtime::ProcessClock& clock,
            runtime::StoreLink& store, const FleetProtocol& protocol,
            directory::DirectoryConfig config, telemetry::JsonLog& log,
            telemetry::MetricRegistry& metrics, std::uint64_t seed, Listener listener);

  void Start();

  /// \brief Takes over what a peer knows.
  void Merge(const wire::ItemsTransfer& transfer);
  wire::ItemsTransfer ItemsSince(store::StoreRevision revision) const;

  /// \brief Neither this process nor a peer hears the store, or one of them does again.
  void SetStoreHeard(bool heard);

  /// \brief Null before the first configuration.
  std::shared_ptr<const routes::RouteTable> table() const { return m_table; }
  const directory::UpstreamDirectory& upstreams() const { return m_upstreams; }
  store::StoreRevision revision() const { return m_cache.revision(); }
  bool linked() const { return m_reader.linked(); }
  /// \brief This process or a peer hears the store.
  bool heard() const { return m_heard; }
  /// \brief All items have been read once.
  bool complete() const { return m_complete; }

 private:
  void Run(const store::PrefixReader::Actions& actions);
  void Perform(const store::CallStore& action);
  void Perform(const store::ItemsRead& action);
  void Perform(const store::ItemsChanged& action);
  void Perform(const store::StoreLinkLost& action);
  void Perform(const store::StoreLinkRegained& action);
  void Use(const std::vector<store::ItemChange>& changes, std::string_view source);
  void Adopt(const store::ItemChange& item, ConfigurationItem configuration,
             std::string_view source);
  void StepUpstreams(const directory::DirectoryEvent& event);
  void Log(const directory::UpstreamJoined& action);
  void Log(const directory::UpstreamLeft& action);
  void Log(const directory::RemovalDeferred& action);

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
  runtime::WakeTimer m_retry_timer;
  runtime::WakeTimer m_directory_timer;
  bool m_complete = false;
  bool m_heard = true;
};

}  // namespace cornelrelay::relay
