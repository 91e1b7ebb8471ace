#pragma once

#include <cstdint>
#include <string_view>
#include <variant>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/limits/standing.h"

namespace cornelrelay::limits {

/// \brief Reason for which a request was refused. A refused request has not been run.
enum class RefusalReason {
  kUnknownService,
  /// This process holds no permit. Either the limit is smaller than the number of processes and
  /// others hold the permits, or this process has not settled its first view yet.
  kNoShare,
  kQueueFull,
  kDeadline,  ///< according to measured service times, the request cannot end before its deadline
};

std::string_view ToString(RefusalReason reason);

/// \brief The caller must run this request now and report its end.
struct StartRequest {
  core::RequestId request{};
  friend bool operator==(const StartRequest&, const StartRequest&) = default;
};

/// \brief The request waits; a later action starts or refuses it.
struct QueueRequest {
  core::RequestId request{};
  core::Duration expected_wait{};
  friend bool operator==(const QueueRequest&, const QueueRequest&) = default;
};

/// \brief The request is not run.
struct RefuseRequest {
  core::RequestId request{};
  RefusalReason reason = RefusalReason::kQueueFull;
  core::Duration retry_after{};
  core::HostId holder{};  ///< an entry process that holds a permit; set only with kNoShare
  friend bool operator==(const RefuseRequest&, const RefuseRequest&) = default;
};

/// \brief This process runs no more than its share of `view`. The caller publishes this as the
/// process's gossip record.
struct PublishConfirmation {
  std::uint64_t view = 0;  ///< ViewId of the current members
  Standing standing = Standing::kNew;
  friend bool operator==(const PublishConfirmation&, const PublishConfirmation&) = default;
};

using AdmissionAction =
    std::variant<StartRequest, QueueRequest, RefuseRequest, PublishConfirmation>;

}  // namespace cornelrelay::limits
