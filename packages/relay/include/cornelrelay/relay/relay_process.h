#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "cornelrelay/net/http_client.h"
#include "cornelrelay/net/http_server.h"
#include "cornelrelay/relay/dispatch_hub.h"
#include "cornelrelay/relay/fleet_view.h"
#include "cornelrelay/relay/peer_hub.h"
#include "cornelrelay/relay/platform_ports.h"
#include "cornelrelay/relay/relay_gateway.h"
#include "cornelrelay/relay/retry_budgets.h"
#include "cornelrelay/runtime/metrics_server.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/store_link.h"
#include "cornelrelay/settings/relay_settings.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::relay {

/// \brief The entry process on a platform with a directory and configuration of its own.
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

  /// \brief Takes over what may change while the process runs.
  void Reload(const settings::RelaySettings& settings);

  /// \brief Finishes the requests in progress and ends; a second call ends at once.
  void Shutdown();

 private:
  void OnConfiguration(const routes::Configuration& configuration);
  void OnItems();
  void OnOwnItem(const store::ItemChange& item);
  void OnPeers();
  void Register();
  bool Ready() const;
  void Fill(peers::PeerStatus& bulletin) const;
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
  PeerHub m_peers;
  DispatchHub m_dispatch;
  FleetView m_fleet;
  RelayGateway m_gateway;
  net::HttpServer m_callers;
  net::HttpServer m_health;
  runtime::MetricsServer m_metrics_server;
  runtime::WakeTimer m_register_timer;
  store::StoreRevision m_own_revision = 0;  ///< of the own registration; 0 if there is none
  std::string m_own_value;
  bool m_registering = false;
  bool m_draining = false;
  bool m_was_ready = false;
};

}  // namespace cornelrelay::relay
