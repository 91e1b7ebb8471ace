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

struct RequestArrived {
  core::RequestId request{};
  core::ClientAccountId account{};
  core::ServiceId service{};
  std::uint8_t priority = 1;  ///< 0 is the highest class
  core::Instant deadline = core::Instant::max();
  double work = 1;  ///< work units; service times are measured per unit
};

/// \brief A started request ended; its duration is measured when it ran to its end.
struct RequestFinished {
  core::RequestId request{};
  bool completed = true;
};

/// \brief The caller gave up on a queued or started request.
struct RequestCancelled {
  core::RequestId request{};
};

struct MembersChanged {
  std::vector<Member> members{};
};

/// \brief Statement of another process, from its gossip record.
struct ConfirmationReceived {
  core::HostId member{};
  std::uint64_t view = 0;
  Standing standing = Standing::kNew;
  std::uint64_t sequence = 0;
};

struct LimitsChanged {
  core::ServiceId service{};
  ServiceLimits limits{};
};

struct TickElapsed {};

using AdmissionEvent =
    std::variant<RequestArrived, RequestFinished, RequestCancelled, MembersChanged,
                 ConfirmationReceived, LimitsChanged, TickElapsed>;

}  // namespace cornelrelay::limits
