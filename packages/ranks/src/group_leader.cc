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

/// Window of counts. Shorter ones show a shift sooner, but hold fewer choices of experts.
constexpr milliseconds kRound{120};
/// Pause between two looks at a switch under way.
constexpr milliseconds kSwitchTick{20};
/// An agent answers within some milliseconds; it asks its engine first. The leader has a small part
/// of a processor, and takes up the answers of a large group one after the other.
constexpr microseconds kAgentTimeout{100'000};
constexpr microseconds kAgentTimeoutPerRank{1'250};
/// Counts that are asked for in a round. Most take one byte, and a round may use a third of a link
/// of 1 MB/s.
constexpr std::size_t kCountsPerRound = 40'000;
/// Members asked for their state alone in a round.
constexpr std::size_t kStatesPerRound = 12;
/// Pause after a plan, in times of what the plan took, so that orders are not kept waiting.
constexpr int kPlanRest = 3;
/// What an engine tells other hosts of itself is older than its answer by less than this.
constexpr milliseconds kRemoteLag{500};
/// The list of members is read again this often while one is missing.
constexpr milliseconds kMembersRefresh{3'000};
/// An order that is sent past its agent, and the report after it, take less than this.
constexpr milliseconds kPastAgent{30};

core::Duration AgentTimeout(balance::RankIndex ranks) {
  return kAgentTimeout + kAgentTimeoutPerRank * ranks;
}

balance::SwitchLeaderConfig ConfigOf(const balance::RankReport& self) {
  balance::SwitchLeaderConfig config;
  config.ranks = self.size;
  config.self = self.rank;
  // Calls past an agent that does not answer follow its time-out.
  config.orders.timeout = AgentTimeout(self.size) + kPastAgent;
  config.check_timeout = config.orders.timeout;
  return config;
}

}  // namespace

GroupLeader::GroupLeader(Services services, settings::RankSettings settings,
                         balance::RankReport self, AgentLink::OwnAgent own_agent,
                         std::function<void()> on_fenced)
    : m_services(services),
      m_settings(std::move(settings)),
      m_self(std::move(self)),
      m_on_fenced(std::move(on_fenced)),
      m_machine(ConfigOf(m_self)),
      m_agents(services.client, m_settings.agents, std::move(own_agent),
               std::chrono::ceil<milliseconds>(AgentTimeout(m_self.size)), services.log),
      m_round_timer(services.context, services.clock, [this] { Round(); }),
      m_tick_timer(services.context, services.clock, [this] { Step(balance::SwitchTick{}); }) {}

void GroupLeader::Lead(balance::Fence fence) {
  m_leading = true;
  m_services.log.Info("group_lead_taken", {{"group", m_self.group}, {"fence", fence}});
  ReadConfiguration();
  ReadMembers("");
  Step(balance::LeadershipGained{fence});
  Round();
}

void GroupLeader::Stop() {
  if (!std::exchange(m_leading, false)) return;
  m_services.log.Warning("group_lead_lost",
                         {{"group", m_self.group}, {"fence", m_machine.fence()}});
  Step(balance::LeadershipLost{});
}

void GroupLeader::ReadMembers(const std::string& after_key) {
  m_members_read = m_services.clock.Now();
  const store::ReadPrefix read{m_services.ports.fleet.UpstreamsPrefix(), after_key};
  m_services.store.Call(read, [this](const store::StoreReply& reply) {
    if (const auto* page = std::get_if<store::PrefixRead>(&reply)) UseMembers(*page);
  });
}

void GroupLeader::UseMembers(const store::PrefixRead& page) {
  for (const store::ItemChange& item : page.items) {
    const relay::FleetItem decoded = m_services.ports.fleet.Decode(item);
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
  m_services.store.Call(store::Get{m_services.ports.fleet.ConfigurationKey()},
                        [this](const store::StoreReply& reply) {
                          const auto* read = std::get_if<store::ValueRead>(&reply);
                          if (read && read->current) UseConfiguration(read->current->value);
                        });
}

void GroupLeader::UseConfiguration(const std::string& value) {
  const relay::FleetItem decoded =
      m_services.ports.fleet.Decode({m_services.ports.fleet.ConfigurationKey(), value, 0});
  const auto* item = std::get_if<relay::ConfigurationItem>(&decoded);
  if (item == nullptr) return;
  const auto service = item->configuration.services.find(m_settings.service);
  if (service == item->configuration.services.end() || !service->second.engine) return;
  const routes::EngineModel& engine = *service->second.engine;
  if (engine.expert_layer_sets == 0) return;
  GroupDemandConfig config;
  config.sets = engine.expert_layer_sets;
  config.experts = engine.experts;
  config.limits.places = engine.max_experts_per_rank;
  config.limits.spares = engine.max_concurrent_expert_loads;
  m_demand.emplace(config);
}

void GroupLeader::Round() {
  if (!m_leading) return;
  const bool stale = m_services.clock.Now() - m_members_read > kMembersRefresh;
  if (stale && !m_members.Complete(m_self.size)) ReadMembers("");
  if (!m_demand) ReadConfiguration();
  Plan();
  for (const core::Endpoint& engine : m_members.rota().Sample(SamplesPerRound())) {
    Ask(engine, true);
  }
  for (const core::Endpoint& engine : m_members.Next(kStatesPerRound)) Ask(engine, false);
  m_round_timer.SetAt(m_services.clock.Now() + kRound);
}

void GroupLeader::Ask(const core::Endpoint& engine, bool want_expert_counts) {
  if (!m_members.BeginPoll(engine)) return;
  asio::co_spawn(
      m_services.context,
      [this, engine, want_expert_counts] { return Poll(engine, want_expert_counts); },
      asio::detached);
}

// All ranks see much the same demand, so that a few tell it as soon as it changes.
std::size_t GroupLeader::SamplesPerRound() const {
  const std::size_t counts = m_demand ? std::max<std::size_t>(m_demand->counts(), 1) : 1;
  return std::max<std::size_t>(kCountsPerRound / counts, 1);
}

void GroupLeader::Plan() {
  if (!m_demand) return;
  m_demand->EndWindow();
  const core::Instant begun = m_services.clock.Now();
  if (!m_machine.ReadyForSwitch() || begun < m_next_plan) return;
  const auto current = m_machine.MapInUse();
  if (!current) return;
  const auto proposal = m_demand->Propose(*current);
  const core::Instant planned = m_services.clock.Now();
  m_next_plan = planned + kPlanRest * (planned - begun);
  if (!proposal) return;
  m_services.log.Info("map_proposed", {{"group", m_self.group},
                                       {"fence", m_machine.fence()},
                                       {"copies", proposal->copies},
                                       {"busiest_before", proposal->before},
                                       {"busiest_after", proposal->after}});
  Step(balance::MapRequested{proposal->map});
}

asio::awaitable<void> GroupLeader::Poll(core::Endpoint engine, bool want_expert_counts) {
  wire::RankCall call;
  call.fence = m_machine.fence();
  call.want_expert_counts = want_expert_counts;
  const core::Endpoint agent = m_members.At(engine).agent;
  const core::Instant asked = m_services.clock.Now();
  const std::optional<wire::RankReply> reply = co_await m_agents.Call(agent, call);
  m_members.EndPoll(engine);
  if (!reply || !reply->report) {
    // Which rank it is must be known before an order can be sent past its agent.
    if (m_members.At(engine).rank) co_return;
    const auto report = co_await m_services.engines.Report(engine);
    if (report) Learn(engine, *report, asked - kRemoteLag);
    co_return;
  }
  if (m_demand) m_demand->Count(reply->expert_counts);
  Learn(engine, *reply->report, asked);
}

void GroupLeader::Learn(const core::Endpoint& engine, const balance::RankReport& report,
                        core::Instant asked) {
  if (report.group != m_self.group || report.rank >= m_self.size || !m_leading) return;
  m_members.SetRank(engine, report.rank);
  Step(balance::RankObserved{report.rank, report.state, asked});
}

asio::awaitable<void> GroupLeader::Deliver(balance::SendOrder order) {
  balance::OrderEnded ended;
  ended.rank = order.rank;
  ended.requested_at = m_services.clock.Now();
  const GroupMember* member = m_members.OfRank(order.rank);
  if (member == nullptr) {
    Step(ended);
    co_return;
  }
  const core::Endpoint engine = member->engine;
  core::Endpoint agent = member->agent;
  wire::RankCall call;
  const GroupMember* giver = order.forwarder ? m_members.OfRank(*order.forwarder) : nullptr;
  if (giver != nullptr) {
    agent = giver->agent;
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
    m_services.log.Warning("agent_bypassed", {{"engine", core::ToString(engine)},
                                              {"order", KindName(order.order)},
                                              {"fence", order.fence}});
    ended.result = co_await m_services.engines.Order(engine, order.order, order.epoch, order.fence);
    ended.requested_at = m_services.clock.Now() - kRemoteLag;
    const auto report = co_await m_services.engines.Report(engine);
    if (report && report->rank == order.rank) ended.state = report->state;
    if (!report && std::holds_alternative<balance::ObserveRank>(order.order)) {
      ended.result = balance::OrderResult::kUnknown;
    }
  }
  Step(ended);
}

void GroupLeader::Step(const balance::SwitchEvent& event) {
  for (const auto& action : m_machine.Step(m_services.clock.Now(), event)) {
    std::visit([this](const auto& a) { Perform(a); }, action);
  }
  if (m_leading && m_machine.phase() == balance::SwitchLeader::Phase::kFollowing) {
    m_leading = false;
    m_on_fenced();
    m_services.log.Warning("group_lead_fenced",
                           {{"group", m_self.group}, {"fence", m_machine.fence()}});
  }
  if (m_machine.Busy()) m_tick_timer.SetAt(m_services.clock.Now() + kSwitchTick);
}

void GroupLeader::Perform(const balance::SendOrder& action) {
  asio::co_spawn(
      m_services.context, [this, action] { return Deliver(action); }, asio::detached);
}

void GroupLeader::Perform(const balance::SwitchEnded& action) {
  m_services.log.Info("map_switch_ended", {{"group", m_self.group},
                                           {"version", action.version},
                                           {"outcome", ToString(action.outcome)},
                                           {"step", action.step},
                                           {"fence", m_machine.fence()},
                                           {"elapsed_us", action.elapsed}});
  m_services.metrics
      .GetCounter("cornelrelay_map_switches_total", "Switches of the expert map.",
                  {{"outcome", std::string(ToString(action.outcome))}})
      .Add();
}

void GroupLeader::Perform(const balance::RefreshRankStates&) {
  for (const core::Endpoint& engine : m_members.All()) Ask(engine, false);
}

void GroupLeader::Perform(const balance::SwitchInherited& action) {
  m_services.log.Warning("map_switch_inherited", {{"group", m_self.group},
                                                  {"step", action.step},
                                                  {"forward", action.will_complete},
                                                  {"fence", m_machine.fence()}});
}

}  // namespace cornelrelay::ranks
