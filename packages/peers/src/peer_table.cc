#include "cornelrelay/peers/peer_table.h"

#include <algorithm>
#include <utility>

#include "cornelrelay/core/hash.h"

namespace cornelrelay::peers {

PeerTable::PeerTable(PeerTableConfig config)
    : m_config(std::move(config)), m_random(m_config.seed) {}

std::vector<PeerAction> PeerTable::Step(core::Instant now, const PeerEvent& event) {
  Actions out;
  std::visit([&](const auto& e) { Apply(now, e, out); }, event);
  MarkSilentPeers(now, out);
  FetchIfBehind(now, out);
  SendDue(now, out);
  return out;
}

void PeerTable::Apply(core::Instant now, const PeerRegistered& event, Actions&) {
  if (event.host == m_config.self) return;
  Peer& peer = m_peers.try_emplace(event.host).first->second;
  // The endpoint in the status of a live peer is newer than the registered one.
  if (!peer.live) peer.endpoint = event.endpoint;
  peer.inactive_since = now;
}

void PeerTable::Apply(core::Instant, const PeerUnregistered& event, Actions&) {
  const auto found = m_peers.find(event.host);
  if (found != m_peers.end() && !found->second.live) m_peers.erase(found);
}

void PeerTable::Apply(core::Instant now, const PeerStatusReceived& event, Actions& out) {
  const PeerStatus& status = event.status;
  if (status.host == m_config.self) return;
  Peer& peer = m_peers.try_emplace(status.host).first->second;
  const auto order = [](const PeerStatus& s) { return std::pair(s.incarnation, s.sequence); };
  if (peer.last_received && order(status) <= order(peer.status)) return;
  if (!peer.live || peer.status.incarnation != status.incarnation) {
    out.emplace_back(PeerAppeared{status.host, status.incarnation});
  }
  peer.last_received = now;
  peer.live = true;
  peer.endpoint = status.endpoint;
  if (peer.status.loads != status.loads || peer.status.queues != status.queues ||
      peer.status.store_connected != status.store_connected || !peer.status.rate_limits.empty() ||
      !status.rate_limits.empty()) {
    ++m_version;
  }
  peer.status = status;
}

void PeerTable::Apply(core::Instant, const LocalItemsChanged& event, Actions&) {
  // What a follower knows comes from a peer that announces it itself.
  if (event.store_connected && event.version > m_local_items) m_news_sent = false;
  const bool progress =
      event.version > m_local_items || event.configuration_version > m_local_configuration;
  // What was fetched has arrived, so that the next fetch need not wait.
  if (progress) m_fetching_since.reset();
  m_local_items = event.version;
  m_local_configuration = event.configuration_version;
  m_store_connected = event.store_connected;
}

void PeerTable::Apply(core::Instant, const LocalLoadChanged&, Actions&) { m_load_changed = true; }
void PeerTable::Apply(core::Instant, const LocalSuspectsChanged&, Actions&) { m_news_sent = false; }
// After a fetch that failed or brought nothing new, the next one waits until the retry interval
// since its start has passed. A peer may hold a configuration that this process cannot read.
void PeerTable::Apply(core::Instant, const FetchEnded&, Actions&) {}
void PeerTable::Apply(core::Instant, const PeerTick&, Actions&) {}

void PeerTable::MarkSilentPeers(core::Instant now, Actions& out) {
  for (auto& [host, peer] : m_peers) {
    if (!peer.live || now - *peer.last_received < SilenceTimeout()) continue;
    peer.live = false;
    peer.inactive_since = now;
    ++m_version;
    out.emplace_back(PeerSilent{host});
  }
}

// A restored store may hold an older configuration than the peer, although its items are newer.
bool PeerTable::KnowsMore(const PeerStatus& status) const {
  return status.items_version > m_local_items ||
         status.configuration_version > m_local_configuration;
}

void PeerTable::FetchIfBehind(core::Instant now, Actions& out) {
  std::vector<const std::pair<const core::HostId, Peer>*> newer;
  for (const auto& pair : m_peers) {
    if (pair.second.live && KnowsMore(pair.second.status)) newer.push_back(&pair);
  }
  if (newer.empty()) {
    m_behind_since.reset();
    return;
  }
  if (!m_behind_since) m_behind_since = now;
  if (m_store_connected && now - *m_behind_since < m_config.store_delivery_time) return;
  if (m_fetching_since && now - *m_fetching_since < m_config.fetch_retry_interval) return;
  const auto& [host, peer] = *newer[m_random.Below(newer.size())];
  m_fetching_since = now;
  out.emplace_back(FetchItems{host, peer.endpoint, m_local_items, m_local_configuration});
}

core::Duration PeerTable::SendInterval(core::Duration base) const {
  const double seconds = static_cast<double>(m_peers.size()) / m_config.datagrams_per_second;
  return std::max(
      base, std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds)));
}

core::Duration PeerTable::SilenceTimeout() const {
  return std::max(m_config.silence_timeout,
                  m_config.silent_intervals * SendInterval(m_config.idle_interval));
}

core::Instant PeerTable::NextSend() const {
  if (!m_news_sent) return m_last_send + m_config.announcement_interval;
  return m_last_send +
         SendInterval(m_load_changed ? m_config.busy_interval : m_config.idle_interval);
}

void PeerTable::SendDue(core::Instant now, Actions& out) {
  if (now < NextSend()) return;
  SendStatus send;
  for (auto& [host, peer] : m_peers) {
    if (!peer.live) {
      if (now - peer.inactive_since > m_config.probe_time || now < peer.next_probe) continue;
      peer.next_probe = now + m_config.probe_interval;
    }
    send.to.push_back(peer.endpoint);
  }
  m_last_send = now;
  m_load_changed = false;
  m_news_sent = true;
  if (!send.to.empty()) out.emplace_back(std::move(send));
}

core::Instant PeerTable::NextWake() const { return NextSend(); }

// Every process orders the processes of its data centre in the same way, by a hash of their names.
// The first ones are the readers; the others step in for those that are not connected.
StoreRole PeerTable::store_role() const {
  std::size_t live = 1, before = 0, connected_before = 0;
  const std::uint64_t own_place = core::Hash64(m_config.self.value());
  for (const auto& [host, peer] : m_peers) {
    if (!peer.live) continue;
    ++live;
    const bool earlier =
        peer.status.data_centre == m_config.data_centre && core::Hash64(host.value()) < own_place;
    if (!earlier) continue;
    ++before;
    if (peer.status.store_connected) ++connected_before;
  }
  if (live <= m_config.small_fleet || before < m_config.readers_per_data_centre) {
    return StoreRole::kReader;
  }
  return connected_before < m_config.readers_per_data_centre ? StoreRole::kSubstitute
                                                             : StoreRole::kFollower;
}

std::map<core::UpstreamId, std::uint32_t> PeerTable::InFlight() const {
  std::map<core::UpstreamId, std::uint32_t> sum;
  for (const auto& [host, peer] : m_peers) {
    if (!peer.live) continue;
    for (const UpstreamLoad& load : peer.status.loads) sum[load.upstream] += load.in_flight;
  }
  return sum;
}

std::map<std::uint8_t, std::uint32_t> PeerTable::Waiting(const core::ServiceId& service) const {
  std::map<std::uint8_t, std::uint32_t> sums;
  for (const auto& [host, peer] : m_peers) {
    if (!peer.live) continue;
    for (const ServiceQueue& queue : peer.status.queues) {
      if (queue.service == service && queue.waiting > 0) sums[queue.priority] += queue.waiting;
    }
  }
  return sums;
}

std::map<core::UpstreamId, PeerTable::HeardRateLimit> PeerTable::RateLimits() const {
  std::map<core::UpstreamId, HeardRateLimit> latest;
  for (const auto& [host, peer] : m_peers) {
    if (!peer.live) continue;
    for (const RateLimitReport& report : peer.status.rate_limits) {
      const HeardRateLimit heard{report.per_second, *peer.last_received - report.age};
      const auto [found, added] = latest.try_emplace(report.upstream, heard);
      if (!added && found->second.at < heard.at) found->second = heard;
    }
  }
  return latest;
}

std::vector<core::HostId> PeerTable::LiveProcesses() const {
  std::vector<core::HostId> processes = {m_config.self};
  for (const auto& [host, peer] : m_peers) {
    if (peer.live) processes.push_back(host);
  }
  return processes;
}

std::vector<core::HostId> PeerTable::PossiblyRunningProcesses(core::Instant now) const {
  std::vector<core::HostId> processes = {m_config.self};
  for (const auto& [host, peer] : m_peers) {
    const bool recent = now - peer.inactive_since < m_config.possibly_running_time;
    if (peer.live || recent) processes.push_back(host);
  }
  return processes;
}

std::size_t PeerTable::live_count() const {
  return static_cast<std::size_t>(std::count_if(
      m_peers.begin(), m_peers.end(), [](const auto& entry) { return entry.second.live; }));
}

bool PeerTable::AnyConnectedToStore() const {
  return std::any_of(m_peers.begin(), m_peers.end(), [](const auto& entry) {
    return entry.second.live && entry.second.status.store_connected;
  });
}

}  // namespace cornelrelay::peers
