#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cornelrelay/limits/admission_action.h"
#include "cornelrelay/limits/admission_event.h"
#include "cornelrelay/limits/fair_queue.h"
#include "cornelrelay/limits/service_time.h"
#include "cornelrelay/limits/share_tracker.h"
#include "cornelrelay/limits/token_bucket.h"

namespace cornelrelay::limits {

/// \brief Settings of one AdmissionController.
struct AdmissionConfig {
  ShareTrackerConfig shares{};
  FairQueueConfig queue{};
  core::Duration no_share_retry =
      std::chrono::seconds(1);  ///< retry-after where this process holds no permit
};

/// \brief Admits requests within this process's exact share of each limit.
///
/// Limits hold per client account and service over all entry processes together, without a message
/// per request. Waiting requests are started in the order of FairQueue. \code for (const
/// AdmissionAction& action : controller.Step(now, RequestArrived{...})) std::visit(handler,
/// action); \endcode
class AdmissionController {
 public:
  explicit AdmissionController(AdmissionConfig config);

  std::vector<AdmissionAction> Step(core::Instant now, const AdmissionEvent& event);

  struct AccountState {
    std::uint64_t running = 0;
    TokenBucket bucket;
  };
  struct ServiceState {
    ServiceLimits limits{};
    std::uint64_t running = 0;
    FairQueue queue;
    ServiceTime times{};
    std::map<core::ClientAccountId, AccountState> accounts{};
  };

  const std::map<core::ServiceId, ServiceState>& services() const { return m_services; }
  const ShareTracker& shares() const { return m_shares; }

 private:
  struct Running {
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

  std::uint64_t Usable(const core::ServiceId& service, const core::ClientAccountId& account,
                       std::uint64_t limit) const;
  bool WithinTargets() const;
  void ConfirmIfWithin(core::Instant now, Actions& out);
  AccountState& Account(core::Instant now, const core::ServiceId& id, ServiceState& service,
                        const core::ClientAccountId& account);
  bool MayStart(core::Instant now, const core::ServiceId& id, ServiceState& service,
                const core::ClientAccountId& account);
  void Start(core::Instant now, const core::ServiceId& id, ServiceState& service,
             const QueuedRequest& item, Actions& out);
  core::Duration ExpectedWait(core::Instant now, const core::ServiceId& id, ServiceState& service,
                              const RequestArrived& event);
  void Drain(core::Instant now, const core::ServiceId& id, ServiceState& service, Actions& out);
  void RefillAll(core::Instant now);
  void NoteSettled(core::Instant now, bool before, Actions& out);
  void DrainAll(core::Instant now, Actions& out);
  void Release(core::Instant now, const core::RequestId& request, bool measure, Actions& out);

  AdmissionConfig m_config;
  ShareTracker m_shares;
  core::Instant m_since{};  // last growth of the shares: new buckets fill from then on
  std::size_t m_settled_members = 0;
  std::map<core::ServiceId, ServiceState> m_services;
  std::map<core::RequestId, Running> m_running;
};

}  // namespace cornelrelay::limits
