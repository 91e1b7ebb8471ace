#include "cornelrelay/ranks/group_leader.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>
#include <variant>

#include "cornelrelay/core/error.h"
#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/net/errors.h"

namespace cornelrelay::ranks {
namespace {

namespace asio = boost::asio;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Interval between rounds of polls, and length of a window of counts. Shorter windows show a shift
/// sooner but contain fewer choices of experts.
constexpr milliseconds kRoundInterval{120};
/// Interval between ticks of the SwitchLeader while a switch is under way.
constexpr milliseconds kSwitchTickInterval{20};
/// Base time-out of a call to an agent. An agent calls its engine first and answers within some
/// milliseconds.
constexpr microseconds kAgentTimeout{100'000};
/// Added per rank: the leader has a small share of a processor and handles the answers of a large
/// group one after another.
constexpr microseconds kAgentTimeoutPerRank{1'250};
/// Counts that are requested in a round. Most take one byte, and a round may use a third of a 1
/// MB/s link.
constexpr std::size_t kMaxCountsPerRound = 40'000;
/// Members that are asked for their state without counts in a round.
constexpr std::size_t kStateBatch = 12;
/// Pause after planning a map, as a multiple of the planning time, so that planning does not delay
/// orders.
constexpr int kPlanPauseFactor = 3;
/// The state that an engine reports to other hosts is older than its answer by less than this.
constexpr milliseconds kMaxRemoteReportLag{500};
/// Interval at which the list of members is read again while a member is missing.
constexpr milliseconds kMembersRefreshInterval{3'000};
/// An order sent directly to the engine, together with the report after it, takes less than this.
constexpr milliseconds kDirectCallTime{30};

core::Duration AgentTimeout(balance::RankIndex ranks) {
  return kAgentTimeout + kAgentTimeoutPerRank * ranks;
}

balance::SwitchLeaderConfig MakeSwitchLeaderConfig(const balance::RankReport& own_report) {
  balance::SwitchLeaderConfig config;
  config.ranks = own_report.size;
  config.self = own_report.rank;
  // Direct calls to the engine follow after the time-out of its agent.
  config.orders.timeout = AgentTimeout(own_report.size) + kDirectCallTime;
  config.check_timeout = config.orders.timeout;
  return config;
}

}  // namespace

GroupLeader::GroupLeader(Dependencies dependencies, settings::RankSettings settings,
                         balance::RankReport own_report, AgentClient::LocalHandler local_handler,
                         std::function<void()> on_fenced)
    : m_dependencies(dependencies),
      m_settings(std::move(settings)),
      m_own_report(std::move(own_report)),
      m_on_fenced(std::move(on_fenced)),
      m_switch_leader(MakeSwitchLeaderConfig(m_own_report)),
      m_agents(dependencies.client, m_settings.agents, std::move(local_handler),
               std::chrono::ceil<milliseconds>(AgentTimeout(m_own_report.size)), dependencies.log),
      m_round_timer(dependencies.context, dependencies.clock, [this] { RunRound(); }),
      m_tick_timer(dependencies.context, dependencies.clock,
                   [this] { Step(balance::SwitchTick{}); }) {}

void GroupLeader::StartLeading(balance::Fence fence) {
  m_leading = true;
  m_dependencies.log.Info("group_lead_taken", {{"group", m_own_report.group}, {"fence", fence}});
  ReadConfiguration();
  ReadMembers("");
  Step(balance::LeadershipGained{fence});
  RunRound();
}

void GroupLeader::StopLeading() {
  if (!std::exchange(m_leading, false)) return;
  m_dependencies.log.Warning("group_lead_lost",
                             {{"group", m_own_report.group}, {"fence", m_switch_leader.fence()}});
  Step(balance::LeadershipLost{});
}

void GroupLeader::ReadMembers(const std::string& after_key) {
  m_members_read_at = m_dependencies.clock.Now();
  const store::ReadPrefix read{m_dependencies.ports.fleet.UpstreamsPrefix(), after_key};
  m_dependencies.store.Call(read, [this](const store::StoreReply& reply) {
    if (const auto* page = std::get_if<store::PrefixRead>(&reply)) AddMembers(*page);
  });
}

void GroupLeader::AddMembers(const store::PrefixRead& page) {
  for (const store::ItemChange& item : page.items) {
    const relay::FleetItem decoded = m_dependencies.ports.fleet.Decode(item);
    const auto* upstream = std::get_if<relay::UpstreamItem>(&decoded);
    if (upstream == nullptr || !upstream->entry) continue;
    if (upstream->entry->service != m_settings.service) continue;
    const core::Endpoint& engine = upstream->entry->endpoint;
    // Agents listen on the same port on all hosts.
    m_members.Add(engine, {engine.address, m_settings.agents.port});
  }
  if (page.more && !page.items.empty()) ReadMembers(page.items.back().key);
  if (m_leading) Step(balance::SwitchTick{});
}

void GroupLeader::ReadConfiguration() {
  m_dependencies.store.Call(store::Get{m_dependencies.ports.fleet.ConfigurationKey()},
                            [this](const store::StoreReply& reply) {
                              const auto* read = std::get_if<store::ValueRead>(&reply);
                              if (read && read->current) ApplyConfiguration(read->current->value);
                            });
}

void GroupLeader::ApplyConfiguration(const std::string& value) {
  const relay::FleetItem decoded =
      m_dependencies.ports.fleet.Decode({m_dependencies.ports.fleet.ConfigurationKey(), value, 0});
  const auto* item = std::get_if<relay::ConfigurationItem>(&decoded);
  if (item == nullptr) return;
  const auto service = item->configuration.services.find(m_settings.service);
  if (service == item->configuration.services.end() || !service->second.engine) return;
  const routes::EngineModel& engine = *service->second.engine;
  if (engine.expert_layer_sets == 0) return;
  ExpertMapPlannerConfig config;
  config.layer_sets = engine.expert_layer_sets;
  config.experts_per_set = engine.experts;
  config.limits.slots_per_rank = engine.max_experts_per_rank;
  config.limits.max_new_per_rank = engine.max_new_experts_per_rank;
  m_map_planner.emplace(config);
}

void GroupLeader::RunRound() {
  if (!m_leading) return;
  const bool stale = m_dependencies.clock.Now() - m_members_read_at > kMembersRefreshInterval;
  if (stale && !m_members.AllRanksKnown(m_own_report.size)) ReadMembers("");
  if (!m_map_planner) ReadConfiguration();
  PlanMap();
  for (const core::Endpoint& engine : m_members.schedule().Sample(ExpertCountSampleSize())) {
    StartPoll(engine, true);
  }
  for (const core::Endpoint& engine : m_members.NextToPoll(kStateBatch)) StartPoll(engine, false);
  m_round_timer.SetAt(m_dependencies.clock.Now() + kRoundInterval);
}

void GroupLeader::StartPoll(const core::Endpoint& engine, bool want_expert_counts) {
  if (!m_members.BeginPoll(engine)) return;
  asio::co_spawn(
      m_dependencies.context,
      [this, engine, want_expert_counts] { return Poll(engine, want_expert_counts); },
      asio::detached);
}

// All ranks see much the same demand, so the counts of a few show a change as soon as it happens.
std::size_t GroupLeader::ExpertCountSampleSize() const {
  const std::size_t counts =
      m_map_planner ? std::max<std::size_t>(m_map_planner->counts_per_rank(), 1) : 1;
  return std::max<std::size_t>(kMaxCountsPerRound / counts, 1);
}

void GroupLeader::PlanMap() {
  if (!m_map_planner) return;
  m_map_planner->EndWindow();
  const core::Instant planning_start = m_dependencies.clock.Now();
  if (!m_switch_leader.ReadyForSwitch() || planning_start < m_next_plan_at) return;
  const auto current = m_switch_leader.MapInUse();
  if (!current) return;
  const auto proposal = m_map_planner->ProposeMap(*current);
  const core::Instant planning_end = m_dependencies.clock.Now();
  m_next_plan_at = planning_end + kPlanPauseFactor * (planning_end - planning_start);
  if (!proposal) return;
  m_dependencies.log.Info("map_proposed", {{"group", m_own_report.group},
                                           {"fence", m_switch_leader.fence()},
                                           {"copies", proposal->new_copies},
                                           {"busiest_before", proposal->skew_before},
                                           {"busiest_after", proposal->skew_after}});
  Step(balance::MapRequested{proposal->map});
}

asio::awaitable<void> GroupLeader::Poll(core::Endpoint engine, bool want_expert_counts) {
  wire::RankCall call;
  call.fence = m_switch_leader.fence();
  call.want_expert_counts = want_expert_counts;
  const core::Endpoint agent = m_members.At(engine).agent;
  const core::Instant requested_at = m_dependencies.clock.Now();
  const std::optional<wire::RankReply> reply = co_await m_agents.Call(agent, call);
  m_members.EndPoll(engine);
  if (!reply || !reply->report) {
    // The rank of the engine must be known before an order can be sent to it without its agent.
    if (m_members.At(engine).rank) co_return;
    const auto report = co_await m_dependencies.engines.FetchReport(engine);
    if (report) RecordReport(engine, *report, requested_at - kMaxRemoteReportLag);
    co_return;
  }
  if (m_map_planner) m_map_planner->AddCounts(reply->expert_counts);
  RecordReport(engine, *reply->report, requested_at);
}

void GroupLeader::RecordReport(const core::Endpoint& engine, const balance::RankReport& report,
                               core::Instant requested_at) {
  if (report.group != m_own_report.group || report.rank >= m_own_report.size || !m_leading) return;
  m_members.SetRank(engine, report.rank);
  Step(balance::RankObserved{report.rank, report.state, requested_at});
}

asio::awaitable<void> GroupLeader::DeliverOrder(balance::SendOrder order) {
  balance::OrderEnded ended;
  ended.rank = order.rank;
  ended.requested_at = m_dependencies.clock.Now();
  const GroupMember* member = m_members.FindByRank(order.rank);
  if (member == nullptr) {
    Step(ended);
    co_return;
  }
  const core::Endpoint engine = member->engine;
  core::Endpoint agent = member->agent;
  wire::RankCall call;
  const GroupMember* forwarder = order.forwarder ? m_members.FindByRank(*order.forwarder) : nullptr;
  if (forwarder != nullptr) {
    agent = forwarder->agent;
    call.engine = engine;
  }
  call.fence = order.fence;
  call.epoch = order.epoch;
  call.order = order.order;
  const std::optional<wire::RankReply> reply = co_await m_agents.Call(agent, call);
  if (reply) {
    ended.result = reply->result;
    if (reply->report && reply->report->rank == order.rank) ended.state = reply->report->state;
  } else if (!std::holds_alternative<balance::PrepareMap>(order.order)) {
    m_dependencies.log.Warning("agent_bypassed", {{"engine", core::ToString(engine)},
                                                  {"order", KindName(order.order)},
                                                  {"fence", order.fence}});
    ended.result =
        co_await m_dependencies.engines.IssueOrder(engine, order.order, order.epoch, order.fence);
    ended.requested_at = m_dependencies.clock.Now() - kMaxRemoteReportLag;
    const auto report = co_await m_dependencies.engines.FetchReport(engine);
    if (report && report->rank == order.rank) ended.state = report->state;
    if (!report && std::holds_alternative<balance::ObserveRank>(order.order)) {
      ended.result = balance::OrderResult::kUnknown;
    }
  }
  Step(ended);
}

void GroupLeader::Step(const balance::SwitchEvent& event) {
  for (const auto& action : m_switch_leader.Step(m_dependencies.clock.Now(), event)) {
    std::visit([this](const auto& a) { Perform(a); }, action);
  }
  if (m_leading && m_switch_leader.phase() == balance::SwitchLeader::Phase::kFollowing) {
    m_leading = false;
    m_on_fenced();
    m_dependencies.log.Warning("group_lead_fenced",
                               {{"group", m_own_report.group}, {"fence", m_switch_leader.fence()}});
  }
  if (m_switch_leader.Busy()) m_tick_timer.SetAt(m_dependencies.clock.Now() + kSwitchTickInterval);
}

void GroupLeader::Perform(const balance::SendOrder& action) {
  asio::co_spawn(
      m_dependencies.context, [this, action] { return DeliverOrder(action); }, asio::detached);
}

void GroupLeader::Perform(const balance::SwitchEnded& action) {
  m_dependencies.log.Info("map_switch_ended", {{"group", m_own_report.group},
                                               {"version", action.version},
                                               {"outcome", ToString(action.outcome)},
                                               {"step", action.step},
                                               {"fence", m_switch_leader.fence()},
                                               {"elapsed_us", action.elapsed}});
  m_dependencies.metrics
      .GetCounter("cornelrelay_map_switches_total", "Switches of the expert map.",
                  {{"outcome", std::string(ToString(action.outcome))}})
      .Add();
}

void GroupLeader::Perform(const balance::RefreshRankStates&) {
  for (const core::Endpoint& engine : m_members.Engines()) StartPoll(engine, false);
}

void GroupLeader::Perform(const balance::SwitchInherited& action) {
  m_dependencies.log.Warning("map_switch_inherited", {{"group", m_own_report.group},
                                                      {"step", action.step},
                                                      {"forward", action.will_complete},
                                                      {"fence", m_switch_leader.fence()}});
}

}  // namespace cornelrelay::ranks
