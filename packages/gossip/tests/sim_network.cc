#include "sim_network.h"

namespace cornelrelay::gossip::testing {
namespace {

constexpr std::size_t kSocketBuffer = 200;

}  // namespace

SimNetwork::SimNetwork(Options options) : m_options(options), m_random(options.seed) {
  m_hosts.resize(options.entries + options.agents);
  m_sides.assign(m_hosts.size(), 0);
  for (int host = 0; host < size(); ++host) {
    Start(host);
    Push(now() + std::chrono::milliseconds(m_random.Below(250)), host, nullptr);
  }
}

core::HostId SimNetwork::Id(int host) const {
  return core::HostId((IsEntry(host) ? "entry-" : "agent-") + std::to_string(host));
}

core::UpstreamId SimNetwork::Upstream(int agent) const {
  return core::UpstreamId("upstream-" + std::to_string(agent));
}

core::DataCentreId SimNetwork::DataCentre(int host) const {
  return core::DataCentreId("dc-" + std::to_string(host % m_options.data_centres));
}

core::Endpoint SimNetwork::Address(int host) const {
  return {"127.0.0.1", static_cast<std::uint16_t>(10000 + host)};
}

void SimNetwork::Start(int host) {
  Host& state = m_hosts[host];
  NodeSettings settings;
  settings.self = Id(host);
  settings.role = IsEntry(host) ? Role::kEntry : Role::kAgent;
  settings.data_centre = DataCentre(host);
  settings.control = Address(host);
  settings.incarnation = static_cast<std::uint64_t>(now().time_since_epoch().count()) + 1;
  // One seed in each data centre; hosts are dealt to data centres in turn.
  for (int seed = 0; seed < m_options.data_centres; ++seed) settings.seeds.push_back(Address(seed));
  settings.random_seed =
      m_options.seed * 1000 + static_cast<std::uint64_t>(host) + ++state.starts * 7919;
  settings.topology = m_options.topology;
  settings.encoding = m_options.encoding;
  settings.faults = m_options.faults;
  state.node = std::make_unique<GossipNode>(settings);
  state.paused = false;
  state.inbox.clear();
}

void SimNetwork::Resume(int host) {
  Host& state = m_hosts[host];
  state.paused = false;
  const std::vector<Received> inbox = std::exchange(state.inbox, {});
  for (const Received& received : inbox) Send(host, received);
}

void SimNetwork::Send(int host, const NodeEvent& event) {
  if (Running(host)) Perform(host, m_hosts[host].node->Step(now(), event));
}

void SimNetwork::SendFullHostList() {
  HostListReceived list;
  for (int host = 0; host < size(); ++host) {
    list.hosts.push_back(
        {Id(host), IsEntry(host) ? Role::kEntry : Role::kAgent, DataCentre(host), Address(host)});
  }
  for (int host = 0; host < size(); ++host) Send(host, list);
}

void SimNetwork::Push(core::Instant time, int host, std::shared_ptr<const Received> message) {
  m_events.Push(time, {host, std::move(message)});
}

void SimNetwork::Run(core::Duration duration) {
  m_events.RunUntil(now() + duration, [this](const Event& event) { Handle(event); });
}

void SimNetwork::Handle(const Event& event) {
  if (event.message == nullptr) {
    Push(now() + std::chrono::milliseconds(250), event.host, nullptr);
    Tick(event.host);
    return;
  }
  Host& state = m_hosts[event.host];
  if (state.paused && state.node != nullptr) {
    if (state.inbox.size() < kSocketBuffer) state.inbox.push_back(*event.message);
    return;
  }
  Send(event.host, *event.message);
}

void SimNetwork::Tick(int host) {
  if (reports && !IsEntry(host) && Running(host) && m_random.Below(4) == 0) {
    Load& load = m_hosts[host].load;
    load.running = static_cast<std::uint8_t>(m_random.Below(256));
    load.waiting = static_cast<std::uint8_t>(m_random.Below(4));
    Send(host,
         PublishStatus{Upstream(host),
                       {core::ServiceId("model"), DataCentre(host), Address(host), load, false}});
  }
  Send(host, gossip::Tick{});
}

void SimNetwork::Perform(int host, std::vector<Action> actions) {
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<gossip::Send>(&action)) Transmit(host, *send);
    const auto* changed = std::get_if<RecordChanged>(&action);
    if (changed == nullptr) continue;
    const auto* member = std::get_if<MemberState>(&changed->record.payload);
    if (member == nullptr || member->life != Life::kDead) continue;
    for (int subject = 0; subject < size(); ++subject) {
      if (Id(subject).value() == changed->record.key.subject && Running(subject)) {
        ++m_deaths[changed->record.key.subject];
      }
    }
  }
}

void SimNetwork::Transmit(int from, const struct Send& send) {
  const int to = send.endpoint.port - 10000;
  if (to < 0 || to >= size() || m_sides[from] != m_sides[to]) return;
  const int copies = m_random.Unit() < duplication ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (m_random.Unit() < loss) continue;
    const auto delay = core::Duration(1000 + m_random.Below(max_delay.count()));
    Push(now() + delay, to,
         std::make_shared<const Received>(Received{Id(from), Address(from), send.message}));
  }
}

Life SimNetwork::LifeSeen(int observer, int subject) const {
  const MemberState* member = node(observer).table().FindMember(Id(subject));
  return member == nullptr ? Life::kDead : member->life;
}

bool SimNetwork::UsableAt(int observer, int agent) const {
  const auto found = UpstreamView(node(observer).table()).Find(Upstream(agent), now());
  return found && !found->leaving;
}

Load SimNetwork::LoadOf(int agent) const {
  const StoredRecord* own =
      node(agent).table().Find({RecordKind::kUpstream, Upstream(agent).value()});
  return own == nullptr ? Load{} : std::get<UpstreamStatus>(own->record.payload).load;
}

}  // namespace cornelrelay::gossip::testing
