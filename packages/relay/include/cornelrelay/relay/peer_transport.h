#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>

#include "cornelrelay/net/http_client.h"
#include "cornelrelay/net/http_server.h"
#include "cornelrelay/net/udp_channel.h"
#include "cornelrelay/peers/peer_table.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/wake_timer.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"
#include "cornelrelay/wire/fleet_messages.h"

namespace cornelrelay::relay {

/// \brief Exchanges status messages (over UDP) and store items (over HTTP on the same port) with
/// the other entry processes.
class PeerTransport {
 public:
  struct Callbacks {
    std::function<void(peers::PeerStatus&)> fill_status;  ///< adds loads, queues and items revision
    std::function<void()> on_peers;  ///< called when the peer table may have changed
    /// Returns the items that have changed after `since`, to send them to a peer, and the
    /// configuration if it is newer than `configuration_version`.
    std::function<wire::ItemsTransfer(store::StoreVersion since,
                                      std::uint64_t configuration_version)>
        items_since;
    std::function<void(const wire::ItemsTransfer&)> on_items_received;
    std::function<void(const peers::PeerStatus&)> on_status_received;
  };

  PeerTransport(boost::asio::io_context& context, const runtime::ProcessClock& clock,
                net::HttpClient& client, core::HostId self, core::DataCentreId data_centre,
                core::Endpoint endpoint, std::uint64_t seed, telemetry::JsonLog& log,
                telemetry::MetricRegistry& metrics, Callbacks callbacks);

  void Start();
  /// \brief Passes one event to the peer table and performs the actions that it returns.
  void Step(const peers::PeerEvent& event);
  const peers::PeerTable& table() const { return m_table; }

 private:
  void Perform(const peers::SendStatus& action);
  void Perform(const peers::FetchItems& action);
  void Perform(const peers::PeerAppeared& action);
  void Perform(const peers::PeerSilent& action);
  void Receive(const std::string& bytes);
  boost::asio::awaitable<void> Fetch(peers::FetchItems action);
  boost::asio::awaitable<void> Serve(net::HttpRequest request, net::ResponseStream& response);

  boost::asio::io_context& m_context;
  const runtime::ProcessClock& m_clock;
  net::HttpClient& m_client;
  core::HostId m_self;
  core::DataCentreId m_data_centre;
  core::Endpoint m_endpoint;
  std::uint64_t m_incarnation;
  std::uint64_t m_sequence = 0;
  telemetry::JsonLog& m_log;
  telemetry::MetricRegistry& m_metrics;
  Callbacks m_callbacks;
  peers::PeerTable m_table;
  net::UdpChannel m_channel;
  net::HttpServer m_server;
  runtime::WakeTimer m_timer;
};

}  // namespace cornelrelay::relay
