#include "cornelrelay/ranks/group_leader.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <map>
#include <set>
#include <utility>
#include <variant>

#include "cornelrelay/core/error.h"
#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/net/errors.h"
#include "cornelrelay/net/rethrow_failure.h"

namespace cornelrelay::ranks {
namespace {

namespace asio = boost::asio;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Least interval between rounds of polls, and length of a window of counts. Shorter windows show a
/// shift sooner but contain fewer choices of experts. A round of a large group takes longer.
constexpr milliseconds kRoundInterval{80};
/// Interval between ticks of the SwitchLeader while a switch is under way.
constexpr milliseconds kSwitchTickInterval{20};
/// Base time-out of a call to an agent. An agent calls its engine first and answers within some
/// milliseconds.
constexpr microseconds kAgentTimeout{100'000};
/// Added per rank: in a large group, agents with a small share of a processor pass a call on.
constexpr microseconds kAgentTimeoutPerRank{500};
/// Members whose agents did not answer that are polled in a round, each on its own.
constexpr std::size_t kUnansweringPolls = 12;
/// Pause after planning a map, as a multiple of the planning time, so that planning does not delay
/// orders.
constexpr int kPlanPauseFactor = 3;
/// The state that an engine reports to other hosts is older than its answer by less than this.
constexpr milliseconds kMaxRemoteReportLag{500};
/// Interval at which the list of members is read again while a member is missing.
constexpr milliseconds kMembersRefreshInterval{3'000};
/// An order sent directly to the engine, together with the report after it, takes less than this.
constexpr milliseconds kDirectCallTime{30};
/// Time that an agent needs to handle a call, besides the transfer of messages.
constexpr milliseconds kHopTime{25};
/// Longest time to transfer a map to the agents to which one passes it on: six of 12 KB on a link
/// of 6 Mbit/s.
constexpr milliseconds kMapHopTime{100};
/// Bytes of an increment of a count on the wire. Most take one.
constexpr double kBytesPerCount = 1.2;
constexpr double kBitsPerByte = 8;
/// A map is sent to this many agents at most that do not answer.
constexpr std::size_t kMaxMapsToUnanswering = 2;
/// Orders of the same kind that are sent one by one. More are passed on from agent to agent.
constexpr std::size_t kMaxSingleOrders = 3;

milliseconds AgentTimeout(balance::RankIndex ranks) {
  return std::chrono::ceil<milliseconds>(kAgentTimeout + kAgentTimeoutPerRank * ranks);
}

balance::SwitchLeaderConfig MakeSwitchLeaderConfig(const balance::RankReport& own_report) {
  balance::SwitchLeaderConfig config;
  config.ranks = own_report.size;
  config.self = own_report.rank;
  // Direct calls to the engine follow after the time-out of its agent.
  const auto depth = static_cast<int>(ForwardingDepth(own_report.size));
  config.orders.timeout = AgentTimeout(own_report.size) + depth * kHopTime + kDirectCallTime;
  config.orders.map_timeout = config.orders.timeout + depth * kMapHopTime;
  // Agents pass the map on, so that the number of copies on one link does not grow with the group.
  config.orders.max_concurrent_maps = own_report.size;
  config.check_timeout = config.orders.timeout;
  return config;
}

}  // namespace

GroupLeader::GroupLeader(Dependencies dependencies, settings::RankSettings settings,
                         balance::RankReport own_report, std::function<void()> on_fenced)
    : m_dependencies(dependencies),
      m_settings(std::move(settings)),
      m_own_report(std::move(own_report)),
      m_on_fenced(std::move(on_fenced)),
      m_switch_leader(MakeSwitchLeaderConfig(m_own_report)),
      m_round_timer(dependencies.context, dependencies.clock, [this] { RunRound(); }),
      m_tick_timer(dependencies.context, dependencies.clock,
                   [this] { Step(balance::SwitchTick{}); }) {}

void GroupLeader::StartLeading(balance::Fence fence) {
  m_leading = true;
  m_sent_maps.clear();
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
    GroupMember member;
    member.upstream = upstream->entry->id;
    member.engine = upstream->entry->endpoint;
    // Agents listen on the same port on all hosts.
    member.agent = {member.engine.address, m_settings.agents.port};
    member.data_centre = upstream->entry->data_centre;
    m_members.Add(member);
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
  m_map_planner.emplace(MakeExpertMapPlannerConfig(engine));
}

void GroupLeader::RunRound() {
  if (!m_leading) return;
  const core::Instant now = m_dependencies.clock.Now();
  const bool stale = now - m_members_read_at > kMembersRefreshInterval;
  const bool complete = m_members.AllRanksKnown(m_own_report.size) && m_members.AllAgentsAnswer();
  if (stale && !complete) ReadMembers("");
  if (!m_map_planner) ReadConfiguration();
  for (const core::Endpoint& engine : m_members.NextUnanswering(kUnansweringPolls)) {
    if (!m_members.BeginPoll(engine)) continue;
    asio::co_spawn(
        m_dependencies.context, [this, engine] { return PollMember(engine); },
        net::RethrowFailure{});
  }
  // Orders of a switch do not wait behind counts on slow links. The next counts are of all the
  // time.
  if (m_pending_polls == 0 && !m_switch_leader.Switching()) {
    const ForwardingGroups groups = m_members.AnsweringAgents();
    m_pending_polls = groups.size();
    m_round_start = now;
    for (const std::vector<core::Endpoint>& agents : groups) {
      asio::co_spawn(
          m_dependencies.context, [this, agents] { return PollGroup(agents); },
          net::RethrowFailure{});
    }
  }
  m_round_timer.SetAt(now + kRoundInterval);
}

wire::RankCall GroupLeader::MakePoll() const {
  wire::RankCall call;
  call.group = m_own_report.group;
  call.fence = m_switch_leader.fence();
  call.want_expert_counts = m_map_planner.has_value();
  call.known_map = m_known_map.version();
  return call;
}

milliseconds GroupLeader::SetTiming(wire::RankCall& call, std::size_t message_bytes) const {
  const double bits = static_cast<double>(message_bytes * kForwardingFanOut) * kBitsPerByte;
  const std::chrono::duration<double, std::micro> transfer(bits / m_settings.link_mbit_per_second);
  call.hop_time = kHopTime + std::chrono::ceil<milliseconds>(transfer);
  const std::size_t depth = ForwardingDepth(m_members.size());
  return AgentTimeout(m_own_report.size) + call.hop_time * static_cast<int>(depth);
}

asio::awaitable<void> GroupLeader::PollGroup(std::vector<core::Endpoint> agents) {
  const core::Instant requested_at = m_dependencies.clock.Now();
  wire::RankCall poll = MakePoll();
  const std::size_t counts = m_map_planner ? m_map_planner->counts_per_rank() : 0;
  const milliseconds timeout =
      SetTiming(poll, static_cast<std::size_t>(kBytesPerCount * static_cast<double>(counts)));
  const auto call = m_dependencies.agents.StartGroupCall({agents}, poll, timeout);
  const GroupReply reply = co_await call->Replies();
  --m_pending_polls;
  if (!m_leading) co_return;
  NoteReplies(agents, reply.replies);
  balance::RanksObserved observed;
  for (const wire::ForwardedReply& answer : reply.replies) {
    if (!answer.report || !IsOfGroup(*answer.report)) continue;
    observed.ranks.push_back(
        {answer.report->rank, m_known_map.Complete(*answer.report), requested_at});
  }
  if (m_map_planner) m_map_planner->AddCounts(reply.expert_counts);
  Step(observed);
  if (m_pending_polls == 0) EndRound();
}

void GroupLeader::EndRound() {
  if (!m_leading) return;
  if (m_map_planner) {
    const core::Instant now = m_dependencies.clock.Now();
    m_map_planner->EndWindow(m_window_start ? now - *m_window_start : kRoundInterval);
    m_window_start = now;
    PlanMap();
  }
  m_round_timer.SetAt(std::max(m_dependencies.clock.Now(), m_round_start + kRoundInterval));
}

void GroupLeader::PlanMap() {
  const core::Instant planning_start = m_dependencies.clock.Now();
  if (!m_switch_leader.ReadyForSwitch() || planning_start < m_next_plan_at) return;
  auto current = m_switch_leader.MapInUse();
  if (!current) return;
  const auto proposal = m_map_planner->ProposeMap(*current);
  const balance::MapVersion version = m_switch_leader.state(m_own_report.rank)->map;
  if (m_known_map.version() != version) {
    m_known_map.Set(m_switch_leader.epoch(), version, balance::SharedLayerMap(std::move(*current)));
  }
  const core::Instant planning_end = m_dependencies.clock.Now();
  m_next_plan_at = planning_end + kPlanPauseFactor * (planning_end - planning_start);
  if (!proposal) return;
  m_dependencies.log.Info("map_proposed", {{"group", m_own_report.group},
                                           {"fence", m_switch_leader.fence()},
                                           {"copies", proposal->new_copies},
                                           {"busiest_before", proposal->skew_before},
                                           {"busiest_after", proposal->skew_after},
                                           {"planning_us", planning_end - planning_start}});
  Step(balance::MapRequested{proposal->map});
}

asio::awaitable<void> GroupLeader::PollMember(core::Endpoint engine) {
  const core::Endpoint agent = m_members.At(engine).agent;
  const core::Instant requested_at = m_dependencies.clock.Now();
  const std::optional<wire::RankReply> reply =
      co_await m_dependencies.agents.Call(agent, MakePoll(), AgentTimeout(m_own_report.size));
  m_members.EndPoll(engine);
  m_members.SetAgentAnswers(engine, reply && reply->report);
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

// An engine that has just started may report no group yet.
bool GroupLeader::NoteOtherGroup(const core::Endpoint& engine, const balance::RankReport& report) {
  if (report.group == m_own_report.group || report.group.empty()) return false;
  m_members.SetOtherGroup(engine);
  return true;
}

bool GroupLeader::IsOfGroup(const balance::RankReport& report) const {
  return report.group == m_own_report.group && report.rank < m_own_report.size;
}

void GroupLeader::NoteReplies(const std::vector<core::Endpoint>& called,
                              const std::vector<wire::ForwardedReply>& replies) {
  std::set<core::Endpoint> answered;
  for (const wire::ForwardedReply& reply : replies) {
    const GroupMember* member = m_members.FindByAgent(reply.agent);
    if (member == nullptr || !reply.report) continue;
    answered.insert(reply.agent);
    if (NoteOtherGroup(member->engine, *reply.report)) continue;
    if (!IsOfGroup(*reply.report)) continue;
    // The states of a map whose experts the agents omit are of no use in another epoch.
    m_known_map.NoteEpoch(reply.report->state.epoch);
    m_members.SetRank(member->engine, reply.report->rank);
    if (m_map_planner) m_map_planner->SetPace(reply.report->rank, reply.report->pace);
  }
  for (const core::Endpoint& agent : answered) {
    m_members.SetAgentAnswers(m_members.FindByAgent(agent)->engine, true);
  }
  for (const core::Endpoint& agent : FindFailedAgents(called, answered)) {
    const GroupMember* member = m_members.FindByAgent(agent);
    if (member != nullptr) m_members.SetAgentAnswers(member->engine, false);
  }
}

void GroupLeader::RecordReport(const core::Endpoint& engine, const balance::RankReport& report,
                               core::Instant requested_at) {
  if (NoteOtherGroup(engine, report)) return;
  if (!IsOfGroup(report) || !m_leading) return;
  m_known_map.NoteEpoch(report.state.epoch);
  m_members.SetRank(engine, report.rank);
  if (m_map_planner) m_map_planner->SetPace(report.rank, report.pace);
  Step(balance::RankObserved{report.rank, m_known_map.Complete(report), requested_at});
}

void GroupLeader::SendOrders() {
  for (const balance::SendOrder& order : m_outbox.TakeForwarded()) {
    asio::co_spawn(
        m_dependencies.context, [this, order] { return DeliverOrder(order); },
        net::RethrowFailure{});
  }
  for (const OrderBatch& batch : m_outbox.TakeBatches()) {
    std::vector<balance::RankIndex> ranks;
    std::size_t maps = 0;
    for (const balance::RankIndex rank : batch.ranks) {
      const GroupMember* member = m_members.FindByRank(rank);
      const bool answers = member != nullptr && member->agent_answers;
      if (answers && batch.ranks.size() > kMaxSingleOrders) {
        ranks.push_back(rank);
        continue;
      }
      // Counts as lost, and is sent again later.
      const bool map = std::holds_alternative<balance::PrepareMap>(batch.order);
      if (map && !answers && ++maps > kMaxMapsToUnanswering) continue;
      const balance::SendOrder order{rank, batch.order, batch.fence, batch.epoch};
      asio::co_spawn(
          m_dependencies.context, [this, order] { return DeliverOrder(order); },
          net::RethrowFailure{});
    }
    StartBatch(batch, ranks, true);
  }
}

void GroupLeader::StartBatch(const OrderBatch& batch, const std::vector<balance::RankIndex>& ranks,
                             bool as_difference) {
  if (ranks.empty()) return;
  wire::RankCall call;
  call.group = m_own_report.group;
  call.fence = batch.fence;
  call.epoch = batch.epoch;
  call.order = batch.order;
  call.known_map = m_known_map.version();
  if (auto* prepare = std::get_if<balance::PrepareMap>(&call.order)) {
    const balance::LayerMap& map = prepare->map.layers();
    if (as_difference && m_known_map.layers() != nullptr) {
      auto delta = balance::DiffMaps(*m_known_map.layers(), map);
      if (delta && m_sent_maps.contains(delta->base)) call.map_delta = std::move(delta);
    }
    m_sent_maps.insert(balance::DigestOf(map));
    if (call.map_delta) prepare->map = balance::SharedLayerMap();
  }
  const milliseconds timeout = SetTiming(call, wire::Encode(call).size());
  for (const std::vector<core::Endpoint>& agents : m_members.AgentsOf(ranks)) {
    asio::co_spawn(
        m_dependencies.context,
        [this, batch, call, agents, timeout] { return DeliverBatch(batch, call, agents, timeout); },
        net::RethrowFailure{});
  }
}

asio::awaitable<void> GroupLeader::DeliverBatch(OrderBatch batch, wire::RankCall call,
                                                std::vector<core::Endpoint> agents,
                                                milliseconds timeout) {
  std::map<core::Endpoint, balance::RankIndex> ranks;
  for (const core::Endpoint& agent : agents) {
    const GroupMember* member = m_members.FindByAgent(agent);
    if (member != nullptr && member->rank) ranks.emplace(agent, *member->rank);
  }
  const core::Instant requested_at = m_dependencies.clock.Now();
  const auto group_call = m_dependencies.agents.StartGroupCall({agents}, call, timeout);
  const GroupReply reply = co_await group_call->Replies();
  NoteReplies(agents, reply.replies);
  balance::OrdersEnded ended;
  std::vector<balance::RankIndex> lacking;
  for (const wire::ForwardedReply& answer : reply.replies) {
    const auto found = ranks.find(answer.agent);
    if (found == ranks.end()) continue;
    if (answer.lacks_map) {
      lacking.push_back(found->second);
    } else {
      balance::OrderEnded& order = ended.orders.emplace_back();
      order.rank = found->second;
      order.result = answer.result;
      order.requested_at = requested_at;
      if (answer.report && answer.report->rank == order.rank) {
        order.state = m_known_map.Complete(*answer.report);
      }
    }
    ranks.erase(found);
  }
  for (const auto& [agent, rank] : ranks) {
    ended.orders.push_back({rank, balance::OrderResult::kUnknown, std::nullopt, requested_at});
  }
  Step(ended);
  // Agents that have restarted are sent the whole map.
  StartBatch(batch, lacking, false);
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
  call.group = m_own_report.group;
  call.fence = order.fence;
  call.epoch = order.epoch;
  call.order = order.order;
  call.known_map = m_known_map.version();
  const bool map = std::holds_alternative<balance::PrepareMap>(order.order);
  std::optional<wire::RankReply> reply;
  if (forwarder != nullptr || member->agent_answers || map) {
    reply = co_await m_dependencies.agents.Call(agent, call, AgentTimeout(m_own_report.size));
    if (forwarder == nullptr) m_members.SetAgentAnswers(engine, reply.has_value());
  }
  if (reply) {
    ended.result = reply->result;
    if (reply->report && reply->report->rank == order.rank) {
      ended.state = m_known_map.Complete(*reply->report);
    }
  } else if (!map) {
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
    m_window_start.reset();
    m_on_fenced();
    m_dependencies.log.Warning("group_lead_fenced",
                               {{"group", m_own_report.group}, {"fence", m_switch_leader.fence()}});
  }
  SendOrders();
  if (m_switch_leader.Busy()) m_tick_timer.SetAt(m_dependencies.clock.Now() + kSwitchTickInterval);
}

void GroupLeader::Perform(const balance::SendOrder& action) { m_outbox.Add(action); }

void GroupLeader::Perform(const balance::SwitchEnded& action) {
  m_known_map.NoteSwitch(m_switch_leader.epoch(), action);
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

// The rounds ask all ranks for their states anyway.
void GroupLeader::Perform(const balance::RefreshRankStates&) { RunRound(); }

void GroupLeader::Perform(const balance::SwitchInherited& action) {
  m_dependencies.log.Warning("map_switch_inherited", {{"group", m_own_report.group},
                                                      {"step", action.step},
                                                      {"forward", action.will_complete},
                                                      {"fence", m_switch_leader.fence()}});
}

}  // namespace cornelrelay::ranks
