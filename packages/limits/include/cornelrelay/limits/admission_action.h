#pragma once

#include <cstdint>
#include <string_view>
#include <variant>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/limits/standing.h"

namespace cornelrelay::limits {

/// \brief Why a request was refused. Every refused request was not run.
enum class RefusalReason {
  kUnknownService,
  kNoShare,  ///< the limit is smaller than the number of processes and another one holds the permit
  kQueueFull,
  kDeadline,  ///< it cannot end before its deadline, judged by measured service times
};

std::string_view ToString(RefusalReason reason);

struct StartRequest {
  core::RequestId request{};
  friend bool operator==(const StartRequest&, const StartRequest&) = default;
};

struct QueueRequest {
  core::RequestId request{};
  core::Duration expected_wait{};
  friend bool operator==(const QueueRequest&, const QueueRequest&) = default;
};

struct RefuseRequest {
  core::RequestId request{};
  RefusalReason reason = RefusalReason::kQueueFull;
  core::Duration retry_after{};
  core::HostId holder{};  ///< for kNoShare: an entry process that has a permit
  friend bool operator==(const RefuseRequest&, const RefuseRequest&) = default;
};

/// \brief To be spread as this process's gossip record.
struct PublishConfirmation {
  std::uint64_t view = 0;
  Standing standing = Standing::kNew;
  friend bool operator==(const PublishConfirmation&, const PublishConfirmation&) = default;
};

using AdmissionAction =
    std::variant<StartRequest, QueueRequest, RefuseRequest, PublishConfirmation>;

}  // namespace cornelrelay::limits
