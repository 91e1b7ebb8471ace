#pragma once

#include <rapidcheck.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/profile/apply_change.h"
#include "cornelrelay/profile/catalogue_codec.h"
#include "cornelrelay/profile/catalogue_editor.h"
#include "cornelrelay/profile/catalogue_replica.h"
#include "cornelrelay/profile/change_rejected.h"
#include "cornelrelay/store/store_client.h"
#include "cornelrelay/store/testing/store_model.h"
#include "oracle.h"
#include "store_adapter.h"

namespace cornelrelay::profile::testing {

/// \brief Some processes, a store and faulty networks between them, in simulated time.
///
/// The oracle throws at the first violation.
class Simulation {
 public:
  struct Faults {
    ReplicaFault replica = ReplicaFault::kNone;
    EditorFault editor = EditorFault::kNone;
  };

  Simulation(std::size_t processes, std::uint64_t seed, Faults faults)
      : m_faults(faults), m_random(seed) {
    for (std::size_t i = 0; i < processes; ++i) {
      m_processes.emplace_back();
      Restart(i);
    }
  }

  void SetOutage(bool outage) { m_store.SetOutage(outage); }
  void SetStoreDelay(core::Duration delay) { m_store_delay = delay; }
  void LoseAnswers(std::uint32_t count) { m_store.LoseAnswers(count); }
  void SetGossip(bool gossip) { m_gossip = gossip; }
  void Cut(std::size_t a, std::size_t b) { m_cut.insert(std::minmax(a, b)); }
  void HealLinks() { m_cut.clear(); }
  std::uint64_t StoreCalls() const { return m_store.Calls(); }
  void CheckOutcomes() const { m_oracle.CheckOutcomes(); }
  std::size_t size() const { return m_processes.size(); }
  core::Instant now() const { return m_now; }
  CatalogueRevision Newest() const { return m_oracle.Newest(); }
  const std::vector<std::pair<ChangeRequest, EditOutcome>>& Outcomes() const {
    return m_oracle.Outcomes();
  }

  std::optional<CatalogueRevision> RevisionAt(std::size_t i) const {
    return m_processes[i].replica->revision();
  }
  bool AllAtNewest() const {
    for (std::size_t i = 0; i < size(); ++i) {
      if (RevisionAt(i) != Newest()) return false;
    }
    return true;
  }

  void Restart(std::size_t i) {
    Process& p = m_processes[i];
    const int incarnation = p.incarnation + 1;
    p = Process{};
    p.incarnation = incarnation;
    p.client = std::make_unique<store::StoreClient>(store::StoreClientOptions{}, m_random());
    p.replica = std::make_unique<CatalogueReplica>(ReplicaOptions{}, m_random(), m_faults.replica);
    RunReplica(i, ReplicaTick{});
    for (std::size_t j = 0; j < i; ++j) RunReplica(j, PeerGone{core::HostId(std::to_string(i))});
  }

  void SetWatching(std::size_t i, bool watching) { RunReplica(i, WatcherChosen{watching}); }

  void StartEdit(std::size_t i, const ChangeRequest& request) {
    m_oracle.AddRequest(request);
    m_processes[i].editors.emplace_back(request, EditorOptions{}, m_faults.editor);
    RunEditor(i, m_processes[i].editors.size() - 1, EditorTick{});
  }

  void Run(core::Duration duration) {
    const core::Instant end = m_now + duration;
    while (m_now < end) {
      m_now += std::chrono::milliseconds(10);
      while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
        const auto deliver = std::move(m_messages.begin()->second);
        m_messages.erase(m_messages.begin());
        deliver();
      }
      for (const auto& fired : m_store.Advance(m_now)) AnswerWatch(fired.call, fired.reply);
      for (std::size_t i = 0; i < size(); ++i) Wake(i);
      if (m_gossip &&
          m_now.time_since_epoch() % std::chrono::milliseconds(250) == core::Duration{}) {
        Gossip();
      }
    }
  }

 private:
  struct Process {
    int incarnation = 0;
    std::unique_ptr<store::StoreClient> client;
    std::unique_ptr<CatalogueReplica> replica;
    std::vector<CatalogueEditor> editors;
    /// Machine (0: replica, else editor index + 1) and its call number, by store call.
    std::map<store::StoreCallId, std::pair<std::size_t, CallNumber>> calls;
    store::StoreCallId last_call = 0;
    std::optional<CatalogueRevision> revision;
  };

  void After(core::Duration delay, std::function<void()> action) {
    m_messages.emplace(m_now + delay, std::move(action));
  }
  core::Duration Delay(core::Duration highest) {
    return core::Duration(static_cast<core::Duration::rep>(
        m_random.Below(static_cast<std::uint64_t>(highest.count()) + 1)));
  }

  void Wake(std::size_t i) {
    Process& p = m_processes[i];
    const auto wake = p.client->NextWake(m_now);
    if (wake && *wake <= m_now) RunClient(i, store::ClientTick{});
    if (p.replica->NextWake() <= m_now) RunReplica(i, ReplicaTick{});
    for (std::size_t e = 0; e < p.editors.size(); ++e) {
      const auto next = p.editors[e].NextWake();
      if (next && *next <= m_now) RunEditor(i, e, EditorTick{});
    }
  }

  template <class Action>
  void Submit(std::size_t i, std::size_t machine, const Action& action) {
    Process& p = m_processes[i];
    p.calls[++p.last_call] = {machine, action.call};
    RunClient(i, store::CallSubmitted{p.last_call, ToRequest(action)});
  }

  void RunClient(std::size_t i, const store::StoreClientEvent& event) {
    for (const auto& action : m_processes[i].client->Step(m_now, event)) {
      std::visit(core::Overloaded{[&](const store::TransmitCall& a) { Transmit(i, a); },
                                  [](const store::AbandonTransmission&) {},
                                  [&](const store::DeliverReply& a) { Deliver(i, a); }},
                 action);
    }
  }

  void Transmit(std::size_t i, const store::TransmitCall& action) {
    const int incarnation = m_processes[i].incarnation;
    const auto key = ++m_last_transmission;
    m_transmissions[key] = {i, incarnation, action.transmission};
    After(Delay(m_store_delay), [this, key, request = action.request] {
      const auto reply = m_store.Handle(m_now, key, request);
      m_oracle.CheckWrites(m_store.Writes());
      if (reply) AnswerWatch(key, *reply);
    });
  }

  void AnswerWatch(std::uint64_t key, const store::StoreReply& reply) {
    After(Delay(m_store_delay), [this, key, reply] {
      const Transmission& t = m_transmissions.at(key);
      if (m_processes[t.process].incarnation != t.incarnation) return;
      RunClient(t.process, store::ReplyReceived{t.id, reply});
    });
  }

  void Deliver(std::size_t i, const store::DeliverReply& action) {
    const auto [machine, call] = m_processes[i].calls.at(action.call);
    std::visit(
        [&, machine = machine](const auto& event) {
          using Event = std::decay_t<decltype(event)>;
          if constexpr (std::is_constructible_v<ReplicaEvent, Event>) {
            if (machine == 0) RunReplica(i, event);
          }
          if constexpr (std::is_constructible_v<EditorEvent, Event>) {
            if (machine != 0) RunEditor(i, machine - 1, event);
          }
        },
        ToEvent(call, action.reply));
  }

  void RunEditor(std::size_t i, std::size_t editor, const EditorEvent& event) {
    for (const auto& action : m_processes[i].editors[editor].Step(m_now, event)) {
      std::visit(core::Overloaded{[&](const EditFinished& a) {
                                    m_oracle.AddOutcome(m_processes[i].editors[editor].request(),
                                                        a.outcome);
                                  },
                                  [&](const auto& a) { Submit(i, editor + 1, a); }},
                 action);
    }
  }

  void RunReplica(std::size_t i, const ReplicaEvent& event) {
    for (const auto& action : m_processes[i].replica->Step(m_now, event)) {
      std::visit(core::Overloaded{[&](const ReadCatalogueKey& a) { Submit(i, 0, a); },
                                  [&](const WatchCatalogueKey& a) { Submit(i, 0, a); },
                                  [&](const CancelStoreCall& a) { CancelCall(i, a); },
                                  [&](const FetchFromPeer& a) { Fetch(i, a); },
                                  [&](const ApplyCatalogue& a) {
                                    m_oracle.CheckApplied(m_processes[i].revision, *a.catalogue);
                                  },
                                  [&](const ConfirmRevision& a) { Confirm(i, a); },
                                  [](const ReportMalformed& a) { throw a.reason; }},
                 action);
    }
  }

  void CancelCall(std::size_t i, const CancelStoreCall& action) {
    for (const auto& [id, target] : m_processes[i].calls) {
      if (target == std::pair<std::size_t, CallNumber>{0, action.call}) {
        RunClient(i, store::CallCancelled{id});
        return;
      }
    }
  }

  void Fetch(std::size_t i, const FetchFromPeer& action) {
    const auto peer = static_cast<std::size_t>(std::stoul(action.peer.value()));
    if (m_cut.contains(std::minmax(i, peer))) return;  // the fetch times out
    const int incarnation = m_processes[i].incarnation;
    After(Delay(std::chrono::milliseconds(50)), [this, i, peer, incarnation, call = action.call] {
      if (m_processes[i].incarnation != incarnation) return;
      const auto& catalogue = m_processes[peer].replica->catalogue();
      if (catalogue) {
        RunReplica(i, PeerCatalogue{call, EncodeCatalogue(*catalogue)});
      } else {
        RunReplica(i, PeerFetchFailed{call});
      }
    });
  }

  void Gossip() {
    for (std::size_t i = 0; i < size(); ++i) {
      const auto j = static_cast<std::size_t>(m_random.Below(size()));
      if (i == j || m_cut.contains(std::minmax(i, j)) || !RevisionAt(i)) continue;
      RunReplica(j, RevisionHeard{core::HostId(std::to_string(i)), *RevisionAt(i)});
    }
  }

  void Confirm(std::size_t i, const ConfirmRevision& action) {
    if (!m_gossip) return;
    for (std::size_t j = 0; j < size(); ++j) {
      if (i == j || m_cut.contains(std::minmax(i, j))) continue;
      const int incarnation = m_processes[j].incarnation;
      After(Delay(std::chrono::seconds(1)), [this, j, incarnation, action] {
        if (m_processes[j].incarnation != incarnation) return;
        RunReplica(j, ConfirmationHeard{action.revision});
      });
    }
  }

  struct Transmission {
    std::size_t process = 0;
    int incarnation = 0;
    store::TransmissionId id = 0;
  };

  Faults m_faults;
  core::Random m_random;
  core::Instant m_now{};
  store::testing::StoreModel m_store;
  core::Duration m_store_delay = std::chrono::milliseconds(20);
  bool m_gossip = true;
  std::set<std::pair<std::size_t, std::size_t>> m_cut;
  std::vector<Process> m_processes;
  std::multimap<core::Instant, std::function<void()>> m_messages;
  std::map<std::uint64_t, Transmission> m_transmissions;
  std::uint64_t m_last_transmission = 0;
  Oracle m_oracle;
};

}  // namespace cornelrelay::profile::testing
