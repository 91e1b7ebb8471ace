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

namespace cornelrelay::ranks {

struct GroupLeaseConfig {
  std::string key;    ///< names the leader of the group
  std::string value;  ///< names this process
  core::Duration ttl = std::chrono::milliseconds(1'500);
  core::Duration renew_interval = std::chrono::milliseconds(400);
  core::Duration retry_pause = std::chrono::milliseconds(300);
  /// Wait before the seat is taken, so that not all try at once; depends on the rank.
  core::Duration stagger{};
};

/// \brief The leader's key as the store has it; none if there is no leader.
struct SeatSeen {
  std::optional<store::StoredValue> seat;
};
/// \brief Answer to the call that was asked for last.
struct LeaseReply {
  store::StoreReply reply;
};
/// \brief A newer leader is known to exist, so the lease is kept no longer.
struct SeatResigned {};
struct LeaseTick {};
using LeaseEvent = std::variant<SeatSeen, LeaseReply, SeatResigned, LeaseTick>;

struct CallForLease {
  store::StoreRequest request;
};
/// \brief This process leads; the fence is above that of all former leaders.
struct SeatTaken {
  balance::Fence fence = 0;
};
/// \brief The lease has lapsed, perhaps with the store. Nobody else is known to lead.
struct SeatUnsure {};
/// \brief Another process leads.
struct SeatLost {};
using LeaseAction = std::variant<CallForLease, SeatTaken, SeatUnsure, SeatLost>;

/// \brief Takes and keeps the seat of a group's leader: one key of the store under a lease.
///
/// The time for which the lease is sure to last counts from before the call that granted it, so
/// that a process that was suspended never believes in it for too long.
///
/// \code
/// for (const LeaseAction& action : lease.Step(now, SeatSeen{std::nullopt})) ...
/// \endcode
class GroupLease {
 public:
  explicit GroupLease(GroupLeaseConfig config) : m_config(std::move(config)) {}

  std::vector<LeaseAction> Step(core::Instant now, const LeaseEvent& event);

  /// \brief The lease is sure to last at this time.
  bool holds(core::Instant now) const { return m_phase == Phase::kLeading && now < m_until; }
  core::Instant NextWake(core::Instant now) const;

 private:
  enum class Phase { kWaiting, kGranting, kTaking, kLeading };
  using Actions = std::vector<LeaseAction>;

  void Apply(core::Instant now, const SeatSeen& event, Actions& out);
  void Apply(core::Instant now, const LeaseReply& event, Actions& out);
  void Apply(core::Instant now, const SeatResigned& event, Actions& out);
  void Apply(core::Instant now, const LeaseTick& event, Actions& out);
  void OnGrant(core::Instant now, const store::StoreReply& reply, Actions& out);
  void OnTake(core::Instant now, const store::StoreReply& reply, Actions& out);
  void OnRenewal(core::Instant now, const store::StoreReply& reply, Actions& out);
  void Call(core::Instant now, store::StoreRequest request, Actions& out);
  void Wait(core::Instant now, core::Duration pause);
  void BecomeUnsure(core::Instant now, Actions& out);

  GroupLeaseConfig m_config;
  Phase m_phase = Phase::kWaiting;
  bool m_calling = false;
  bool m_seen = false;
  bool m_acting = false;  ///< has led, and nobody else is known to have led since
  std::optional<store::StoredValue> m_seat;
  core::Instant m_called_at{};
  core::Instant m_next{};
  store::LeaseNumber m_lease = 0;
  core::Instant m_until{};
};

}  // namespace cornelrelay::ranks
