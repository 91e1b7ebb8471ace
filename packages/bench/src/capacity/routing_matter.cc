#include <string>
#include <utility>
#include <vector>

#include "capacity/matters.h"
#include "capacity/meter.h"
#include "cornelrelay/core/random.h"
#include "cornelrelay/routing/replica_router.h"

namespace cornelrelay::bench {
namespace {

std::vector<routing::ReplicaStatus> Fleet(std::size_t size) {
  std::vector<routing::ReplicaStatus> fleet;
  for (std::size_t i = 0; i < size; ++i) {
    routing::ReplicaStatus status;
    status.id = core::UpstreamId("replica-" + std::to_string(i));
    status.data_centre = core::DataCentreId("dc-" + std::to_string(i % 7));
    status.slots = 8;
    fleet.push_back(std::move(status));
  }
  return fleet;
}

}  // namespace

Table MeasureRouting(std::uint64_t seed) {
  Table table("routing", "One router in use, prefix affinity on; CPU is noisy",
              {"replicas", "heap_bytes", "cpu_us_per_request", "cpu_us_per_load_report",
               "cpu_us_per_set_update", "candidates_per_decision"});
  for (const std::size_t replicas : {16U, 100U, 400U, 940U}) {
    routing::RouterConfig config;
    config.seed = seed;
    config.data_centre = core::DataCentreId("dc-0");
    for (int i = 0; i < 7; ++i) {
      config.one_way_latencies[core::DataCentreId("dc-" + std::to_string(i))] =
          std::chrono::milliseconds(i == 0 ? 0 : 10);
    }
    core::Random random(seed);
    core::Instant now(std::chrono::hours(1));
    const double empty = HeapBytes();
    routing::ReplicaRouter router(config);
    const auto fleet = Fleet(replicas);
    router.Step(now, routing::ReplicaSetUpdated{fleet});
    double candidates = 0;
    const auto request = [&](int number) {
      routing::RouteQuery query;
      query.request = core::RequestId("request-" + std::to_string(number));
      query.size = {900, 250, 700};
      query.prefix_key = routing::PrefixKey("prefix-" + std::to_string(random.Below(4000)));
      const routing::RoutingDecision decision = router.Choose(now, query);
      candidates += static_cast<double>(decision.candidates.size());
      const core::AttemptId attempt("attempt-" + std::to_string(number));
      router.Step(now, routing::AttemptStarted{attempt, decision.chosen.value(), query.size,
                                               query.prefix_key});
      now += std::chrono::milliseconds(38);  // 26 requests a second
      router.Step(now, routing::FirstTokenReceived{attempt});
      router.Step(now, routing::AttemptFinished{attempt, 250});
    };
    for (int i = 0; i < 1000; ++i) request(i);
    constexpr int kRequests = 2000;
    candidates = 0;
    double before = CpuMicroseconds();
    for (int i = 0; i < kRequests; ++i) request(1000 + i);
    const double per_request = (CpuMicroseconds() - before) / kRequests;
    before = CpuMicroseconds();
    constexpr int kReports = 10000;
    for (int i = 0; i < kReports; ++i) {
      router.Step(now, routing::LoadReported{fleet[random.Below(replicas)].id,
                                             {routing::QuantisedLoad::From(random.Below(9)),
                                              routing::QuantisedLoad::From(random.Below(9000)),
                                              std::chrono::milliseconds(900)}});
    }
    const double per_report = (CpuMicroseconds() - before) / kReports;
    before = CpuMicroseconds();
    constexpr int kUpdates = 100;
    for (int i = 0; i < kUpdates; ++i) router.Step(now, routing::ReplicaSetUpdated{fleet});
    const double per_update = (CpuMicroseconds() - before) / kUpdates;
    table.Add({static_cast<double>(replicas), HeapBytes() - empty, per_request, per_report,
               per_update, candidates / kRequests});
  }
  for (const char* column : {"heap_bytes", "cpu_us_per_request", "cpu_us_per_load_report",
                             "cpu_us_per_set_update", "candidates_per_decision"}) {
    table.Fit("replicas", column, 940);
  }
  return table;
}

}  // namespace cornelrelay::bench
