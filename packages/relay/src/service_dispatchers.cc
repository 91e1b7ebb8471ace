#include "cornelrelay/relay/service_dispatchers.h"

#include <algorithm>
#include <utility>

#include "cornelrelay/core/hash.h"

namespace cornelrelay::relay {
namespace {

/// Shortest time to the next wake-up. Limits the rate if the requested time has already passed.
constexpr std::chrono::milliseconds kMinWakeInterval{5};
/// Number of typical prompts that load an engine as much as one generating request. The engine goes
/// on generating for other requests while it processes a prompt.
constexpr double kPromptsPerGeneratingRequest = 1.0;

core::Duration Scale(core::Duration duration, double factor) {
  return core::Duration(
      static_cast<core::Duration::rep>(static_cast<double>(duration.count()) * factor));
}

dispatch::DispatcherConfig DispatcherConfigOf(const routes::ServiceSpec& service,
                                              const core::HostId& self, std::uint64_t seed) {
  dispatch::DispatcherConfig config;
  config.upstreams.self = self;
  config.seed = core::Hash64(service.id.value(), seed);
  if (!service.engine) return config;
  const routes::EngineModel& engine = *service.engine;
  const core::Duration step =
      engine.step_time + engine.step_time_per_request * static_cast<std::int64_t>(engine.slots);
  const core::Duration pass = step * static_cast<std::int64_t>(engine.steps_per_pass);
  config.initial_service_time = Scale(step, std::max(1.0, engine.mean_answer_tokens));
  config.initial_time_to_first_output = pass * 2;
  config.upstreams.prompt_tokens_per_slot =
      std::max(1.0, engine.mean_prompt_tokens * kPromptsPerGeneratingRequest);
  // A lower bound of the time: an engine reads the prompts of several requests.
  if (engine.prompt_tokens_per_second > 0) {
    config.prompt_token_time =
        Scale(std::chrono::seconds(1), 1 / std::max(1.0, engine.prompt_tokens_per_second));
  }
  return config;
}

}  // namespace

ServiceDispatchers::ServiceDispatchers(boost::asio::io_context& context,
                                       const runtime::ProcessClock& clock, telemetry::JsonLog& log,
                                       telemetry::MetricRegistry& metrics, core::HostId self,
                                       std::uint64_t seed, std::function<void()> on_load_change)
    : m_context(context),
      m_clock(clock),
      m_log(log),
      m_metrics(metrics),
      m_self(std::move(self)),
      m_seed(seed),
      m_on_load_change(std::move(on_load_change)) {}

void ServiceDispatchers::SetConfiguration(const routes::Configuration& configuration) {
  for (const auto& [id, spec] : configuration.services) {
    const dispatch::DispatcherConfig config = DispatcherConfigOf(spec, m_self, m_seed);
    if (Service* found = Find(id)) {
      found->cold_per_second = spec.cold_per_s;
      found->cold_time = spec.cold_time;
      Step(id, *found,
           dispatch::PromptWeightChanged{config.upstreams.prompt_tokens_per_slot,
                                         config.prompt_token_time});
      continue;
    }
    const auto on_wake = [this, service = id] {
      if (Service* found = Find(service)) Step(service, *found, dispatch::DispatchTick{});
    };
    auto service = std::make_unique<Service>(m_context, m_clock, config, on_wake);
    service->cold_per_second = spec.cold_per_s;
    service->cold_time = spec.cold_time;
    m_services.emplace(id, std::move(service));
  }
}

void ServiceDispatchers::SetUpstreams(const directory::UpstreamDirectory& directory) {
  for (auto& [id, service] : m_services) {
    dispatch::UpstreamsChanged event;
    for (const directory::UpstreamEntry& entry : directory.Usable(id)) {
      event.upstreams.push_back(
          {entry.id, entry.slots, entry.incarnation, entry.cold_until, service->cold_per_second});
    }
    Step(id, *service, event);
    if (service->cold_per_second > 0) SetColdMetric(id, *service);
  }
}

void ServiceDispatchers::SetPeers(const peers::PeerTable& peers) {
  const auto in_flight = peers.InFlight();
  dispatch::PeerRateLimitsChanged limits;
  limits.processes = peers.LiveProcesses();
  const bool any_cold_rate =
      std::any_of(m_services.begin(), m_services.end(),
                  [](const auto& entry) { return entry.second->cold_per_second > 0; });
  if (any_cold_rate) limits.possibly_running = peers.PossiblyRunningProcesses(m_clock.Now());
  for (const auto& [upstream, heard] : peers.RateLimits()) {
    limits.observations[upstream] = {heard.per_second, heard.at};
  }
  for (auto& [id, service] : m_services) {
    Step(id, *service, limits);
    Step(id, *service, dispatch::PeerLoadChanged{in_flight, peers.Waiting(id)});
  }
}

void ServiceDispatchers::Submit(const core::ServiceId& service,
                                const dispatch::RequestArrived& arrival, OnDecision on_decision) {
  Service* found = Find(service);
  if (found == nullptr) {
    on_decision(dispatch::Rejected{
        arrival.request, arrival.priority, dispatch::RejectReason::kNoUpstream, {}, {}, 0});
    return;
  }
  m_pending_decisions.emplace(arrival.request, std::move(on_decision));
  Step(service, *found, arrival);
  m_on_load_change();
}

void ServiceDispatchers::SeekPlace(const core::ServiceId& service,
                                   const dispatch::PlaceSought& sought, OnDecision on_decision) {
  Service* found = Find(service);
  if (found == nullptr) return;
  m_pending_decisions.emplace(sought.request, std::move(on_decision));
  Step(service, *found, sought);
  m_on_load_change();
}

void ServiceDispatchers::Withdraw(const core::ServiceId& service, const core::RequestId& request) {
  m_pending_decisions.erase(request);
  if (Service* found = Find(service)) Step(service, *found, dispatch::RequestWithdrawn{request});
  m_on_load_change();
}

void ServiceDispatchers::RecordFirstOutput(const core::ServiceId& service,
                                           const core::RequestId& request) {
  if (Service* found = Find(service)) Step(service, *found, dispatch::FirstOutputReceived{request});
}

void ServiceDispatchers::RecordAttemptEnd(const core::ServiceId& service,
                                          const core::RequestId& request,
                                          dispatch::AttemptEnd end) {
  if (Service* found = Find(service)) Step(service, *found, dispatch::AttemptEnded{request, end});
  m_on_load_change();
}

void ServiceDispatchers::RecordRateLimit(const core::ServiceId& service,
                                         const core::UpstreamId& upstream,
                                         std::optional<double> per_second) {
  Service* found = Find(service);
  if (found) Step(service, *found, dispatch::RateLimitObserved{upstream, per_second});
}

void ServiceDispatchers::BackOff(const core::ServiceId& service, const core::UpstreamId& upstream,
                                 core::Duration time) {
  Service* found = Find(service);
  if (!found) return;
  m_log.Info("upstream_backoff", {{"service", service}, {"upstream", upstream}, {"for_us", time}});
  Step(service, *found, dispatch::BackoffRequested{upstream, time});
}

const dispatch::Dispatcher* ServiceDispatchers::FindDispatcher(
    const core::ServiceId& service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? nullptr : &found->second->dispatcher;
}

ServiceDispatchers::Service* ServiceDispatchers::Find(const core::ServiceId& id) {
  const auto found = m_services.find(id);
  return found == m_services.end() ? nullptr : found->second.get();
}

std::vector<peers::UpstreamLoad> ServiceDispatchers::Loads() const {
  std::vector<peers::UpstreamLoad> loads;
  for (const auto& [id, service] : m_services) {
    for (const auto& [upstream, count] : service->dispatcher.InFlight()) {
      loads.push_back({upstream, count});
    }
  }
  return loads;
}

std::vector<peers::RateLimitReport> ServiceDispatchers::RateLimits() const {
  std::vector<peers::RateLimitReport> reports;
  const core::Instant now = m_clock.Now();
  for (const auto& [id, service] : m_services) {
    for (const auto& [upstream, observation] : service->dispatcher.OwnRateLimits(now)) {
      reports.push_back({upstream, observation.per_second, now - observation.at});
    }
  }
  return reports;
}

std::vector<peers::ServiceQueue> ServiceDispatchers::Queues() const {
  std::vector<peers::ServiceQueue> queues;
  for (const auto& [id, service] : m_services) {
    for (const auto& [priority, waiting] : service->dispatcher.WaitingByPriority()) {
      queues.push_back({id, priority, waiting});
    }
  }
  return queues;
}

void ServiceDispatchers::Step(const core::ServiceId& id, Service& service,
                              const dispatch::DispatchEvent& event) {
  for (const dispatch::DispatchAction& action : service.dispatcher.Step(m_clock.Now(), event)) {
    std::visit([&](const auto& a) { Perform(id, a); }, action);
  }
  SetQueueGauges(id, service);
  if (const auto wake = service.dispatcher.NextWake()) {
    service.timer.SetAt(std::max(*wake, m_clock.Now() + kMinWakeInterval));
  }
}

void ServiceDispatchers::SetQueueGauges(const core::ServiceId& id, Service& service) {
  std::map<std::uint8_t, std::uint32_t> sizes = service.dispatcher.WaitingByPriority();
  if (sizes == service.reported_queue) return;
  const auto set = [&](std::uint8_t priority, std::uint32_t size) {
    m_metrics
        .GetGauge("cornelrelay_queued_requests", "Requests that wait for an upstream.",
                  {{"service", id.value()}, {"priority", std::to_string(priority)}})
        .Set(size);
  };
  for (const auto& [priority, size] : service.reported_queue) {
    if (!sizes.contains(priority)) set(priority, 0);
  }
  for (const auto& [priority, size] : sizes) set(priority, size);
  service.reported_queue = std::move(sizes);
}

void ServiceDispatchers::DeliverDecision(const core::RequestId& request, const Decision& decision) {
  const auto found = m_pending_decisions.find(request);
  if (found == m_pending_decisions.end()) return;
  const OnDecision on_decision = std::move(found->second);
  m_pending_decisions.erase(found);
  on_decision(decision);
}

void ServiceDispatchers::Perform(const core::ServiceId& service, const dispatch::Assigned& action) {
  m_metrics
      .GetCounter("cornelrelay_assigned_total", "Requests given to an upstream.",
                  {{"service", service.value()}})
      .Add();
  DeliverDecision(action.request, action);
}

void ServiceDispatchers::Perform(const core::ServiceId& service, const dispatch::Rejected& action) {
  m_metrics
      .GetCounter("cornelrelay_rejected_total", "Requests that got no upstream.",
                  {{"service", service.value()},
                   {"reason", std::string(ToString(action.reason))},
                   {"priority", std::to_string(action.priority)}})
      .Add();
  DeliverDecision(action.request, action);
}

void ServiceDispatchers::Perform(const core::ServiceId& service,
                                 const dispatch::HealthChanged& action) {
  m_log.Warning("upstream_health_changed", {{"service", service},
                                            {"upstream", action.upstream},
                                            {"state", ToString(action.state)},
                                            {"failure_share", action.failure_share}});
}

void ServiceDispatchers::Perform(const core::ServiceId& service,
                                 const dispatch::ServiceBlocked& action) {
  m_log.Warning("service_blocked", {{"service", service}, {"blocked", action.blocked}});
}

void ServiceDispatchers::Perform(const core::ServiceId& service,
                                 const dispatch::RateLimitChanged& action) {
  m_log.Warning("upstream_rate_limit_changed", {{"service", service},
                                                {"upstream", action.upstream},
                                                {"limited", action.per_second.has_value()},
                                                {"per_second", action.per_second.value_or(0)},
                                                {"own_per_second", action.own_per_second}});
}

void ServiceDispatchers::Perform(const core::ServiceId& service,
                                 const dispatch::ColdChanged& action) {
  const Service& found = *m_services.at(service);
  if (action.cold) {
    m_metrics
        .GetCounter("cornelrelay_cold_upstreams_total", "Upstreams that became cold.",
                    {{"service", service.value()}})
        .Add();
    m_log.Warning("upstream_cold", {{"service", service},
                                    {"upstream", action.upstream},
                                    {"remaining_us", action.remaining},
                                    {"cold_time_us", found.cold_time},
                                    {"per_second", action.per_second},
                                    {"own_per_second", action.own_per_second},
                                    {"processes", action.processes}});
  } else {
    m_log.Warning("upstream_warm", {{"service", service},
                                    {"upstream", action.upstream},
                                    {"per_second", action.per_second},
                                    {"processes", action.processes}});
  }
  SetColdMetric(service, found);
}

void ServiceDispatchers::SetColdMetric(const core::ServiceId& id, const Service& service) {
  m_metrics
      .GetGauge("cornelrelay_cold_upstreams", "Upstreams that are cold or in the ramp after it.",
                {{"service", id.value()}})
      .Set(static_cast<double>(service.dispatcher.cold_upstreams()));
}

}  // namespace cornelrelay::relay
