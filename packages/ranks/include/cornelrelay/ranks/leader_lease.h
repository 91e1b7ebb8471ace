#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cornelrelay/balance/plan_record.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/store/store_reply.h"
#include "cornelrelay/store/store_request.h"
#include "cornelrelay/store/store_version.h"

namespace cornelrelay::ranks {

struct LeaderLeaseConfig {
  std::string key;    ///< key of the store that names the leader of the group
  std::string value;  ///< host of this process, named in the key
  core::Duration ttl = std::chrono::milliseconds(1'500);
  core::Duration renew_interval = std::chrono::milliseconds(400);
  core::Duration retry_pause = std::chrono::milliseconds(300);
  /// Wait before a candidate claims the leadership once it is free. It differs by rank, so that not
  /// all candidates try at once.
  core::Duration stagger{};
};

/// \brief The leader key in the store.
struct LeaderKeyObserved {
  std::optional<store::StoredValue> stored;  ///< its value is the leader's host; none if no leader
  store::StoreEra era = 0;                   ///< of the store now
  /// A newer leadership is known: the store was restored from a copy that is older than it.
  bool outdated = false;
};
/// \brief The store's reply to the last SendLeaseRequest.
struct LeaseReply {
  store::StoreReply reply;
};
/// \brief This process must stop leading, because it learned of a newer leader from elsewhere than
/// the store. The lease is not renewed.
struct NewerLeaderFound {};
/// \brief Lets time pass; due at LeaderLease::NextWake.
struct LeaseTick {};
/// \brief An input of LeaderLease::Step.
using LeaseEvent = std::variant<LeaderKeyObserved, LeaseReply, NewerLeaderFound, LeaseTick>;

/// \brief The request must be sent to the store; its reply is passed on as LeaseReply.
struct SendLeaseRequest {
  store::StoreRequest request;
};
/// \brief This process leads. The fence is higher than that of all former leaders.
struct LeadershipAcquired {
  balance::Fence fence = 0;
};
/// \brief The lease is no longer sure to be valid, perhaps because the store does not answer. No
/// other leader is known, so this process stays acting leader until it learns of one. It requests a
/// new lease once the leader key is free.
struct LeaseLapsed {};
/// \brief Another process leads.
struct LeadershipSuperseded {};
/// \brief An output of LeaderLease::Step: a request that the caller must send, or a change of the
/// leadership that it must react to.
using LeaseAction =
    std::variant<SendLeaseRequest, LeadershipAcquired, LeaseLapsed, LeadershipSuperseded>;

/// \brief Acquires and renews the leadership of a group: one key of the store under a lease.
///
/// The validity of the lease is counted from before the call that granted or renewed it, so that a
/// process that was suspended never relies on the lease for too long.
///
/// \code
/// for (const LeaseAction& action : lease.Step(now, LeaderKeyObserved{std::nullopt})) ...
/// \endcode
class LeaderLease {
 public:
  explicit LeaderLease(LeaderLeaseConfig config) : m_config(std::move(config)) {}

  /// \brief Processes an event and then the passage of time. Returns what the caller must perform,
  /// in order.
  std::vector<LeaseAction> Step(core::Instant now, const LeaseEvent& event);

  /// \brief Returns whether the lease is sure to be valid at this time.
  bool valid_at(core::Instant now) const { return m_phase == Phase::kLeading && now < m_expiry; }
  /// \brief Returns when the next LeaseTick is due.
  core::Instant NextWake(core::Instant now) const;

 private:
  enum class Phase { kWaiting, kRequestingLease, kWritingKey, kLeading };
  using Actions = std::vector<LeaseAction>;

  void Apply(core::Instant now, const LeaderKeyObserved& event, Actions& out);
  void Apply(core::Instant now, const LeaseReply& event, Actions& out);
  void Apply(core::Instant now, const NewerLeaderFound& event, Actions& out);
  void Apply(core::Instant now, const LeaseTick& event, Actions& out);
  void OnGrant(core::Instant now, const store::StoreReply& reply, Actions& out);
  void OnKeyWrite(core::Instant now, const store::StoreReply& reply, Actions& out);
  void OnRenewal(core::Instant now, const store::StoreReply& reply, Actions& out);
  void Send(core::Instant now, store::StoreRequest request, Actions& out);
  void RetryIn(core::Instant now, core::Duration pause);
  void HandleLapse(core::Instant now, Actions& out);

  LeaderLeaseConfig m_config;
  Phase m_phase = Phase::kWaiting;
  bool m_pending = false;          ///< a reply to SendLeaseRequest is awaited
  bool m_leader_key_read = false;  ///< a LeaderKeyObserved has come
  /// This process was the last known leader. Stays true after its lease lapsed, until another
  /// leader is observed or found.
  bool m_acting_leader = false;
  std::optional<store::StoredValue> m_leader;  ///< value of the leader key
  store::StoreEra m_era = 0;                   ///< of the store when the leader key was read
  core::Instant m_called_at{};                 ///< time of the last SendLeaseRequest
  core::Instant m_next_call{};
  store::LeaseNumber m_lease = 0;
  core::Instant m_expiry{};  ///< the lease is sure to be valid before this time
};

}  // namespace cornelrelay::ranks
