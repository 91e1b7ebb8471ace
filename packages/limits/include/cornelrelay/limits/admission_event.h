#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/limits/member.h"
#include "cornelrelay/limits/service_limits.h"
#include "cornelrelay/limits/standing.h"

namespace cornelrelay::limits {

/// \brief A caller asks to start a request.
struct RequestArrived {
  core::RequestId request{};
  core::ClientAccountId account{};
  core::ServiceId service{};
  std::uint8_t priority = 1;  ///< 0 is the highest class
  core::Instant deadline = core::Instant::max();
  double work = 1;  ///< size in work units; service times are measured per unit
};

/// \brief A started request ended. Its duration counts as a service time only if `completed`.
struct RequestFinished {
  core::RequestId request{};
  bool completed = true;
};

/// \brief The caller gave up on a queued or started request.
struct RequestCancelled {
  core::RequestId request{};
};

/// \brief The entry processes that share the limits now.
struct MembersChanged {
  std::vector<Member> members{};
};

/// \brief Another process's gossip record says that it runs no more than its share of `view`.
struct ConfirmationReceived {
  core::HostId member{};
  std::uint64_t view = 0;  ///< ViewId of the members that the sender knows
  Standing standing = Standing::kNew;
  std::uint64_t sequence = 0;  ///< grows with each confirmation of this member
};

/// \brief Sets the limits of a service; the first such event makes the service known.
struct LimitsChanged {
  core::ServiceId service{};
  ServiceLimits limits{};
};

/// \brief Time has passed. Refuses late requests, starts queued ones, and settles a confirmed view
/// whose waiting time has passed.
struct TickElapsed {};

using AdmissionEvent =
    std::variant<RequestArrived, RequestFinished, RequestCancelled, MembersChanged,
                 ConfirmationReceived, LimitsChanged, TickElapsed>;

}  // namespace cornelrelay::limits
