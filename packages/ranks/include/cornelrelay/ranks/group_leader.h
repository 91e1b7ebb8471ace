#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cornelrelay/balance/switch_leader.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/ranks/agent_client.h"
#include "cornelrelay/ranks/engine_client.h"
#include "cornelrelay/ranks/expert_map_planner.h"
#include "cornelrelay/ranks/group_members.h"
#include "cornelrelay/ranks/rank_ports.h"
#include "cornelrelay/routes/engine_model.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/store_link.h"
#include "cornelrelay/runtime/wake_timer.h"
#include "cornelrelay/settings/rank_settings.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"
#include "cornelrelay/wire/rank_messages.h"

namespace cornelrelay::ranks {

/// \brief Leads a group: polls all ranks for counts and state, plans expert maps, and runs the
/// SwitchLeader.
///
/// Orders go to the agent beside the rank. If that agent does not answer, the order is sent to its
/// engine directly, so that one failed agent does not hold up a forward pass of the group. Only a
/// PrepareMap is not sent directly.
class GroupLeader {
 public:
  struct Dependencies {
    boost::asio::io_context& context;
    const runtime::ProcessClock& clock;
    net::HttpClient& client;
    EngineClient& engines;
    runtime::StoreLink& store;
    RankPorts ports;
    telemetry::JsonLog& log;
    telemetry::MetricRegistry& metrics;
  };
  GroupLeader(Dependencies dependencies, settings::RankSettings settings,
              balance::RankReport own_report, AgentClient::LocalHandler local_handler,
              std::function<void()> on_fenced);

  /// \param fence of the lease under which this process leads
  void StartLeading(balance::Fence fence);
  void StopLeading();

 private:
  void ReadMembers(const std::string& after_key);
  void ReadConfiguration();
  void AddMembers(const store::PrefixRead& page);
  void ApplyConfiguration(const std::string& value);
  void RunRound();
  void PlanMap();
  /// \brief Number of members that are asked for counts in a round. The counts of all members of a
  /// large group would fill the link.
  std::size_t ExpertCountSampleSize() const;
  void StartPoll(const core::Endpoint& engine, bool want_expert_counts);
  boost::asio::awaitable<void> Poll(core::Endpoint engine, bool want_expert_counts);
  boost::asio::awaitable<void> DeliverOrder(balance::SendOrder order);
  void Step(const balance::SwitchEvent& event);
  void Perform(const balance::SendOrder& action);
  void Perform(const balance::SwitchEnded& action);
  void Perform(const balance::SwitchInherited& action);
  void Perform(const balance::RefreshRankStates& action);
  void RecordReport(const core::Endpoint& engine, const balance::RankReport& report,
                    core::Instant requested_at);

  Dependencies m_dependencies;
  settings::RankSettings m_settings;
  balance::RankReport m_own_report;
  std::function<void()> m_on_fenced;  ///< called when a rank reports a newer leader
  balance::SwitchLeader m_switch_leader;
  AgentClient m_agents;
  GroupMembers m_members;
  std::optional<ExpertMapPlanner> m_map_planner;
  runtime::WakeTimer m_round_timer;
  runtime::WakeTimer m_tick_timer;
  core::Instant m_members_read_at{};
  core::Instant m_next_plan_at{};
  bool m_leading = false;
};

}  // namespace cornelrelay::ranks
