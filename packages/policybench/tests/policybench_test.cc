#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "cornelrelay/policybench/matters.h"
#include "cornelrelay/policybench/routing_run.h"
#include "cornelrelay/policybench/sample.h"
#include "cornelrelay/policybench/table.h"

namespace cornelrelay::policybench {
namespace {

// Guards against figures that change between runs of one seed.
TEST_CASE("a run depends on its seed alone") {
  RoutingCase c;
  c.shape = Shapes()[0];
  c.shape.output = 20;
  c.policy = "ours";
  c.replicas = 4;
  const RoutingFigures a = RunRouting(c);
  const RoutingFigures b = RunRouting(c);
  CHECK(a.requests > 1000);
  CHECK(a.p99 == b.p99);
  CHECK(a.slow_share == b.slow_share);
}

// Guards against a simulated load other than the stated one, which would flatter or punish all
// policies.
TEST_CASE("the workload offers the stated load") {
  for (const Shape& shape : Shapes()) {
    const auto jobs = MakeJobs(shape, 5, std::chrono::seconds(600), 16, 0.8);
    double work = 0;
    for (const Job& job : jobs) {
      if (job.arrival > core::Instant(std::chrono::seconds(120)))
        work += job.prompt * shape.prefill_us / 1e6;
    }
    INFO(shape.name);
    CHECK(work / 480 / 16 == Approx(0.8).margin(0.05));
  }
}

// Guards against rows before and after a change of the planner that differ by chance.
TEST_CASE("the table of expert maps depends on its seed alone") {
  const auto print = [](std::uint64_t seed) {
    std::ostringstream out;
    ExpertMapTable(seed, std::chrono::seconds(3)).Print(out);
    return out.str();
  };
  CHECK(print(1) == print(1));
  CHECK(print(1) != print(2));
}

// Guards against quantiles that are off by one rank.
TEST_CASE("quantiles use the nearest rank") {
  CHECK(Quantile({5, 1, 4, 2, 3}, 0.5) == 3);
  CHECK(Quantile({5, 1, 4, 2, 3}, 0.99) == 5);
  CHECK(Quantile({}, 0.5) == 0);
}

}  // namespace
}  // namespace cornelrelay::policybench
