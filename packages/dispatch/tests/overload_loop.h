#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/core/random.h"
#include "cornelrelay/dispatch/dispatcher.h"

namespace cornelrelay::dispatch {

/// \brief A load on a few entry processes that share engines.
struct OverloadCase {
  std::uint64_t seed = 1;
  int processes = 6;
  int engines = 8;
  std::uint32_t slots = 10;
  core::Duration service_time = std::chrono::milliseconds(800);
  core::Duration first_output = std::chrono::milliseconds(100);
  core::Duration status_interval = std::chrono::milliseconds(100);
  core::Duration run_time = std::chrono::seconds(20);
  /// Requests a second of each priority at a time.
  std::function<std::vector<double>(core::Duration)> rates;
  /// Accounts share the rate evenly; the first one has `first_account_factor` times as much.
  int accounts = 20;
  double first_account_factor = 1;
  int immediate_retries = 0;                   ///< of each rejected request
  core::Duration half_lost_at = run_time * 2;  ///< when half of the engines leave
};

struct OverloadCounts {
  double arrived = 0;
  double served = 0;
  double RejectedShare() const { return arrived > 0 ? 1 - served / arrived : 0; }
};

struct OverloadResult {
  std::map<std::uint8_t, OverloadCounts> priorities;
  OverloadCounts first_account, other_accounts;
  std::map<RejectReason, int> reasons;
  double sent = 0;
  double met_full = 0;  ///< requests that reached an engine which others had filled
};

/// \brief Runs the Dispatchers of some processes against engines that refuse when they are full.
/// Statuses reach all peers at once, every status interval.
class OverloadLoop {
 public:
  explicit OverloadLoop(const OverloadCase& load)
      : m_case(load), m_random(load.seed), m_on_engine(load.engines) {
    for (int p = 0; p < load.processes; ++p) {
      DispatcherConfig config;
      config.seed = load.seed * 1'000 + static_cast<std::uint64_t>(p);
      config.initial_service_time = load.service_time;
      config.initial_time_to_first_output = load.first_output;
      config.upstreams.self = HostNo(p);
      m_dispatchers.emplace_back(config);
    }
  }

  OverloadResult Run() {
    SetEngines(m_case.engines);
    const core::Duration step = std::chrono::milliseconds(5);
    core::Duration next_status{};
    for (core::Duration t{}; t < m_case.run_time; t += step) {
      m_now = core::Instant(t);
      if (t >= m_case.half_lost_at && m_live == m_case.engines) LoseHalf();
      if (t >= next_status) {
        ExchangeStatuses();
        next_status = t + m_case.status_interval;
      }
      RunDue();
      Arrive(t, step);
      for (int p = 0; p < m_case.processes; ++p) {
        const auto wake = m_dispatchers[p].NextWake();
        if (wake && *wake <= m_now) Step(p, DispatchTick{});
      }
    }
    return m_result;
  }

 private:
  struct Request {
    RequestArrived arrival;
    int engine = -1;
    int retries = 0;
    bool first_account = false;
  };

  static core::HostId HostNo(int n) { return core::HostId("h" + std::to_string(n)); }

  void SetEngines(int live) {
    m_live = live;
    UpstreamsChanged event;
    for (int e = 0; e < live; ++e) {
      event.upstreams.push_back({core::UpstreamId(std::to_string(e)), m_case.slots, 1});
    }
    for (int p = 0; p < m_case.processes; ++p) Step(p, event);
  }

  void LoseHalf() {
    SetEngines(m_case.engines / 2);
    std::vector<std::pair<int, core::RequestId>> lost;
    for (const auto& [id, request] : m_requests) {
      if (request.second.engine >= m_live) lost.emplace_back(request.first, id);
    }
    for (const auto& [process, id] : lost) {
      m_requests.erase(id);
      Step(process, AttemptEnded{id, AttemptEnd::kCancelled});
    }
  }

  void ExchangeStatuses() {
    std::vector<PeerLoadChanged> all(m_dispatchers.size());
    for (int p = 0; p < m_case.processes; ++p) {
      const auto in_flight = m_dispatchers[p].InFlight();
      const auto waiting = m_dispatchers[p].WaitingByPriority();
      for (int other = 0; other < m_case.processes; ++other) {
        if (other == p) continue;
        for (const auto& [id, count] : in_flight) all[other].in_flight[id] += count;
        for (const auto& [priority, count] : waiting) all[other].waiting[priority] += count;
      }
    }
    for (int p = 0; p < m_case.processes; ++p) Step(p, all[p]);
  }

  void Arrive(core::Duration t, core::Duration step) {
    const std::vector<double> rates = m_case.rates(t);
    for (std::size_t priority = 0; priority < rates.size(); ++priority) {
      m_due[priority] +=
          rates[priority] * std::chrono::duration<double>(step).count() * 2 * m_random.Unit();
      for (; m_due[priority] >= 1; m_due[priority] -= 1) New(static_cast<std::uint8_t>(priority));
    }
  }

  void New(std::uint8_t priority) {
    Request request;
    RequestArrived& arrival = request.arrival;
    const double all = m_case.first_account_factor + m_case.accounts - 1;
    request.first_account = m_random.Unit() * all < m_case.first_account_factor;
    const auto account = request.first_account ? 0 : 1 + m_random.Below(m_case.accounts - 1);
    arrival.account = core::ClientAccountId(std::to_string(account));
    arrival.priority = priority;
    arrival.target_latency = std::chrono::milliseconds(priority < 2 ? 400 : 1'000);
    arrival.deadline = m_now + std::chrono::seconds(8);
    Count(request, &OverloadCounts::arrived);
    Submit(std::move(request));
  }

  void Count(const Request& request, double OverloadCounts::*count) {
    m_result.priorities[request.arrival.priority].*count += 1;
    OverloadCounts& account =
        request.first_account ? m_result.first_account : m_result.other_accounts;
    account.*count += 1;
  }

  void Submit(Request request) {
    request.arrival.request = core::RequestId(std::to_string(++m_next));
    const RequestArrived arrival = request.arrival;
    const int process = static_cast<int>(m_random.Below(m_dispatchers.size()));
    m_requests.emplace(arrival.request, std::pair(process, std::move(request)));
    Step(process, arrival);
  }

  void Step(int process, const DispatchEvent& event) {
    for (const DispatchAction& action : m_dispatchers[process].Step(m_now, event)) {
      std::visit(core::Overloaded{[&](const Assigned& a) { OnAssigned(process, a); },
                                  [&](const Rejected& r) { OnRejected(r); }, [](const auto&) {}},
                 action);
    }
  }

  void OnAssigned(int process, const Assigned& assigned) {
    Request& request = m_requests.at(assigned.request).second;
    const int engine = std::stoi(assigned.upstream.value());
    m_result.sent += 1;
    if (m_on_engine[engine] >= m_case.slots) {
      m_result.met_full += 1;
      Request again = request;
      m_requests.erase(assigned.request);
      At(std::chrono::milliseconds(5), [this, process, id = assigned.request, again] {
        Step(process, AttemptEnded{id, AttemptEnd::kRefused});
        Submit(again);
      });
      return;
    }
    ++m_on_engine[engine];
    request.engine = engine;
    At(m_case.first_output, [this, process, id = assigned.request] {
      if (m_requests.contains(id)) Step(process, FirstOutputReceived{id});
    });
    const auto spread = 0.5 + m_random.Unit();
    const core::Duration time(static_cast<core::Duration::rep>(
        static_cast<double>(m_case.service_time.count()) * spread));
    At(time, [this, process, engine, id = assigned.request] {
      --m_on_engine[engine];
      const auto found = m_requests.find(id);
      if (found == m_requests.end()) return;
      Count(found->second.second, &OverloadCounts::served);
      m_requests.erase(found);
      Step(process, AttemptEnded{id, AttemptEnd::kCompleted});
    });
  }

  void OnRejected(const Rejected& rejected) {
    ++m_result.reasons[rejected.reason];
    Request request = std::move(m_requests.at(rejected.request).second);
    m_requests.erase(rejected.request);
    if (request.retries++ >= m_case.immediate_retries) return;
    At(std::chrono::milliseconds(5), [this, request] { Submit(request); });
  }

  void At(core::Duration delay, std::function<void()> run) {
    m_timers.emplace(m_now + delay, std::move(run));
  }
  void RunDue() {
    while (!m_timers.empty() && m_timers.begin()->first <= m_now) {
      const auto run = std::move(m_timers.begin()->second);
      m_timers.erase(m_timers.begin());
      run();
    }
  }

  OverloadCase m_case;
  core::Random m_random;
  std::vector<Dispatcher> m_dispatchers;
  std::vector<std::uint32_t> m_on_engine;
  std::map<core::RequestId, std::pair<int, Request>> m_requests;
  std::multimap<core::Instant, std::function<void()>> m_timers;
  std::map<std::size_t, double> m_due;
  OverloadResult m_result;
  core::Instant m_now{};
  int m_live = 0;
  std::uint64_t m_next = 0;
};

}  // namespace cornelrelay::dispatch
