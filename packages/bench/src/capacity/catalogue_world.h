#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/profile/catalogue_replica.h"
#include "cornelrelay/store/store_client.h"
#include "cornelrelay/store/testing/store_model.h"

namespace cornelrelay::bench {

/// \brief The catalogue replicas of many entry processes, each with its store client, and a store.
///
/// Gossip is modelled: each process tells its revision to three random others every 250 ms.
class CatalogueWorld {
 public:
  struct Options {
    std::uint64_t seed = 1;
    int processes = 10;
    int data_centres = 7;
    int watchers = 2;  ///< per data centre
    /// Whether the others hear of a watcher's confirmed revision, within 1 s.
    bool confirmations = false;
  };
  struct Counts {
    std::uint64_t store_calls = 0;
    std::uint64_t values_read = 0;  ///< whole catalogues that the store sent
    std::uint64_t peer_fetches = 0;
    std::map<std::int64_t, std::uint64_t> calls_in_second;
  };

  CatalogueWorld(Options options, const std::string& catalogue);
  CatalogueWorld(const CatalogueWorld&) = delete;
  CatalogueWorld& operator=(const CatalogueWorld&) = delete;

  void Run(core::Duration duration);
  void SetOutage(bool outage) { m_store.SetOutage(outage); }
  /// \brief Writes the catalogue into the store, as an edit does.
  void Publish(const std::string& catalogue);
  void RestartAll();
  bool AllAt(profile::CatalogueRevision revision) const;
  core::Instant now() const { return m_now; }
  void ResetCounts() { m_counts = {}; }
  const Counts& counts() const { return m_counts; }
  std::uint64_t PeakSecond() const;

 private:
  struct Process {
    int incarnation = 0;
    std::unique_ptr<store::StoreClient> store;
    std::unique_ptr<profile::CatalogueReplica> replica;
    std::map<store::StoreCallId, profile::CallNumber> calls;
    store::StoreCallId last_call = 0;
  };
  struct Transmission {
    int process;
    int incarnation;
    store::TransmissionId id;
  };

  void After(core::Duration delay, std::function<void()> action);
  void Start(int process);
  bool IsWatcher(int process) const;
  void StepReplica(int process, const profile::ReplicaEvent& event);
  void StepStore(int process, const store::StoreClientEvent& event);
  void Submit(int process, profile::CallNumber call, store::StoreRequest request);
  void Transmit(int process, const store::TransmitCall& call);
  void Answer(std::uint64_t transmission, store::StoreReply reply);
  void Fetch(int process, const profile::FetchFromPeer& fetch);
  void Confirm(profile::CatalogueRevision revision);
  void Gossip();

  Options m_options;
  core::Random m_random;
  core::Instant m_now{};
  store::testing::StoreModel m_store;
  std::string m_bytes;
  std::vector<Process> m_processes;
  std::map<std::uint64_t, Transmission> m_transmissions;
  std::uint64_t m_last_transmission = 0;
  std::multimap<core::Instant, std::function<void()>> m_events;
  Counts m_counts;
};

}  // namespace cornelrelay::bench
