#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cornelrelay/balance/switch_leader.h"
#include "cornelrelay/ranks/agent_client.h"
#include "cornelrelay/ranks/engine_client.h"
#include "cornelrelay/ranks/expert_map_planner.h"
#include "cornelrelay/ranks/group_members.h"
#include "cornelrelay/ranks/known_map.h"
#include "cornelrelay/ranks/order_outbox.h"
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
/// Orders go to the agent beside the rank; equal ones for many ranks are one call that the agents
/// pass on to each other. If an agent does not answer, the order is sent to its engine directly, so
/// that one failed agent does not hold up a forward pass of the group. Only a PrepareMap is not
/// sent directly.
class GroupLeader {
 public:
  struct Dependencies {
    boost::asio::io_context& context;
    const runtime::ProcessClock& clock;
    AgentClient& agents;
    EngineClient& engines;
    runtime::StoreLink& store;
    RankPorts ports;
    telemetry::JsonLog& log;
    telemetry::MetricRegistry& metrics;
  };
  GroupLeader(Dependencies dependencies, settings::RankSettings settings,
              balance::RankReport own_report, std::function<void()> on_fenced);

  /// \param fence of the lease under which this process leads
  void StartLeading(balance::Fence fence);
  void StopLeading();
  bool leading() const { return m_leading; }

 private:
  void ReadMembers(const std::string& after_key);
  void ReadConfiguration();
  void AddMembers(const store::PrefixRead& page);
  void ApplyConfiguration(const std::string& value);

  /// \brief Starts a round of polls, unless the last one has not ended.
  void RunRound();
  boost::asio::awaitable<void> PollGroup(std::vector<core::Endpoint> agents);
  void EndRound();
  void PlanMap();
  /// \brief Polls one member whose agent did not answer the last call.
  boost::asio::awaitable<void> PollMember(core::Endpoint engine);
  wire::RankCall MakePoll() const;
  /// \brief Sets the hop time of a call that is passed on, and returns its time-out.
  /// \param message_bytes size of the largest message, which may be a reply
  std::chrono::milliseconds SetTiming(wire::RankCall& call, std::size_t message_bytes) const;

  /// \brief Sends the orders that were decided since the last call.
  void SendOrders();
  /// \param as_difference whether a map is sent as the difference to the one in use
  void StartBatch(const OrderBatch& batch, const std::vector<balance::RankIndex>& ranks,
                  bool as_difference);
  boost::asio::awaitable<void> DeliverBatch(OrderBatch batch, wire::RankCall call,
                                            std::vector<core::Endpoint> agents,
                                            std::chrono::milliseconds timeout);
  boost::asio::awaitable<void> DeliverOrder(balance::SendOrder order);

  bool IsOfGroup(const balance::RankReport& report) const;
  /// \brief Leaves the engine out of later calls if its report names another group.
  /// \return whether it does
  bool NoteOtherGroup(const core::Endpoint& engine, const balance::RankReport& report);
  /// \brief Notes which of the called agents have answered, and what their engines reported.
  void NoteReplies(const std::vector<core::Endpoint>& called,
                   const std::vector<wire::ForwardedReply>& replies);
  void RecordReport(const core::Endpoint& engine, const balance::RankReport& report,
                    core::Instant requested_at);
  void Step(const balance::SwitchEvent& event);
  void Perform(const balance::SendOrder& action);
  void Perform(const balance::SwitchEnded& action);
  void Perform(const balance::SwitchInherited& action);
  void Perform(const balance::RefreshRankStates& action);

  Dependencies m_dependencies;
  settings::RankSettings m_settings;
  balance::RankReport m_own_report;
  std::function<void()> m_on_fenced;  ///< called when a rank reports a newer leader
  balance::SwitchLeader m_switch_leader;
  GroupMembers m_members;
  OrderOutbox m_outbox;
  std::optional<ExpertMapPlanner> m_map_planner;
  std::optional<core::Instant> m_window_start;  ///< of the window of counts, once one has ended
  KnownMap m_known_map;
  std::set<balance::MapDigest> m_sent_maps;  ///< that the agents have been sent by this leader
  runtime::WakeTimer m_round_timer;
  runtime::WakeTimer m_tick_timer;
  core::Instant m_members_read_at{};
  core::Instant m_round_start{};
  core::Instant m_next_plan_at{};
  std::size_t m_pending_polls = 0;  ///< calls of the round that have not ended
  bool m_leading = false;
};

}  // namespace cornelrelay::ranks
