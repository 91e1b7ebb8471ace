#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "cornelrelay/directory/upstream_directory.h"
#include "cornelrelay/dispatch/dispatcher.h"
#include "cornelrelay/peers/peer_status.h"
#include "cornelrelay/peers/peer_table.h"
#include "cornelrelay/routes/configuration.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/wake_timer.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::relay {

/// \brief Runs one Dispatcher for each service and delivers its decisions to the requests.
class ServiceDispatchers {
 public:
  using Decision = std::variant<dispatch::Assigned, dispatch::Rejected>;
  using OnDecision = std::function<void(const Decision&)>;

  /// \param on_load_change called after each change of this process's requests in flight or waiting
  ServiceDispatchers(boost::asio::io_context& context, const runtime::ProcessClock& clock,
                     telemetry::JsonLog& log, telemetry::MetricRegistry& metrics, core::HostId self,
                     std::uint64_t seed, std::function<void()> on_load_change);

  void SetConfiguration(const routes::Configuration& configuration);
  void SetUpstreams(const directory::UpstreamDirectory& directory);
  void SetPeers(const peers::PeerTable& peers);

  /// \brief Asks the service's dispatcher for an upstream.
  ///
  /// Calls `on_decision` once, possibly before returning, unless the request is withdrawn first.
  /// Rejects the request if no configuration has named the service so far.
  void Submit(const core::ServiceId& service, const dispatch::RequestArrived& arrival,
              OnDecision on_decision);
  /// \brief Seeks a place for a request whose present attempt goes on. Calls `on_decision` once
  /// with the upstream, possibly before returning, unless the place is withdrawn first.
  void SeekPlace(const core::ServiceId& service, const dispatch::PlaceSought& sought,
                 OnDecision on_decision);
  void Withdraw(const core::ServiceId& service, const core::RequestId& request);
  void RecordFirstOutput(const core::ServiceId& service, const core::RequestId& request);
  void RecordAttemptEnd(const core::ServiceId& service, const core::RequestId& request,
                        dispatch::AttemptEnd end);

  /// \param per_second the rate limit that an answer of the upstream named; empty if it named none
  void RecordRateLimit(const core::ServiceId& service, const core::UpstreamId& upstream,
                       std::optional<double> per_second);

  /// \brief Keeps new requests from the upstream for a time, as its refusal asked for.
  void BackOff(const core::ServiceId& service, const core::UpstreamId& upstream,
               core::Duration time);

  /// \brief Returns null for a service that no configuration has named so far.
  const dispatch::Dispatcher* FindDispatcher(const core::ServiceId& service) const;

  /// \brief Number of this process's requests in flight on each upstream.
  std::vector<peers::UpstreamLoad> Loads() const;
  /// \brief Number of this process's waiting requests, for each service and priority that has any.
  std::vector<peers::ServiceQueue> Queues() const;
  /// \brief What answers to this process said of rate limits.
  std::vector<peers::RateLimitReport> RateLimits() const;

 private:
  struct Service {
    Service(boost::asio::io_context& context, const runtime::ProcessClock& clock,
            dispatch::DispatcherConfig config, std::function<void()> on_wake)
        : dispatcher(std::move(config)), timer(context, clock, std::move(on_wake)) {}
    dispatch::Dispatcher dispatcher;
    runtime::WakeTimer timer;
    double cold_per_second = 0;  ///< of the configuration; 0: no cold state
    core::Duration cold_time{};
    std::map<std::uint8_t, std::uint32_t> reported_queue;  ///< last values of the gauges
  };

  void Step(const core::ServiceId& id, Service& service, const dispatch::DispatchEvent& event);
  void Perform(const core::ServiceId& service, const dispatch::Assigned& action);
  void Perform(const core::ServiceId& service, const dispatch::Rejected& action);
  void Perform(const core::ServiceId& service, const dispatch::HealthChanged& action);
  void Perform(const core::ServiceId& service, const dispatch::ServiceBlocked& action);
  void Perform(const core::ServiceId& service, const dispatch::RateLimitChanged& action);
  void Perform(const core::ServiceId& service, const dispatch::ColdChanged& action);
  void SetColdMetric(const core::ServiceId& id, const Service& service);
  void SetQueueGauges(const core::ServiceId& id, Service& service);
  void DeliverDecision(const core::RequestId& request, const Decision& decision);
  Service* Find(const core::ServiceId& id);

  boost::asio::io_context& m_context;
  const runtime::ProcessClock& m_clock;
  telemetry::JsonLog& m_log;
  telemetry::MetricRegistry& m_metrics;
  core::HostId m_self;
  std::uint64_t m_seed;
  std::function<void()> m_on_load_change;
  std::map<core::ServiceId, std::unique_ptr<Service>> m_services;
  std::map<core::RequestId, OnDecision> m_pending_decisions;
};

}  // namespace cornelrelay::relay
