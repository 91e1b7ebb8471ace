#include "cornelrelay/policybench/routing_run.h"

#include <algorithm>
#include <cmath>
#include <memory>

#include "cornelrelay/core/random.h"
#include "cornelrelay/policybench/engine.h"
#include "cornelrelay/policybench/policy.h"
#include "cornelrelay/policybench/sample.h"

namespace cornelrelay::policybench {

namespace {

constexpr core::Duration kReportInterval = std::chrono::seconds(1);
constexpr core::Duration kReportAge = std::chrono::seconds(1);
constexpr core::Duration kSlowFrom = std::chrono::seconds(60);
constexpr core::Duration kSlowTo = std::chrono::seconds(240);
constexpr core::Duration kEnd = std::chrono::seconds(360);
constexpr std::size_t kDataCentres = 3;
constexpr std::size_t kDetectionWindow = 100;

core::DataCentreId DataCentre(std::size_t index) {
  return core::DataCentreId("dc-" + std::to_string(index % kDataCentres));
}

core::Duration Distance(std::size_t a, std::size_t b) {
  return a % kDataCentres == b % kDataCentres ? std::chrono::microseconds(100)
                                              : std::chrono::microseconds(1000);
}

struct Outcome {
  std::size_t entry = 0;
  std::size_t replica = 0;
  core::Instant arrival{};
  double first_token_ms = -1;
  double gap_ms = -1;
};

class Run {
 public:
  explicit Run(const RoutingCase& c) : m_case(c), m_slow(c.replicas / 4), m_random(c.seed + 1) {
    m_jobs = MakeJobs(c.shape, c.seed, kEnd, c.replicas, c.load);
    const double hold_us = c.shape.output * c.shape.token_us;
    const double per_replica = c.load * 1e6 / (MeanPrompt(c.shape, c.seed) * c.shape.prefill_us);
    const auto slots = static_cast<std::size_t>(std::ceil(per_replica * hold_us / 1e6 / c.load));
    std::vector<routing::ReplicaStatus> replicas;
    for (std::size_t i = 0; i < c.replicas; ++i) {
      routing::ReplicaStatus status;
      status.id = core::UpstreamId("replica-" + std::to_string(i));
      status.data_centre = DataCentre(i);
      status.slots = static_cast<std::uint32_t>(slots);
      replicas.push_back(status);
      m_engines.push_back(std::make_unique<Engine>(
          m_loop,
          Engine::Config{slots, c.shape.prefill_us, c.shape.token_us, c.shape.cache_tokens}));
    }
    for (std::size_t i = 0; i < c.entry_processes; ++i) {
      PolicyContext context{c.seed * 1000 + i, replicas, {}};
      context.router.seed = context.seed;
      for (const auto& [name, value] : c.router) SetRouterOption(context.router, name, value);
      context.router.data_centre = DataCentre(i);
      for (std::size_t d = 0; d < kDataCentres; ++d) {
        context.router.one_way_latencies[DataCentre(d)] = Distance(i, d);
      }
      m_policies.push_back(MakePolicy(c.policy, context));
    }
    m_outcomes.resize(m_jobs.size());
  }

  RoutingFigures Measure() {
    for (const Job& job : m_jobs) {
      m_loop.At(job.arrival, [this, &job](core::Instant now) { Arrive(now, job); });
    }
    m_loop.At(core::Instant{}, [this](core::Instant now) { Report(now); });
    m_loop.At(core::Instant{} + kSlowFrom,
              [this](core::Instant) { m_engines[m_slow]->SetSlowness(m_case.slowness); });
    m_loop.At(core::Instant{} + kSlowTo,
              [this](core::Instant) { m_engines[m_slow]->SetSlowness(1); });
    // The rest ends long after the last arrival; what has no first token by then counts with the
    // time so far.
    m_loop.RunUntil(core::Instant{} + kEnd + std::chrono::seconds(60));
    return Figures();
  }

 private:
  void Arrive(core::Instant now, const Job& job) {
    const std::size_t entry = m_random.Below(m_policies.size());
    Policy& policy = *m_policies[entry];
    const std::size_t replica = policy.Choose(now, job);
    m_outcomes[job.id] = {entry, replica, now, -1, -1};
    const core::Duration way = Distance(entry, replica);
    const auto later = [this, way](core::Instant at, EventLoop::Handler handler) {
      m_loop.At(at + way, std::move(handler));
    };
    EngineListener listener;
    listener.first_token = [this, later, &policy, &job, replica](core::Instant at) {
      later(at, [this, &policy, &job, replica](core::Instant seen) {
        m_outcomes[job.id].first_token_ms = Millis(seen - job.arrival);
        policy.OnFirstToken(seen, job, replica);
      });
    };
    listener.progress = [later, &policy, &job, replica](core::Instant at, double tokens) {
      later(at, [&policy, &job, replica, tokens](core::Instant seen) {
        policy.OnProgress(seen, job, replica, tokens);
      });
    };
    listener.finished = [this, later, &policy, &job, replica](core::Instant at) {
      later(at, [this, &policy, &job, replica](core::Instant seen) {
        Outcome& outcome = m_outcomes[job.id];
        outcome.gap_ms = (Millis(seen - job.arrival) - outcome.first_token_ms) / job.output;
        policy.OnFinished(seen, job, replica);
      });
    };
    m_loop.At(now + way, [this, replica, &job, listener](core::Instant at) {
      m_engines[replica]->Submit(at, job, listener);
    });
  }

  void Report(core::Instant now) {
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
      const routing::ReportedLoad load{routing::QuantisedLoad::From(m_engines[i]->outstanding()),
                                       routing::QuantisedLoad::From(static_cast<std::uint64_t>(
                                           std::max(0.0, m_engines[i]->pending_work()))),
                                       kReportAge};
      m_loop.At(now + kReportAge, [this, i, load](core::Instant at) {
        for (auto& policy : m_policies) policy->OnReport(at, i, load);
      });
    }
    if (now < core::Instant{} + kEnd) {
      m_loop.At(now + kReportInterval, [this](core::Instant at) { Report(at); });
    }
  }

  static double Millis(core::Duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
  }

  RoutingFigures Figures() const {
    RoutingFigures figures;
    std::vector<double> first, gaps;
    double slow = 0;
    for (const Outcome& outcome : m_outcomes) {
      const core::Duration at = outcome.arrival - core::Instant{};
      if (at < kSlowFrom || at >= kSlowTo) continue;
      const double unanswered = Millis(core::Instant{} + kEnd - outcome.arrival);
      first.push_back(outcome.first_token_ms < 0 ? unanswered : outcome.first_token_ms);
      if (outcome.gap_ms >= 0) gaps.push_back(outcome.gap_ms);
      slow += outcome.replica == m_slow ? 1 : 0;
    }
    figures.requests = first.size();
    figures.p50 = Quantile(first, 0.5);
    figures.p95 = Quantile(first, 0.95);
    figures.p99 = Quantile(first, 0.99);
    figures.gap_p95 = Quantile(gaps, 0.95);
    figures.slow_share = 100 * slow / static_cast<double>(first.size());
    double hits = 0, prompts = 0;
    for (const auto& engine : m_engines) {
      hits += engine->hit_tokens();
      prompts += engine->prompt_tokens();
    }
    figures.hit_share = 100 * hits / prompts;
    Detection(figures);
    figures.recovery_seconds = Recovery();
    return figures;
  }

  // Requests of one entry process to the slow replica until its share of the next hundred is at
  // most half.
  void Detection(RoutingFigures& figures) const {
    std::vector<double> counts;
    const std::size_t half = kDetectionWindow / m_case.replicas / 2;
    for (std::size_t entry = 0; entry < m_policies.size(); ++entry) {
      std::vector<bool> to_slow;
      for (const Outcome& outcome : m_outcomes) {
        const core::Duration at = outcome.arrival - core::Instant{};
        if (outcome.entry == entry && at >= kSlowFrom && at < kSlowTo) {
          to_slow.push_back(outcome.replica == m_slow);
        }
      }
      double before = 0;
      for (std::size_t i = 0; i + kDetectionWindow <= to_slow.size(); ++i) {
        const auto window = to_slow.begin() + static_cast<std::ptrdiff_t>(i);
        if (static_cast<std::size_t>(std::count(window, window + kDetectionWindow, true)) <= half) {
          break;
        }
        before += to_slow[i] ? 1 : 0;
      }
      counts.push_back(before);
    }
    figures.detection_mean = Mean(counts);
    figures.detection_max = *std::max_element(counts.begin(), counts.end());
  }

  double Recovery() const {
    constexpr core::Duration kSpan = std::chrono::seconds(10);
    for (core::Duration from = kSlowTo; from + kSpan <= kEnd; from += std::chrono::seconds(1)) {
      double all = 0, slow = 0;
      for (const Outcome& outcome : m_outcomes) {
        const core::Duration at = outcome.arrival - core::Instant{};
        if (at < from || at >= from + kSpan) continue;
        ++all;
        slow += outcome.replica == m_slow ? 1 : 0;
      }
      if (slow * static_cast<double>(m_case.replicas) >= all / 2) {
        return std::chrono::duration<double>(from - kSlowTo).count();
      }
    }
    return -1;
  }

  RoutingCase m_case;
  std::size_t m_slow;
  core::Random m_random;
  EventLoop m_loop;
  std::vector<Job> m_jobs;
  std::vector<std::unique_ptr<Engine>> m_engines;
  std::vector<std::unique_ptr<Policy>> m_policies;
  std::vector<Outcome> m_outcomes;
};

}  // namespace

RoutingFigures RunRouting(const RoutingCase& routing_case) { return Run(routing_case).Measure(); }

}  // namespace cornelrelay::policybench
