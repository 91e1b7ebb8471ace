#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "cornelrelay/net/http_client.h"
#include "cornelrelay/net/http_server.h"
#include "cornelrelay/relay/fleet_view.h"
#include "cornelrelay/relay/peer_transport.h"
#include "cornelrelay/relay/platform_ports.h"
#include "cornelrelay/relay/relay_gateway.h"
#include "cornelrelay/relay/retry_budgets.h"
#include "cornelrelay/relay/service_dispatchers.h"
#include "cornelrelay/runtime/metrics_server.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/store_link.h"
#include "cornelrelay/settings/relay_settings.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::relay {

/// \brief The entry process on a platform that provides its own upstream registrations and
/// configuration.
///
/// \code
/// RelayProcess process(context, settings, ports, log, seed);
/// process.Start();
/// context.run();
/// \endcode
class RelayProcess {
 public:
  RelayProcess(boost::asio::io_context& context, settings::RelaySettings settings,
               const PlatformPorts& ports, telemetry::JsonLog& log, std::uint64_t seed);

  void Start();

  /// \brief Applies the settings that may change while the process runs, and logs whether the
  /// others need a restart.
  void Reload(const settings::RelaySettings& settings);

  /// \brief Finishes the requests in progress and then stops. A second call stops at once.
  void Shutdown();

 private:
  void OnConfiguration(const routes::Configuration& configuration);
  void OnItemsChanged();
  void OnInternalItem(const store::ItemChange& item);
  void OnPeers();
  void RegisterEndpoint();
  bool IsReady() const;
  void FillStatus(peers::PeerStatus& status) const;
  boost::asio::awaitable<void> ServeHealth(net::ResponseStream& response);
  boost::asio::awaitable<void> DrainAndStop();

  boost::asio::io_context& m_context;
  settings::RelaySettings m_settings;
  telemetry::JsonLog& m_log;
  runtime::ProcessClock m_clock;
  telemetry::MetricRegistry m_metrics;
  net::HttpClient m_upstream_client;
  net::HttpClient m_store_client;
  std::shared_ptr<runtime::StoreLink> m_store;
  RetryBudgets m_retries;
  PeerTransport m_peers;
  ServiceDispatchers m_dispatchers;
  FleetView m_fleet;
  RelayGateway m_gateway;
  net::HttpServer m_caller_server;
  net::HttpServer m_health_server;
  runtime::MetricsServer m_metrics_server;
  runtime::WakeTimer m_registration_timer;
  /// Store revision of this process's registration; 0 if there is none.
  store::StoreRevision m_registration_revision = 0;
  std::string m_registration;  ///< endpoint in the registration; empty if there is none
  bool m_registering = false;
  bool m_draining = false;
  bool m_was_ready = false;
};

}  // namespace cornelrelay::relay
