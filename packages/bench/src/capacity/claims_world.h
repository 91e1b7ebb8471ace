#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cornelrelay/claims/claim_client.h"
#include "cornelrelay/claims/claim_owner.h"
#include "cornelrelay/claims/partitions.h"
#include "cornelrelay/core/random.h"
#include "cornelrelay/store/store_client.h"
#include "cornelrelay/store/testing/store_model.h"
#include "cornelrelay/wire/control_message.h"

namespace cornelrelay::bench {

/// \brief Partition owners on many entry processes with their store clients and one client that
/// stands for all callers; messages are really encoded and sealed.
class ClaimsWorld {
 public:
  struct Options {
    std::uint64_t seed = 1;
    int processes = 350;
    double claims_per_second = 100;
    core::Duration service_time = std::chrono::seconds(2);
    std::size_t answer_bytes = 100;
    core::Duration store_delay = std::chrono::milliseconds(3);
  };
  struct Tally {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t written_bytes = 0;
    std::uint64_t messages = 0;
    std::uint64_t message_bytes = 0;
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
    std::map<core::HostId, std::uint64_t> calls_of;  ///< store calls by owner process
  };

  explicit ClaimsWorld(Options options);
  ClaimsWorld(const ClaimsWorld&) = delete;
  ClaimsWorld& operator=(const ClaimsWorld&) = delete;

  void Run(core::Duration duration);
  void ResetTally() { m_tally = {}; }
  const Tally& tally() const { return m_tally; }
  /// \brief Partitions of the process that owns most of them.
  std::size_t MostPartitions() const;

 private:
  struct Process {
    Process(const Options& options, std::uint64_t seed);
    store::StoreClient store;
    std::map<store::StoreCallId, std::pair<std::uint32_t, claims::StoreCallId>> calls;
    store::StoreCallId last_call = 0;
  };

  void After(core::Duration delay, std::function<void()> action);
  void Arrive();
  void StepClient(const claims::ClientEvent& event);
  void StepOwner(std::uint32_t partition, const claims::OwnerEvent& event);
  void StepStore(const core::HostId& host, const store::StoreClientEvent& event);
  void Deliver(const core::HostId& host, const store::DeliverReply& delivery);
  void Submit(std::uint32_t partition, claims::StoreCallId call, store::StoreRequest request);
  wire::ControlMessage Transfer(const wire::ControlMessage& message);

  Options m_options;
  core::Random m_random;
  core::Instant m_now;
  double m_due = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_transmissions = 0;
  std::set<core::HostId> m_members;
  store::testing::StoreModel m_store;
  std::map<core::HostId, Process> m_processes;
  std::vector<core::HostId> m_owner_hosts;
  std::vector<claims::ClaimOwner> m_owners;
  claims::ClaimClient m_client;
  std::multimap<core::Instant, std::function<void()>> m_events;
  Tally m_tally;
};

}  // namespace cornelrelay::bench
