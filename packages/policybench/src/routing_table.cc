#include <algorithm>

#include "cornelrelay/policybench/matters.h"
#include "cornelrelay/policybench/policy.h"
#include "cornelrelay/policybench/routing_run.h"

namespace cornelrelay::policybench {

Table RoutingTable(std::uint64_t seed, std::size_t entry_processes,
                   const std::map<std::string, double>& router, bool ours_only) {
  Table table("routing", {"shape", "policy", "p50 ms", "p95 ms", "p99 ms", "gap p95 ms", "slow %",
                          "cache hit %", "detect mean", "detect max", "recover s", "requests"});
  for (const Shape& shape : Shapes()) {
    std::vector<RoutingFigures> runs;
    for (const std::string& policy : PolicyNames()) {
      RoutingCase routing_case;
      routing_case.shape = shape;
      routing_case.policy = policy;
      if (ours_only && policy != "ours") continue;
      routing_case.router = router;
      routing_case.seed = seed;
      routing_case.entry_processes = entry_processes;
      runs.push_back(RunRouting(routing_case));
    }
    double ours = 0, best = 0;
    for (std::size_t i = 0; i < runs.size(); ++i) {
      const RoutingFigures& f = runs[i];
      if (i == 0) ours = f.p95;
      if (i > 0) best = best == 0 ? f.p95 : std::min(best, f.p95);
      table.Add({shape.name, PolicyNames()[i], Number(f.p50), Number(f.p95), Number(f.p99),
                 Number(f.gap_p95), Number(f.slow_share), Number(f.hit_share),
                 Number(f.detection_mean), Number(f.detection_max, 0),
                 Number(f.recovery_seconds, 0), std::to_string(f.requests)});
    }
    if (ours_only) continue;
    table.Note(shape.name + " (" + shape.description + "): p95 is " + Number(ours / best, 2) +
               " of the best baseline's.");
  }
  return table;
}

}  // namespace cornelrelay::policybench
