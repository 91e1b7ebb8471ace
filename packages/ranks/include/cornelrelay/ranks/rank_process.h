#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>

#include "cornelrelay/balance/fence_guard.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/net/http_server.h"
#include "cornelrelay/ranks/engine_link.h"
#include "cornelrelay/ranks/group_leader.h"
#include "cornelrelay/ranks/group_lease.h"
#include "cornelrelay/ranks/pick_meter.h"
#include "cornelrelay/ranks/rank_ports.h"
#include "cornelrelay/runtime/metrics_server.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/store_link.h"
#include "cornelrelay/runtime/wake_timer.h"
#include "cornelrelay/settings/rank_settings.h"
#include "cornelrelay/store/prefix_reader.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::ranks {

/// \brief The agent beside one rank of a model group: gate of the rank's orders, and candidate for
/// the leadership of the group.
///
/// \code
/// RankProcess process(context, settings, ports, log, seed);
/// process.Start();
/// context.run();
/// \endcode
class RankProcess {
 public:
  RankProcess(boost::asio::io_context& context, settings::RankSettings settings,
              const RankPorts& ports, telemetry::JsonLog& log, std::uint64_t seed);

  void Start();
  void Reload(const settings::RankSettings& settings);
  void Shutdown();

 private:
  boost::asio::awaitable<void> FindGroup();
  void JoinGroup(const balance::RankReport& report);
  boost::asio::awaitable<void> Serve(net::HttpRequest request, net::ResponseStream& response);
  boost::asio::awaitable<wire::RankReply> Handle(wire::RankCall call);
  void RunReader(const store::PrefixReader::Actions& actions);
  void SeeItems(const std::vector<store::ItemChange>& items, bool all);
  void StepLease(const LeaseEvent& event);
  void Perform(const CallForLease& action);
  void Perform(const SeatTaken& action);
  void Perform(const SeatUnsure& action);
  void Perform(const SeatLost& action);

  boost::asio::io_context& m_context;
  settings::RankSettings m_settings;
  RankPorts m_ports;
  telemetry::JsonLog& m_log;
  std::uint64_t m_seed;
  runtime::ProcessClock m_clock;
  telemetry::MetricRegistry m_metrics;
  net::HttpClient m_client;
  std::shared_ptr<runtime::StoreLink> m_store;
  EngineLink m_engines;
  balance::FenceGuard m_gate;
  PickMeter m_picks;
  net::HttpServer m_server;
  runtime::MetricsServer m_metrics_server;
  std::string m_seat_key;
  std::optional<store::PrefixReader> m_reader;
  std::optional<GroupLease> m_lease;
  std::unique_ptr<GroupLeader> m_leader;
  runtime::WakeTimer m_reader_timer;
  runtime::WakeTimer m_lease_timer;
};

}  // namespace cornelrelay::ranks
