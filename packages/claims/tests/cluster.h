#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cornelrelay/claims/claim_client.h"
#include "cornelrelay/claims/claim_owner.h"

namespace cornelrelay::claims::testing {

struct ClusterSettings {
  int processes = 2;
  OwnerSettings owner;
  ClientSettings client;
  OwnerFaults faults;
  /// Process i fills segments with this many more claims times i, as during a change of the bound.
  std::size_t segment_claims_spread = 0;
};

struct StoreRequest {
  std::uint32_t partition;
  std::variant<StoreRead, StoreSwap> call;
};
struct StoreAnswer {
  std::uint32_t partition;
  OwnerEvent result;
};
using Payload =
    std::variant<ClaimCall, ClaimReply, ClaimFinish, ClaimFinishAck, StoreRequest, StoreAnswer>;

struct Message {
  int from;
  int to;                     ///< index of a process, or kStore
  std::uint64_t incarnation;  ///< of the process that a store answer belongs to
  Payload payload;
  bool answered = false;         ///< a store request whose caller was told that the answer is lost
  mutable std::string digest{};  ///< cached part of the fingerprint
};
inline constexpr int kStore = -1;

/// \brief Entry processes, one store and the messages in flight, with the oracle for R3 and R4. A
/// copyable value, so that a search can branch; which message is delivered, lost or repeated is
/// decided by its user.
class Cluster {
 public:
  explicit Cluster(const ClusterSettings& settings);

  static std::uint32_t PartitionOfKey(const std::string& key, core::Instant key_time);

  // Operations of the scheduler.
  void Request(int process, const std::string& key, const std::string& body,
               core::Instant key_time);
  void Deliver(std::size_t message, bool keep = false);
  void Drop(std::size_t message);
  void LoseAnswer(std::size_t message, bool unavailable);
  void Crash(int process);
  void Pause(int process, bool paused) { m_processes[process].paused = paused; }
  void SetClock(int process, core::Duration offset) { m_processes[process].offset = offset; }
  void SetMembers(int process, const std::set<int>& members);
  void SetStoreDown(bool down) { m_store_down = down; }
  void Advance(core::Duration time);
  /// Sends a granted request upstream and records its outcome, or releases it unsent.
  void Run(int process, const core::RequestId& request, ClaimState outcome);

  bool CanDeliver(std::size_t message) const;
  std::optional<core::Duration> UntilNextTick() const;
  const std::vector<Message>& messages() const { return m_messages; }
  std::vector<core::RequestId> Granted(int process) const;
  core::Instant now() const { return m_now; }

  // The oracle.
  const std::vector<std::string>& violations() const { return m_violations; }
  const std::optional<DenyClaim>& DenialOf(const core::RequestId& request) const;
  const core::RequestId& last_request() const { return m_last_request; }
  bool WasGranted(const core::RequestId& request) const;
  std::vector<std::string> WrongNotRunAnswers() const;
  std::uint64_t executions() const;

  /// \brief All state that influences the future, for the search's set of visited states.
  std::string Fingerprint() const;

 private:
  struct Process {
    std::uint64_t incarnation = 0;
    bool paused = false;
    core::Duration offset{};
    std::set<int> members;
    std::map<std::uint32_t, ClaimOwner> owners;
    std::optional<ClaimClient> client;
    std::set<core::RequestId> granted;
    mutable std::string digest;  ///< cached part of the fingerprint
  };
  struct Call {
    int process;
    std::string key;
    std::string body;
    bool granted = false;
    bool ran = false;
    std::optional<DenyClaim> denial;
  };
  struct Stored {
    StoreRevision revision = 0;
    std::string value;
  };

  void Start(int process);
  void StepOwner(int process, std::uint32_t partition, const OwnerEvent& event);
  void StepClient(int process, const ClientEvent& event);
  void Perform(int process, const ClientAction& action);
  void ServeStore(const Message& message);
  core::Instant LocalTime(int process) const { return m_now + m_processes[process].offset; }
  void Send(int from, int to, Payload payload);

  ClusterSettings m_settings;
  core::Instant m_now;
  std::vector<Process> m_processes;
  std::vector<Message> m_messages;
  std::map<std::string, Stored> m_store;
  StoreRevision m_revision = 0;
  bool m_store_down = false;
  std::map<core::RequestId, Call> m_calls;
  std::map<std::string, int> m_runs;
  std::map<std::string, int> m_completions;
  std::vector<std::string> m_violations;
  core::RequestId m_last_request;
};

core::HostId HostOf(int process);

}  // namespace cornelrelay::claims::testing
