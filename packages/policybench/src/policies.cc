#include <algorithm>
#include <map>

#include "cornelrelay/core/hash.h"
#include "cornelrelay/core/random.h"
#include "cornelrelay/policybench/policy.h"
#include "cornelrelay/routing/replica_router.h"

namespace cornelrelay::policybench {

namespace {

// The router is told a mean, as an entry process does not know an answer's length.
constexpr double kExpectedOutput = 150;

class RoundRobin : public Policy {
 public:
  explicit RoundRobin(const PolicyContext& context)
      : m_size(context.replicas.size()), m_next(core::Random(context.seed).Below(m_size)) {}
  std::size_t Choose(core::Instant, const Job&) override { return m_next++ % m_size; }

 private:
  std::size_t m_size;
  std::size_t m_next;
};

class RandomChoice : public Policy {
 public:
  explicit RandomChoice(const PolicyContext& context)
      : m_size(context.replicas.size()), m_random(context.seed) {}
  std::size_t Choose(core::Instant, const Job&) override { return m_random.Below(m_size); }

 private:
  std::size_t m_size;
  core::Random m_random;
};

// Own view only; ties are broken at random, which is the stronger form of this baseline.
class LeastOutstanding : public Policy {
 public:
  explicit LeastOutstanding(const PolicyContext& context)
      : m_outstanding(context.replicas.size(), 0), m_random(context.seed) {}
  std::size_t Choose(core::Instant, const Job&) override {
    const int least = *std::min_element(m_outstanding.begin(), m_outstanding.end());
    std::vector<std::size_t> ties;
    for (std::size_t i = 0; i < m_outstanding.size(); ++i) {
      if (m_outstanding[i] == least) ties.push_back(i);
    }
    const std::size_t chosen = ties[m_random.Below(ties.size())];
    ++m_outstanding[chosen];
    return chosen;
  }
  void OnFinished(core::Instant, const Job&, std::size_t replica) override {
    --m_outstanding[replica];
  }

 private:
  std::vector<int> m_outstanding;
  core::Random m_random;
};

class PrefixOnly : public Policy {
 public:
  explicit PrefixOnly(const PolicyContext& context) : m_replicas(context.replicas) {}
  std::size_t Choose(core::Instant, const Job& job) override {
    const std::string key = std::to_string(job.conversation);
    const auto best =
        std::max_element(m_replicas.begin(), m_replicas.end(), [&](const auto& a, const auto& b) {
          return core::RendezvousScore(key, a.id.value()) <
                 core::RendezvousScore(key, b.id.value());
        });
    return static_cast<std::size_t>(best - m_replicas.begin());
  }

 private:
  std::vector<routing::ReplicaStatus> m_replicas;
};

class Ours : public Policy {
 public:
  explicit Ours(const PolicyContext& context)
      : m_router(context.router), m_replicas(context.replicas) {
    m_router.Step(core::Instant{}, routing::ReplicaSetUpdated{context.replicas});
    for (std::size_t i = 0; i < m_replicas.size(); ++i) m_index[m_replicas[i].id] = i;
  }
  std::size_t Choose(core::Instant now, const Job& job) override {
    routing::RouteQuery query;
    query.size = {job.prompt, kExpectedOutput, job.prefix};
    query.prefix_key = routing::PrefixKey(std::to_string(job.conversation));
    const auto decision = m_router.Choose(now, query);
    m_router.Step(
        now, routing::AttemptStarted{Attempt(job), *decision.chosen, query.size, query.prefix_key});
    return m_index.at(*decision.chosen);
  }
  void OnFirstToken(core::Instant now, const Job& job, std::size_t) override {
    m_router.Step(now, routing::FirstTokenReceived{Attempt(job)});
  }
  void OnProgress(core::Instant now, const Job& job, std::size_t, double tokens) override {
    m_router.Step(now, routing::StreamProgressed{Attempt(job), tokens});
  }
  void OnFinished(core::Instant now, const Job& job, std::size_t) override {
    m_router.Step(now, routing::AttemptFinished{Attempt(job), job.output});
  }
  void OnReport(core::Instant now, std::size_t replica,
                const routing::ReportedLoad& load) override {
    m_router.Step(now, routing::LoadReported{m_replicas[replica].id, load});
  }

 private:
  static core::AttemptId Attempt(const Job& job) { return core::AttemptId(std::to_string(job.id)); }

  routing::ReplicaRouter m_router;
  std::vector<routing::ReplicaStatus> m_replicas;
  std::map<core::UpstreamId, std::size_t> m_index;
};

}  // namespace

std::vector<std::string> PolicyNames() {
  return {"ours", "round robin", "random", "least outstanding", "prefix only"};
}

std::unique_ptr<Policy> MakePolicy(const std::string& name, const PolicyContext& context) {
  if (name == "round robin") return std::make_unique<RoundRobin>(context);
  if (name == "random") return std::make_unique<RandomChoice>(context);
  if (name == "least outstanding") return std::make_unique<LeastOutstanding>(context);
  if (name == "prefix only") return std::make_unique<PrefixOnly>(context);
  return std::make_unique<Ours>(context);
}

}  // namespace cornelrelay::policybench
