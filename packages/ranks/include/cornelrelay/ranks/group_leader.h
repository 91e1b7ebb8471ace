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
#include "cornelrelay/ranks/agent_link.h"
#include "cornelrelay/ranks/engine_link.h"
#include "cornelrelay/ranks/group_demand.h"
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

/// \brief What the leader of a group does: asks all ranks for counts and state, plans maps, and
/// runs the SwitchLeader.
///
/// Orders go to the agent beside the rank. Where that agent does not answer, its engine is asked
/// directly, so that a pass is not held because of one agent.
class GroupLeader {
 public:
  struct Services {
    boost::asio::io_context& context;
    const runtime::ProcessClock& clock;
    net::HttpClient& client;
    EngineLink& engines;
    runtime::StoreLink& store;
    RankPorts ports;
    telemetry::JsonLog& log;
    telemetry::MetricRegistry& metrics;
  };
  GroupLeader(Services services, settings::RankSettings settings, balance::RankReport self,
              AgentLink::OwnAgent own_agent, std::function<void()> on_fenced);

  void Lead(balance::Fence fence);
  void Stop();

 private:
  void ReadMembers(const std::string& after_key);
  void ReadConfiguration();
  void UseMembers(const store::PrefixRead& page);
  void UseConfiguration(const std::string& value);
  void Round();
  void Plan();
  /// \brief Members asked for counts in a round; those of a large group would fill the link.
  std::size_t SamplesPerRound() const;
  void Ask(const core::Endpoint& engine, bool want_expert_counts);
  boost::asio::awaitable<void> Poll(core::Endpoint engine, bool want_expert_counts);
  boost::asio::awaitable<void> Deliver(balance::SendOrder order);
  void Step(const balance::SwitchEvent& event);
  void Perform(const balance::SendOrder& action);
  void Perform(const balance::SwitchEnded& action);
  void Perform(const balance::SwitchInherited& action);
  void Perform(const balance::RefreshRankStates& action);
  void Learn(const core::Endpoint& engine, const balance::RankReport& report, core::Instant asked);

  Services m_services;
  settings::RankSettings m_settings;
  balance::RankReport m_self;
  std::function<void()> m_on_fenced;  ///< a rank knows a newer leader
  balance::SwitchLeader m_machine;
  AgentLink m_agents;
  GroupMembers m_members;
  std::optional<GroupDemand> m_demand;
  runtime::WakeTimer m_round_timer;
  runtime::WakeTimer m_tick_timer;
  core::Instant m_members_read{};
  core::Instant m_next_plan{};
  bool m_leading = false;
};

}  // namespace cornelrelay::ranks
