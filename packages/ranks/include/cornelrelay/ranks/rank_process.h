#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>

#include "cornelrelay/net/http_client.h"
#include "cornelrelay/net/http_server.h"
#include "cornelrelay/ranks/agent_client.h"
#include "cornelrelay/ranks/call_admission.h"
#include "cornelrelay/ranks/candidacy.h"
#include "cornelrelay/ranks/engine_client.h"
#include "cornelrelay/ranks/expert_count_tracker.h"
#include "cornelrelay/ranks/group_leader.h"
#include "cornelrelay/ranks/leader_lease.h"
#include "cornelrelay/ranks/map_cache.h"
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

/// \brief The agent beside one rank of a model group. It passes the orders of the newest leader on
/// to the rank's engine and is a candidate for the leadership of the group.
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

  /// \brief Starts the servers, and asks the engine for its group until it reports one.
  void Start();
  /// \brief Applies the log level of the settings and ignores the others.
  void Reload(const settings::RankSettings& settings);
  /// \brief Stops leading and stops the context. Does not release the leader key.
  void Shutdown();

 private:
  boost::asio::awaitable<void> WaitForGroup();
  void JoinGroup(const balance::RankReport& report);
  boost::asio::awaitable<void> HandleRequest(net::HttpRequest request,
                                             net::ResponseStream& response);
  /// \brief Passes the order to the local engine, or to the engine that the call names. The reply
  /// has no report in the latter case.
  boost::asio::awaitable<wire::RankReply> HandleCall(wire::RankCall call);
  /// \brief Puts the map of a PrepareMap into the call if it has only the difference to another
  /// one. \return false if this process does not have that other map
  bool ResolveMap(wire::RankCall& call);
  /// \brief Adds the state of the local engine to a reply, and its counts if the call wants them.
  boost::asio::awaitable<void> AddOwnState(const wire::RankCall& call, wire::RankReply& reply);
  /// \brief Adds the replies of the agents to which a call was passed on.
  boost::asio::awaitable<void> AddForwardedReplies(GroupCall& forwarded, wire::RankReply& reply);
  /// \brief Records a call of the group's leader.
  void NoteLeaderCall();
  void StepCandidacy();
  void PerformReaderActions(const store::PrefixReader::Actions& actions);
  void ApplyItems(const std::vector<store::ItemChange>& items, store::StoreEra era, bool complete);
  void StepLease(const LeaseEvent& event);
  void Perform(const SendLeaseRequest& action);
  void Perform(const LeadershipAcquired& action);
  void Perform(const LeaseLapsed& action);
  void Perform(const LeadershipSuperseded& action);

  boost::asio::io_context& m_context;
  settings::RankSettings m_settings;
  RankPorts m_ports;
  telemetry::JsonLog& m_log;
  std::uint64_t m_seed;
  runtime::ProcessClock m_clock;
  telemetry::MetricRegistry m_metrics;
  net::HttpClient m_client;
  std::shared_ptr<runtime::StoreLink> m_store;
  EngineClient m_engines;
  CallAdmission m_admission;
  ExpertCountTracker m_count_tracker;
  MapCache m_maps;
  AgentClient m_agents;
  net::HttpServer m_server;
  runtime::MetricsServer m_metrics_server;
  std::string m_leader_key;
  std::optional<store::PrefixReader> m_reader;
  std::optional<Candidacy> m_candidacy;
  std::optional<LeaderLease> m_lease;
  std::unique_ptr<GroupLeader> m_leader;
  runtime::WakeTimer m_reader_timer;
  runtime::WakeTimer m_lease_timer;
  runtime::WakeTimer m_candidacy_timer;
};

}  // namespace cornelrelay::ranks
