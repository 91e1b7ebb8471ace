#include "gossip_cost/cost_network.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include "cornelrelay/gossip/message_size.h"
#include "cornelrelay/gossip/quantise.h"

namespace cornelrelay::bench {
namespace {

constexpr core::Duration kTick = std::chrono::milliseconds(250);
constexpr core::Duration kNearDelay = std::chrono::microseconds(300);
constexpr core::Duration kFarDelay = std::chrono::milliseconds(3);
// Time to fetch a table or a catalogue from a peer by TCP.
constexpr core::Duration kTransferDelay = std::chrono::milliseconds(50);
constexpr core::Duration kFarSpread = std::chrono::minutes(2);
constexpr std::uint64_t kTcpOverhead = 200;

double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

class CpuTimer {
 public:
  explicit CpuTimer(Tally& tally) : m_tally(tally), m_start(CpuSeconds()) {}
  ~CpuTimer() { m_tally.cpu_seconds += CpuSeconds() - m_start; }
  CpuTimer(const CpuTimer&) = delete;
  CpuTimer& operator=(const CpuTimer&) = delete;

 private:
  Tally& m_tally;
  double m_start;
};

}  // namespace

CostNetwork::CostNetwork(Options options)
    : m_options(options), m_random(options.seed), m_key("cost measurement key") {
  m_hosts.resize(options.entries + options.agents);
  m_sides.assign(options.data_centres, 0);
  for (int host = 0; host < size(); ++host) Start(host);
  Preload();
}

core::HostId CostNetwork::Id(int host) const {
  std::string number = std::to_string(host);
  number.insert(0, 4 - std::min<std::size_t>(4, number.size()), '0');
  return core::HostId((IsEntry(host) ? "entry-" : "agent-") + number);
}

core::UpstreamId CostNetwork::Upstream(int agent) const {
  return core::UpstreamId("upstream-" + Id(agent).value().substr(6));
}

core::Endpoint CostNetwork::Address(int host) const {
  return {"10.20.30.40", static_cast<std::uint16_t>(10000 + host)};
}

void CostNetwork::Start(int host) {
  Host& state = m_hosts[host];
  gossip::NodeSettings settings;
  settings.self = Id(host);
  settings.role = IsEntry(host) ? gossip::Role::kEntry : gossip::Role::kAgent;
  settings.data_centre = core::DataCentreId("dc-" + std::to_string(DataCentre(host)));
  settings.control = Address(host);
  state.incarnation = static_cast<std::uint64_t>(now().time_since_epoch().count()) + 1;
  settings.incarnation = state.incarnation;
  for (int seed = DataCentre(host); seed < m_options.entries && settings.seeds.size() < 3;
       seed += m_options.data_centres) {
    settings.seeds.push_back(Address(seed));
  }
  settings.random_seed = m_random();
  settings.topology = m_options.topology;
  settings.encoding = m_options.encoding;
  state.random = core::Random(m_random());
  state.node = std::make_unique<gossip::GossipNode>(settings);
  state.guard = std::make_unique<wire::ReplayGuard>();
  state.counter = 0;
  state.revision = 0;
  Schedule(core::Duration(m_random.Below(kTick.count())), Kind::kTick, host);
}

// Steady state: every node has the whole table, as after hours of running.
void CostNetwork::Preload() {
  std::vector<gossip::Record> records;
  for (int host = 0; host < size(); ++host) {
    if (!IsEntry(host)) Report(host);
    Send(host, gossip::Tick{});
    const auto own = node(host).Snapshot(now(), gossip::SnapshotPart::kNear);
    records.insert(records.end(), own.begin(), own.end());
  }
  for (int host = 0; host < size(); ++host) Send(host, gossip::SnapshotReceived{records});
  ResetTallies();
}

void CostNetwork::Schedule(core::Duration delay, Kind kind, int host,
                           std::shared_ptr<const std::string> bytes) {
  m_events.Push(now() + delay, {kind, host, m_hosts[host].incarnation, std::move(bytes)});
}

void CostNetwork::Run(core::Duration duration) {
  m_events.RunUntil(now() + duration, [this](const Event& event) { Handle(event); });
}

void CostNetwork::Handle(const Event& event) {
  Host& state = m_hosts[event.host];
  const bool same_life = event.incarnation == state.incarnation;
  if (state.node == nullptr || (event.kind != Kind::kDatagram && !same_life)) return;
  switch (event.kind) {
    case Kind::kTick:
      Schedule(kTick, Kind::kTick, event.host);
      state.tally.node_seconds += std::chrono::duration<double>(kTick).count();
      Tick(event.host);
      break;
    case Kind::kDatagram:
      Deliver(event.host, *event.bytes);
      break;
    case Kind::kNearSnapshot:
      FetchSnapshot(event.host, gossip::SnapshotPart::kNear);
      break;
    case Kind::kFarSnapshot:
      FetchSnapshot(event.host, gossip::SnapshotPart::kFar);
      break;
    case Kind::kRevision:
      state.revision = state.node->highest_revision();
      Send(event.host, gossip::SetRevision{state.revision});
      break;
  }
}

void CostNetwork::Tick(int host) {
  Host& state = m_hosts[host];
  if (!IsEntry(host) && now() >= state.next_report) Report(host);
  CpuTimer timer(state.tally);
  Send(host, gossip::Tick{});
}

// Load that wanders from report to report, so that most reports differ from the last.
void CostNetwork::Report(int host) {
  Host& state = m_hosts[host];
  state.next_report = now() + std::chrono::microseconds(static_cast<std::int64_t>(
                                  (m_options.report_interval - 0.125) * 1e6));
  const auto wander = [&](double& value, double step, double low, double high) {
    value = std::clamp(value + (state.random.Unit() - 0.5) * step, low, high);
  };
  wander(state.running, 8, 0, 64);
  wander(state.waiting, 2, 0, 16);
  wander(state.cache_use, 0.02, 0, 1);
  const gossip::Load load{
      gossip::QuantiseCount(state.running), gossip::QuantiseCount(state.waiting),
      gossip::QuantiseRatio(state.cache_use), gossip::QuantiseMilliseconds(10 + state.running / 4)};
  CpuTimer timer(state.tally);
  Send(host, gossip::PublishStatus{Upstream(host),
                                   {core::ServiceId("model-" + std::to_string(host % 11)),
                                    core::DataCentreId("dc-" + std::to_string(DataCentre(host))),
                                    Address(host), load, false}});
  const auto* stored =
      state.node->table().Find({gossip::RecordKind::kUpstream, Upstream(host).value()});
  if (stored->record.version.sequence >= state.issued.size()) {
    state.issued.resize(stored->record.version.sequence + 1, now());
  }
}

void CostNetwork::Deliver(int host, const std::string& bytes) {
  Host& state = m_hosts[host];
  state.tally.bytes_received += bytes.size() + gossip::kNetworkBytes;
  ++state.tally.messages_received;
  CpuTimer timer(state.tally);
  const wire::SealedDatagram datagram = wire::Open(bytes, m_key, gossip::kDatagramLimit);
  state.guard->Accept(datagram.sender, datagram.incarnation, datagram.counter);
  const int from = std::stoi(datagram.sender.value().substr(6));
  std::visit(
      [&](auto message) {
        using Message = std::decay_t<decltype(message)>;
        if constexpr (std::is_constructible_v<gossip::Message, Message>) {
          Send(host, gossip::Received{datagram.sender, Address(from), std::move(message)});
        }
      },
      wire::Decode(datagram.payload));
}

void CostNetwork::FetchSnapshot(int host, gossip::SnapshotPart part) {
  std::vector<int> peers;
  for (int peer = 0; peer < m_options.entries; ++peer) {
    const bool serves = peer != host && Running(peer) && DataCentre(peer) == DataCentre(host);
    if (serves) peers.push_back(peer);
  }
  if (peers.empty()) return;
  Host& server = m_hosts[peers[m_random.Below(peers.size())]];
  std::string bytes;
  {
    CpuTimer timer(server.tally);
    bytes = wire::Encode(wire::TableTransfer{server.node->Snapshot(now(), part)});
  }
  server.tally.bytes_sent += bytes.size() + kTcpOverhead;
  m_hosts[host].tally.bytes_received += bytes.size() + kTcpOverhead;
  CpuTimer timer(m_hosts[host].tally);
  Send(host, gossip::SnapshotReceived{std::get<wire::TableTransfer>(wire::Decode(bytes)).records});
}

void CostNetwork::Send(int host, const gossip::NodeEvent& event) {
  if (Running(host)) Perform(host, m_hosts[host].node->Step(now(), event));
}

void CostNetwork::Perform(int host, const std::vector<gossip::Action>& actions) {
  Host& state = m_hosts[host];
  for (const gossip::Action& action : actions) {
    if (const auto* send = std::get_if<gossip::Send>(&action)) Transmit(host, *send);
  }
  if (state.node->highest_revision() > state.revision) {
    state.revision = state.node->highest_revision();
    Schedule(kTransferDelay, Kind::kRevision, host);
  }
}

void CostNetwork::Transmit(int from, const gossip::Send& send) {
  Host& state = m_hosts[from];
  const wire::ControlMessage message =
      std::visit([](const auto& one) { return wire::ControlMessage(one); }, send.message);
  const auto bytes = std::make_shared<const std::string>(
      wire::Seal({Id(from), state.incarnation, ++state.counter, wire::Encode(message)}, m_key));
  state.tally.bytes_sent += bytes->size() + gossip::kNetworkBytes;
  ++state.tally.messages_sent;
  const int to = send.endpoint.port - 10000;
  const bool near = DataCentre(from) == DataCentre(to);
  const bool reachable = m_sides[DataCentre(from)] == m_sides[DataCentre(to)];
  if (!reachable || m_random.Unit() < m_options.loss) return;
  Schedule((near ? kNearDelay : kFarDelay) + core::Duration(m_random.Below(200)), Kind::kDatagram,
           to, bytes);
}

void CostNetwork::Crash(int host) {
  m_hosts[host].node.reset();
  m_hosts[host].incarnation = 0;
}

void CostNetwork::Restart(int host) {
  m_hosts[host].issued.clear();
  Start(host);
  if (!IsEntry(host)) return;
  Schedule(kTransferDelay, Kind::kNearSnapshot, host);
  Schedule(kTransferDelay + core::Duration(m_random.Below(kFarSpread.count())), Kind::kFarSnapshot,
           host);
}

void CostNetwork::ResetTallies() {
  m_reset = now();
  for (Host& host : m_hosts) host.tally = {};
}

Tally CostNetwork::TallyOf(gossip::Role role) const {
  Tally sum;
  for (int host = 0; host < size(); ++host) {
    if (IsEntry(host) != (role == gossip::Role::kEntry)) continue;
    const Tally& one = m_hosts[host].tally;
    sum.bytes_sent += one.bytes_sent;
    sum.bytes_received += one.bytes_received;
    sum.messages_sent += one.messages_sent;
    sum.messages_received += one.messages_received;
    sum.cpu_seconds += one.cpu_seconds;
    sum.node_seconds += one.node_seconds;
    sum.worst_node_bytes = std::max(sum.worst_node_bytes, one.bytes_sent + one.bytes_received);
  }
  return sum;
}

core::Duration CostNetwork::Staleness(int entry, int agent) const {
  const auto* stored =
      node(entry).table().Find({gossip::RecordKind::kUpstream, Upstream(agent).value()});
  const auto& issued = m_hosts[agent].issued;
  const bool known = stored != nullptr && Running(agent) &&
                     stored->record.version.incarnation == m_hosts[agent].incarnation &&
                     stored->record.version.sequence < issued.size();
  return known ? now() - issued[stored->record.version.sequence] : core::Duration(-1);
}

std::size_t CostNetwork::MemoryBytes(int host) const {
  return m_hosts[host].node->table().MemoryBytes();
}

}  // namespace cornelrelay::bench
