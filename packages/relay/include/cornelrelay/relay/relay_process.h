#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "cornelrelay/net/http_client.h"
#include "cornelrelay/net/http_server.h"
#include "cornelrelay/relay/caller_limit_log.h"
#include "cornelrelay/relay/crash_probe.h"
#include "cornelrelay/relay/fleet_view.h"
#include "cornelrelay/relay/peer_transport.h"
#include "cornelrelay/relay/platform_ports.h"
#include "cornelrelay/relay/quarantine_service.h"
#include "cornelrelay/relay/relay_gateway.h"
#include "cornelrelay/relay/retry_budgets.h"
#include "cornelrelay/relay/service_dispatchers.h"
#include "cornelrelay/runtime/metrics_server.h"
#include "cornelrelay/runtime/pause_detector.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/store_link.h"
#include "cornelrelay/settings/relay_settings.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::relay {

/// \brief The entry process: the server that accepts callers' requests and forwards them to
/// upstreams.
///
/// The platform has its own formats of requests, upstream registrations and configuration.
/// PlatformPorts supplies the codecs for them.
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

  /// \brief Applies the log level and logs whether the endpoint of the callers, the peers or the
  /// store differs from the one in use, which needs a restart. Other changes are ignored.
  void Reload(const settings::RelaySettings& settings);

  /// \brief Starts a graceful shutdown and returns at once. Requests in progress may finish until
  /// shortly before RelaySettings::shutdown_limit; then the process ends the others and stops. A
  /// second call ends them and stops the process immediately.
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
  CrashProbe m_crash_probe;
  runtime::PauseDetector m_pauses;
  QuarantineService m_quarantine;
  ShutdownLimit m_shutdown;
  RelayGateway m_gateway;
  CallerLimitLog m_caller_limit_log;
  net::HttpServer m_caller_server;
  net::HttpServer m_health_server;
  runtime::MetricsServer m_metrics_server;
  runtime::WakeTimer m_registration_timer;
  /// Store revision of this process's registration; 0 if there is none.
  store::StoreRevision m_registration_revision = 0;
  /// Value of this process's registration in the store, that is, the endpoint at which peers reach
  /// it; empty if there is none.
  std::string m_registration;
  bool m_registering = false;
  bool m_draining = false;
  bool m_was_ready = false;
};

}  // namespace cornelrelay::relay
