#pragma once

#include <functional>
#include <string>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/request/request_action.h"
#include "cornelrelay/request/request_event.h"

namespace cornelrelay::entry {

/// \brief What a request needs to claim its idempotency key.
struct ClaimOrder {
  core::RequestId request;  ///< unique within the process
  core::ClientAccountId account;
  core::ServiceId service;
  std::string key;
  std::string body;  ///< method, target and body; equal for a true repetition
  core::Instant deadline;
};

/// \brief The claims as a request task sees them.
class ClaimPort {
 public:
  using Notify = std::function<void(const request::RequestEvent&)>;

  virtual ~ClaimPort() = default;

  virtual void Request(const ClaimOrder& order, Notify notify) = 0;

  /// \param recorded the answer for later repetitions; empty unless completed
  virtual void Finish(const core::RequestId& request, request::ClaimOutcome outcome,
                      const std::string& recorded) = 0;

  /// \brief The task is over and takes no grant any more; a later grant is released.
  virtual void Abandon(const core::RequestId& request) = 0;
};

}  // namespace cornelrelay::entry
