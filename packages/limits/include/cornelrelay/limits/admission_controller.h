#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cornelrelay/limits/admission_action.h"
#include "cornelrelay/limits/admission_event.h"
#include "cornelrelay/limits/fair_queue.h"
#include "cornelrelay/limits/service_time_estimator.h"
#include "cornelrelay/limits/share_tracker.h"
#include "cornelrelay/limits/token_bucket.h"

namespace cornelrelay::limits {

/// \brief Settings of one AdmissionController.
struct AdmissionConfig {
  ShareTrackerConfig shares{};
  FairQueueConfig queue{};
  core::Duration no_share_retry_after =
      std::chrono::seconds(1);  ///< retry-after of requests refused with kNoShare
};

/// \brief Admits requests within this process's exact share of each limit.
///
/// Limits apply to each client account and service, summed over all entry processes. Processes
/// agree on their shares and exchange no message per request. Queued requests start in the order of
/// FairQueue.
/// \code
/// for (const AdmissionAction& action : controller.Step(now, RequestArrived{...}))
///   std::visit(handler, action);
/// \endcode
class AdmissionController {
 public:
  explicit AdmissionController(AdmissionConfig config);

  /// \brief Handles one event and returns the actions that the caller must carry out, in order.
  std::vector<AdmissionAction> Step(core::Instant now, const AdmissionEvent& event);

  struct AccountState {
    std::uint64_t running = 0;
    TokenBucket bucket;
  };
  struct ServiceState {
    ServiceLimits limits{};
    std::uint64_t running = 0;
    FairQueue queue;
    ServiceTimeEstimator service_time{};
    std::map<core::ClientAccountId, AccountState> accounts{};
  };

  const std::map<core::ServiceId, ServiceState>& services() const { return m_services; }
  const ShareTracker& shares() const { return m_shares; }

 private:
  struct RunningRequest {
    core::ServiceId service{};
    core::ClientAccountId account{};
    core::Instant started{};
    double work = 1;
  };
  using Actions = std::vector<AdmissionAction>;

  void Apply(core::Instant now, const RequestArrived& event, Actions& out);
  void Apply(core::Instant now, const RequestFinished& event, Actions& out);
  void Apply(core::Instant now, const RequestCancelled& event, Actions& out);
  void Apply(core::Instant now, const MembersChanged& event, Actions& out);
  void Apply(core::Instant now, const ConfirmationReceived& event, Actions& out);
  void Apply(core::Instant now, const LimitsChanged& event, Actions& out);
  void Apply(core::Instant now, const TickElapsed& event, Actions& out);

  /// \brief Part of an account's `limit` that this process may use now.
  std::uint64_t UsableShare(const core::ServiceId& service, const core::ClientAccountId& account,
                            std::uint64_t limit) const;

  /// \brief Returns whether the running requests of every service and account are within this
  /// process's shares of the current view.
  bool RunsWithinTargets() const;
  void ConfirmIfWithinTargets(core::Instant now, Actions& out);

  /// \brief Returns the account's state, created if needed, with its token bucket refilled to
  /// `now`.
  AccountState& RefillAccount(core::Instant now, const core::ServiceId& id, ServiceState& service,
                              const core::ClientAccountId& account);
  bool MayStart(core::Instant now, const core::ServiceId& id, ServiceState& service,
                const core::ClientAccountId& account);
  void Start(core::Instant now, const core::ServiceId& id, ServiceState& service,
             const QueuedRequest& item, Actions& out);

  /// \brief Estimates how long a new request would wait for its start.
  core::Duration ExpectedWait(core::Instant now, const core::ServiceId& id, ServiceState& service,
                              const RequestArrived& event);

  /// \brief Starts queued requests of a service while permits and tokens allow, and refuses those
  /// that can no longer meet their deadline.
  void StartQueued(core::Instant now, const core::ServiceId& id, ServiceState& service,
                   Actions& out);
  void RefillAllBuckets(core::Instant now);

  /// \brief If the view is settled and `was_settled` is false, updates the start time of new token
  /// buckets unless members were added, and publishes this process's new standing after its first
  /// settling.
  void HandleSettled(core::Instant now, bool was_settled, Actions& out);
  void StartAllQueued(core::Instant now, Actions& out);

  /// \brief Returns the permits of a started request. `record_time` adds its duration to the
  /// service time estimate.
  void Release(core::Instant now, const core::RequestId& request, bool record_time, Actions& out);

  AdmissionConfig m_config;
  ShareTracker m_shares;
  core::Instant m_bucket_start{};  // last growth of the shares; new token buckets fill from then on
  std::size_t m_settled_member_count = 0;
  std::map<core::ServiceId, ServiceState> m_services;
  std::map<core::RequestId, RunningRequest> m_running;
};

}  // namespace cornelrelay::limits
