#include "capacity/catalogue_world.h"

#include <algorithm>
#include <stdexcept>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/profile/catalogue_codec.h"

namespace cornelrelay::bench {
namespace {

using std::chrono::milliseconds;

constexpr core::Duration kStep = milliseconds(10);
constexpr core::Duration kStoreDelay = milliseconds(3);
constexpr core::Duration kPeerDelay = milliseconds(2);
constexpr core::Duration kGossipRound = milliseconds(250);
constexpr int kFanOut = 3;

profile::ReplicaEvent ToReplicaEvent(profile::CallNumber call, const store::StoreReply& reply) {
  using Event = profile::ReplicaEvent;
  return std::visit(
      core::Overloaded{[&](const store::ValueRead& r) -> Event {
                         if (!r.current) return profile::CatalogueKeyRead{call, std::nullopt};
                         return profile::CatalogueKeyRead{
                             call, profile::KeyContent{r.current->value, r.current->revision}};
                       },
                       [&](const store::WatchEvent& r) -> Event {
                         if (!r.current) {
                           return profile::CatalogueKeyChanged{call, std::nullopt, r.revision};
                         }
                         return profile::CatalogueKeyChanged{call, r.current->value, r.revision};
                       },
                       [&](const store::RefusedForRate& r) -> Event {
                         return profile::StoreCallFailed{call, false, r.retry_after};
                       },
                       [&](const store::Unavailable& r) -> Event {
                         return profile::StoreCallFailed{call, false, r.retry_after};
                       },
                       [&](const auto&) -> Event {
                         return profile::StoreCallFailed{call, true, {}};
                       }},
      reply);
}

}  // namespace

CatalogueWorld::CatalogueWorld(Options options, const std::string& catalogue)
    : m_options(options), m_random(options.seed), m_processes(options.processes) {
  Publish(catalogue);
  RestartAll();
}

void CatalogueWorld::After(core::Duration delay, std::function<void()> action) {
  m_events.emplace(m_now + delay, std::move(action));
}

bool CatalogueWorld::IsWatcher(int process) const {
  return process / m_options.data_centres < m_options.watchers;
}

void CatalogueWorld::Publish(const std::string& catalogue) {
  const auto current = m_store.Find(profile::kCatalogueKey);
  m_store.Handle(
      m_now, ++m_last_transmission,
      store::CompareAndSwap{profile::kCatalogueKey, current ? current->revision : 0, catalogue, 0});
  m_bytes = catalogue;
}

void CatalogueWorld::RestartAll() {
  for (int i = 0; i < m_options.processes; ++i) Start(i);
}

void CatalogueWorld::Start(int process) {
  Process& p = m_processes[process];
  const int incarnation = p.incarnation + 1;
  p = Process{};
  p.incarnation = incarnation;
  p.store = std::make_unique<store::StoreClient>(store::StoreClientOptions{}, m_random());
  p.replica = std::make_unique<profile::CatalogueReplica>(profile::ReplicaOptions{}, m_random());
  StepReplica(process, profile::ReplicaTick{});
  if (IsWatcher(process)) StepReplica(process, profile::WatcherChosen{true});
}

bool CatalogueWorld::AllAt(profile::CatalogueRevision revision) const {
  return std::all_of(m_processes.begin(), m_processes.end(),
                     [&](const Process& p) { return p.replica->revision() == revision; });
}

std::uint64_t CatalogueWorld::PeakSecond() const {
  std::uint64_t peak = 0;
  for (const auto& [second, calls] : m_counts.calls_in_second) peak = std::max(peak, calls);
  return peak;
}

void CatalogueWorld::Run(core::Duration duration) {
  const core::Instant end = m_now + duration;
  while (m_now < end) {
    m_now += kStep;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
      const auto action = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      action();
    }
    for (auto& fired : m_store.Advance(m_now)) Answer(fired.call, std::move(fired.reply));
    for (int i = 0; i < m_options.processes; ++i) {
      const auto wake = m_processes[i].store->NextWake(m_now);
      if (wake && *wake <= m_now) StepStore(i, store::ClientTick{});
      if (m_processes[i].replica->NextWake() <= m_now) StepReplica(i, profile::ReplicaTick{});
    }
    if (m_now.time_since_epoch() % kGossipRound == core::Duration{}) Gossip();
  }
}

void CatalogueWorld::Gossip() {
  for (int i = 0; i < m_options.processes; ++i) {
    const auto revision = m_processes[i].replica->revision();
    for (int k = 0; revision && k < kFanOut; ++k) {
      const auto to = static_cast<int>(m_random.Below(m_processes.size()));
      if (to == i) continue;
      StepReplica(to, profile::RevisionHeard{core::HostId(std::to_string(i)), *revision});
    }
  }
}

void CatalogueWorld::StepReplica(int process, const profile::ReplicaEvent& event) {
  for (const auto& action : m_processes[process].replica->Step(m_now, event)) {
    std::visit(core::Overloaded{
                   [&](const profile::ReadCatalogueKey& a) {
                     Submit(process, a.call, store::Get{profile::kCatalogueKey});
                   },
                   [&](const profile::WatchCatalogueKey& a) {
                     Submit(process, a.call, store::Watch{profile::kCatalogueKey, a.after});
                   },
                   [](const profile::CancelStoreCall&) {},
                   [&](const profile::FetchFromPeer& a) { Fetch(process, a); },
                   [](const profile::ApplyCatalogue&) {},
                   [&](const profile::ConfirmRevision& a) { Confirm(a.revision); },
                   [](const profile::ReportMalformed& a) { throw std::logic_error(a.reason); }},
               action);
  }
}

void CatalogueWorld::Submit(int process, profile::CallNumber call, store::StoreRequest request) {
  Process& p = m_processes[process];
  const store::StoreCallId id = ++p.last_call;
  p.calls[id] = call;
  StepStore(process, store::CallSubmitted{id, std::move(request)});
}

void CatalogueWorld::StepStore(int process, const store::StoreClientEvent& event) {
  for (const auto& action : m_processes[process].store->Step(m_now, event)) {
    std::visit(core::Overloaded{[&](const store::TransmitCall& a) { Transmit(process, a); },
                                [](const store::AbandonTransmission&) {},
                                [&](const store::DeliverReply& a) {
                                  const auto call = m_processes[process].calls.extract(a.call);
                                  StepReplica(process, ToReplicaEvent(call.mapped(), a.reply));
                                }},
               action);
  }
}

void CatalogueWorld::Transmit(int process, const store::TransmitCall& call) {
  ++m_counts.store_calls;
  ++m_counts.calls_in_second[m_now.time_since_epoch() / std::chrono::seconds(1)];
  const std::uint64_t key = ++m_last_transmission;
  m_transmissions[key] = {process, m_processes[process].incarnation, call.transmission};
  After(kStoreDelay, [this, key, request = call.request] {
    if (auto reply = m_store.Handle(m_now, key, request)) Answer(key, std::move(*reply));
  });
}

void CatalogueWorld::Answer(std::uint64_t transmission, store::StoreReply reply) {
  const auto found = m_transmissions.find(transmission);
  if (found == m_transmissions.end()) return;
  const Transmission t = found->second;
  m_transmissions.erase(found);
  const auto* read = std::get_if<store::ValueRead>(&reply);
  const auto* changed = std::get_if<store::WatchEvent>(&reply);
  if ((read && read->current) || (changed && changed->current)) ++m_counts.values_read;
  if (m_processes[t.process].incarnation != t.incarnation) return;
  StepStore(t.process, store::ReplyReceived{t.id, std::move(reply)});
}

void CatalogueWorld::Fetch(int process, const profile::FetchFromPeer& fetch) {
  ++m_counts.peer_fetches;
  const int peer = std::stoi(fetch.peer.value());
  After(kPeerDelay,
        [this, process, peer, call = fetch.call, incarnation = m_processes[process].incarnation] {
          if (m_processes[process].incarnation != incarnation) return;
          const auto& catalogue = m_processes[peer].replica->catalogue();
          if (!catalogue) return StepReplica(process, profile::PeerFetchFailed{call});
          std::string bytes = profile::EncodeCatalogue(*catalogue);
          StepReplica(process, profile::PeerCatalogue{call, std::move(bytes)});
        });
}

void CatalogueWorld::Confirm(profile::CatalogueRevision revision) {
  if (!m_options.confirmations) return;
  for (int i = 0; i < m_options.processes; ++i) {
    After(milliseconds(m_random.Below(1000)),
          [this, i, revision, incarnation = m_processes[i].incarnation] {
            if (m_processes[i].incarnation != incarnation) return;
            StepReplica(i, profile::ConfirmationHeard{revision});
          });
  }
}

}  // namespace cornelrelay::bench
