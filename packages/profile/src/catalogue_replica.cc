#include "cornelrelay/profile/catalogue_replica.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/profile/catalogue_codec.h"
#include "cornelrelay/profile/malformed_catalogue.h"

namespace cornelrelay::profile {
namespace {

// One failed fetch is ordinary (the peer has just died); after two the store is asked.
constexpr std::uint32_t kPeerFailuresBeforeStore = 2;

}  // namespace

CatalogueReplica::CatalogueReplica(const ReplicaOptions& options, std::uint64_t seed,
                                   ReplicaFault fault)
    : m_options(options), m_random(seed), m_fault(fault) {}

std::vector<ReplicaAction> CatalogueReplica::Step(core::Instant now, const ReplicaEvent& event) {
  Actions out;
  std::visit(
      core::Overloaded{[](const ReplicaTick&) {},
                       [&](const WatcherChosen& e) { SetWatching(now, e.watching, out); },
                       [&](const RevisionHeard& e) { m_peers[e.peer].revision = e.revision; },
                       [&](const PeerGone& e) { OnPeerGone(now, e); },
                       [&](const ConfirmationHeard& e) { OnConfirmation(now, e); },
                       [&](const PeerCatalogue& e) { OnPeerCatalogue(now, e, out); },
                       [&](const PeerFetchFailed& e) {
                         if (m_fetch && m_fetch->call == e.call) EndFetch(now, false);
                       },
                       [&](const CatalogueKeyRead& e) { OnRead(now, e, out); },
                       [&](const CatalogueKeyChanged& e) { OnChanged(now, e, out); },
                       [&](const StoreCallFailed& e) { OnStoreFailure(now, e); }},
      event);
  Expire(now);
  Pursue(now, out);
  return out;
}

core::Instant CatalogueReplica::NextWake() const {
  core::Instant wake = m_read ? m_read->deadline : m_next_read;
  const auto consider = [&wake](core::Instant at) { wake = std::min(wake, at); };
  if (m_watching && m_key_known && !m_watch) consider(m_next_watch);
  if (m_fetch) {
    consider(m_fetch->deadline);
  } else if (m_fetch_at) {
    for (const auto& [name, peer] : m_peers) {
      if (IsNewer(peer)) consider(std::max(*m_fetch_at, peer.rests_until));
    }
  }
  return wake;
}

std::optional<CatalogueRevision> CatalogueReplica::revision() const {
  if (!m_catalogue) return std::nullopt;
  return m_catalogue->revision();
}

void CatalogueReplica::OnRead(core::Instant now, const CatalogueKeyRead& event, Actions& out) {
  if (!m_read || m_read->call != event.call) return;
  m_read.reset();
  m_store_failures = 0;
  m_next_read = now + (m_watching ? Jitter(m_options.watcher_read_min, m_options.watcher_read_max)
                                  : Jitter(m_options.read_min, m_options.read_max));
  m_key_known = true;
  m_key_revision = event.content ? event.content->revision : 0;
  if (event.content) {
    Confirm(Learn(event.content->bytes, "store", out), out);
    return;
  }
  if (!m_catalogue) Apply(Catalogue::Initial(), out);
  Confirm(0, out);
}

void CatalogueReplica::OnChanged(core::Instant now, const CatalogueKeyChanged& event,
                                 Actions& out) {
  if (!m_watch || *m_watch != event.call) return;
  m_watch.reset();
  m_next_watch = now;
  m_key_revision = std::max(m_key_revision, event.revision);
  if (event.bytes) Confirm(Learn(*event.bytes, "store", out), out);
}

void CatalogueReplica::OnStoreFailure(core::Instant now, const StoreCallFailed& event) {
  if (m_read && m_read->call == event.call) ReadFailed(now);
  if (m_watch && *m_watch == event.call) {
    m_watch.reset();
    m_next_watch = now + Jitter(m_options.retry, m_options.retry * 2);
  }
}

void CatalogueReplica::ReadFailed(core::Instant now) {
  m_read.reset();
  core::Duration delay = m_options.retry;
  for (std::uint32_t i = 0; i < m_store_failures && delay < m_options.read_max; ++i) delay *= 2;
  delay = std::min(delay, m_watching ? m_options.watcher_read_max : m_options.read_max);
  ++m_store_failures;
  m_next_read = now + Jitter(delay / 2, delay);
}

void CatalogueReplica::OnPeerCatalogue(core::Instant now, const PeerCatalogue& event,
                                       Actions& out) {
  if (!m_fetch || m_fetch->call != event.call) return;
  const std::optional<CatalogueRevision> before = revision();
  Learn(event.bytes, m_fetch->peer.value(), out);
  EndFetch(now, revision() != before);
}

void CatalogueReplica::EndFetch(core::Instant now, bool useful) {
  assert(m_fetch);
  const auto peer = m_peers.find(m_fetch->peer);
  if (!useful && peer != m_peers.end()) peer->second.rests_until = now + m_options.peer_rest;
  m_peer_failures = useful ? 0 : m_peer_failures + 1;
  m_fetch.reset();
}

void CatalogueReplica::OnConfirmation(core::Instant now, const ConfirmationHeard& event) {
  if (m_watching || revision() != event.revision) return;
  m_next_read =
      std::max(m_next_read, now + Jitter(m_options.confirmed_min, m_options.confirmed_max));
}

void CatalogueReplica::OnPeerGone(core::Instant now, const PeerGone& event) {
  if (m_fetch && m_fetch->peer == event.peer) EndFetch(now, false);
  m_peers.erase(event.peer);
}

void CatalogueReplica::SetWatching(core::Instant now, bool watching, Actions& out) {
  if (watching == m_watching) return;
  m_watching = watching;
  if (watching) {
    // The watch starts from the revision that this read finds.
    m_key_known = false;
    m_next_read = std::min(m_next_read, now);
  } else if (m_watch) {
    out.emplace_back(CancelStoreCall{*m_watch});
    m_watch.reset();
  }
}

void CatalogueReplica::Expire(core::Instant now) {
  if (m_read && m_read->deadline <= now) ReadFailed(now);
  if (m_fetch && m_fetch->deadline <= now) EndFetch(now, false);
}

void CatalogueReplica::Pursue(core::Instant now, Actions& out) {
  if (!m_read && now >= m_next_read) StartRead(now, out);
  if (m_watching && m_key_known && !m_watch && now >= m_next_watch) {
    m_watch = ++m_last_call;
    out.emplace_back(WatchCatalogueKey{*m_watch, m_key_revision});
  }
  if (m_fetch) return;
  if (!AnyNewerPeer()) {
    m_fetch_at.reset();
    return;
  }
  if (!m_fetch_at) {
    m_fetch_at = now + (m_catalogue ? Jitter({}, m_options.fetch_spread) : core::Duration::zero());
  }
  if (now >= *m_fetch_at) PursueNewerPeer(now, out);
}

void CatalogueReplica::PursueNewerPeer(core::Instant now, Actions& out) {
  const bool store_first =
      m_watching ? m_store_failures == 0 : m_peer_failures >= kPeerFailuresBeforeStore;
  if (store_first) {
    if (m_read && m_watching) return;
    if (!m_read && now >= m_next_heard_read) {
      m_next_heard_read = now + m_options.heard_read_pause;
      m_peer_failures = 0;
      StartRead(now, out);
      return;
    }
  }
  const core::HostId* peer = ChoosePeer(now);
  if (peer == nullptr) return;
  m_fetch = Fetch{++m_last_call, *peer, now + m_options.peer_timeout};
  out.emplace_back(FetchFromPeer{m_fetch->call, *peer});
}

void CatalogueReplica::StartRead(core::Instant now, Actions& out) {
  assert(!m_read);
  m_read = StoreRead{++m_last_call, now + m_options.read_timeout};
  out.emplace_back(ReadCatalogueKey{m_read->call});
}

bool CatalogueReplica::IsNewer(const Peer& peer) const {
  return !m_catalogue || peer.revision > m_catalogue->revision();
}

bool CatalogueReplica::AnyNewerPeer() const {
  return std::any_of(m_peers.begin(), m_peers.end(),
                     [this](const auto& entry) { return IsNewer(entry.second); });
}

const core::HostId* CatalogueReplica::ChoosePeer(core::Instant now) {
  std::vector<const core::HostId*> best;
  CatalogueRevision highest = 0;
  for (const auto& [name, peer] : m_peers) {
    if (!IsNewer(peer) || peer.rests_until > now || peer.revision < highest) continue;
    if (peer.revision > highest) best.clear();
    highest = peer.revision;
    best.push_back(&name);
  }
  return best.empty() ? nullptr : best[m_random.Below(best.size())];
}

std::optional<CatalogueRevision> CatalogueReplica::Learn(const std::string& bytes,
                                                         const std::string& source, Actions& out) {
  try {
    Catalogue catalogue = DecodeCatalogue(bytes);
    const CatalogueRevision learned = catalogue.revision();
    Apply(std::move(catalogue), out);
    return learned;
  } catch (const MalformedCatalogue& e) {
    ++m_malformed;
    out.emplace_back(ReportMalformed{source, e.what()});
    return std::nullopt;
  }
}

void CatalogueReplica::Apply(Catalogue catalogue, Actions& out) {
  const bool higher = !m_catalogue || catalogue.revision() > m_catalogue->revision();
  if (!higher && m_fault != ReplicaFault::kAcceptLowerRevision) return;
  m_catalogue = std::make_shared<const Catalogue>(std::move(catalogue));
  out.emplace_back(ApplyCatalogue{m_catalogue});
}

void CatalogueReplica::Confirm(std::optional<CatalogueRevision> revision, Actions& out) const {
  if (m_watching && revision) out.emplace_back(ConfirmRevision{*revision});
}

core::Duration CatalogueReplica::Jitter(core::Duration from, core::Duration to) {
  assert(from <= to);
  const auto width = static_cast<std::uint64_t>((to - from).count());
  return from + core::Duration(static_cast<core::Duration::rep>(m_random.Below(width + 1)));
}

}  // namespace cornelrelay::profile
