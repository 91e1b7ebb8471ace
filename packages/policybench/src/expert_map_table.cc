#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/placement/expert_layout.h"
#include "cornelrelay/policybench/matters.h"
#include "cornelrelay/ranks/expert_map_planner.h"

namespace cornelrelay::policybench {

namespace {

using std::chrono::milliseconds;
using Loads = std::vector<double>;

/// Resolution of the simulated time.
constexpr int kStepMs = 10;
constexpr int kShiftIntervalMs = 2'500;
constexpr double kShiftShare = 0.65;
/// Windows of counts, uniform between these.
constexpr int kLeastWindowMs = 80;
constexpr int kWindowSpreadMs = 40;
/// Time to arm all ranks and to release the pass, after the busiest rank has loaded its copies.
constexpr int kArmingMs = 120;
constexpr std::size_t kTopics = 9;
constexpr std::size_t kRequestsPerRank = 10;
/// Mean time until a request ends and another one takes its slot.
constexpr double kRequestMs = 3'000;
/// Pass time, and experts that a token chooses in a set; give the counts of a window.
constexpr double kPassMs = 35;
constexpr double kChoicesPerToken = 4;
/// Counts that the leader asks for in one round at most, which bounds the ranks it samples.
constexpr std::size_t kMaxCountsPerRound = 40'000;
/// Counts of a window by which a planner knows the demand exactly.
constexpr double kExactCounts = 1e8;

struct GroupShape {
  std::string name;
  std::size_t ranks = 1;
  double exponent = 1;  ///< of the Zipf distribution of a topic over the experts of a set
  routes::EngineModel engine;
};

routes::EngineModel Engine(std::size_t sets, std::size_t experts, std::size_t places,
                           milliseconds load_time) {
  routes::EngineModel engine;
  engine.expert_layer_sets = sets;
  engine.experts = experts;
  engine.max_experts_per_rank = places;
  engine.max_new_experts_per_rank = 2;
  engine.expert_load_time = load_time;
  return engine;
}

std::vector<GroupShape> GroupShapes() {
  return {{"24 x 16 x 96", 24, 0.92, Engine(16, 96, 5, milliseconds(27))},
          {"32 x 12 x 128", 32, 0.79, Engine(12, 128, 5, milliseconds(13))},
          {"72 x 12 x 144", 72, 0.92, Engine(12, 144, 3, milliseconds(27))}};
}

/// \brief Demand at one step: the shares of the experts, set after set.
using Demand = std::shared_ptr<const std::vector<Loads>>;

/// \brief Demand of all steps of a run. Each running request has a topic.
std::vector<Demand> MakeDemand(const GroupShape& shape, int run_ms, std::uint64_t seed) {
  core::Random random(seed);
  const std::size_t sets = shape.engine.expert_layer_sets, experts = shape.engine.experts;
  std::vector<std::vector<Loads>> topics(kTopics, std::vector<Loads>(sets, Loads(experts)));
  for (auto& topic : topics) {
    for (Loads& loads : topic) {
      double sum = 0;
      for (std::size_t i = 0; i < experts; ++i) {
        sum += loads[i] = std::pow(static_cast<double>(i + 1), -shape.exponent);
      }
      for (double& load : loads) load /= sum;
      for (std::size_t i = experts; i > 1; --i) std::swap(loads[i - 1], loads[random.Below(i)]);
    }
  }
  std::array<double, kTopics> weights{};
  weights.fill(1.0 / kTopics);
  const auto draw = [&] {
    double at = random.Unit();
    std::size_t topic = 0;
    while (topic + 1 < kTopics && at >= weights[topic]) at -= weights[topic++];
    return topic;
  };
  std::vector<std::size_t> requests(shape.ranks * kRequestsPerRank);
  for (std::size_t& topic : requests) topic = draw();
  std::vector<Demand> demand;
  for (int now = 0; now < run_ms; now += kStepMs) {
    bool changed = demand.empty();
    const auto replace = [&](double probability, const auto& next_topic) {
      for (std::size_t& topic : requests) {
        if (random.Unit() >= probability) continue;
        changed = true;
        topic = next_topic();
      }
    };
    if (now % kShiftIntervalMs == 0) {
      const std::size_t newest = random.Below(kTopics);
      for (double& weight : weights) weight *= 1 - kShiftShare;
      weights[newest] += kShiftShare;
      replace(kShiftShare, [newest] { return newest; });
    }
    replace(kStepMs / kRequestMs, draw);
    if (!changed) {
      demand.push_back(demand.back());
      continue;
    }
    std::array<double, kTopics> shares{};
    for (const std::size_t topic : requests) {
      shares[topic] += 1 / static_cast<double>(requests.size());
    }
    auto loads = std::make_shared<std::vector<Loads>>(sets, Loads(experts, 0));
    for (std::size_t t = 0; t < kTopics; ++t) {
      for (std::size_t set = 0; set < sets; ++set) {
        for (std::size_t e = 0; e < experts; ++e) (*loads)[set][e] += shares[t] * topics[t][set][e];
      }
    }
    demand.push_back(std::move(loads));
  }
  return demand;
}

/// \brief What a run leaves out, to find the part of the skew that comes from it.
struct Ideal {
  bool immediate = false;         ///< a map is in force at once
  bool unlimited_copies = false;  ///< a switch may load any number of copies
  bool exact_estimate = false;    ///< the planner knows the demand at each step
};

struct RunFigures {
  double skew = 0;
  double bound = 0;  ///< mean lower bound of the skew of any layout
  double copies_per_second = 0;
  double switches_per_second = 0;
  double loading = 0;  ///< part of the time in which ranks load
  double changes_per_plan = 0;
  double changes_per_second = 0;
};

std::vector<placement::ExpertLayout> Layouts(const balance::LayerMap& map, std::size_t experts) {
  std::vector<placement::ExpertLayout> layouts;
  layouts.reserve(map.size());
  for (const auto& ranks : map) layouts.emplace_back(experts, ranks);
  return layouts;
}

double MeanSkew(const std::vector<placement::ExpertLayout>& layouts,
                const std::vector<Loads>& demand) {
  double sum = 0;
  for (std::size_t set = 0; set < layouts.size(); ++set) {
    sum += placement::SlowestRankLoad(layouts[set], demand[set], {});
  }
  return sum / static_cast<double>(layouts.size());
}

// An expert has at most one copy on each rank, and leaves a place for each of the others.
double MeanBound(const GroupShape& shape, const std::vector<Loads>& demand) {
  const std::size_t places = shape.ranks * shape.engine.max_experts_per_rank;
  const std::size_t copies = std::min(shape.ranks, places - (shape.engine.experts - 1));
  double sum = 0;
  for (const Loads& loads : demand) {
    const double largest = *std::max_element(loads.begin(), loads.end());
    sum += std::max(1.0, largest * static_cast<double>(shape.ranks) / static_cast<double>(copies));
  }
  return sum / static_cast<double>(demand.size());
}

class GroupRun {
 public:
  GroupRun(const GroupShape& shape, const std::vector<Demand>& demand, Ideal ideal,
           std::uint64_t seed)
      : m_shape(shape),
        m_demand(demand),
        m_ideal(ideal),
        m_random(seed),
        m_config(ranks::MakeExpertMapPlannerConfig(shape.engine)),
        m_map(shape.engine.expert_layer_sets,
              std::vector<std::vector<placement::Expert>>(shape.ranks)) {
    if (ideal.unlimited_copies) {
      m_config.limits.max_new_per_rank = m_config.limits.slots_per_rank;
      m_config.max_load_time =
          m_config.expert_load_time *
          static_cast<int>(shape.engine.max_experts_per_rank * shape.engine.expert_layer_sets);
    }
    m_planner.emplace(m_config);
    for (auto& set : m_map) {
      for (std::size_t e = 0; e < shape.engine.experts; ++e) {
        set[e % shape.ranks].push_back(static_cast<placement::Expert>(e));
      }
    }
    m_layouts = Layouts(m_map, shape.engine.experts);
  }

  RunFigures Run() {
    const std::size_t sets = m_shape.engine.expert_layer_sets;
    std::vector<Loads> expected(sets, Loads(m_shape.engine.experts, 0));
    const int run_ms = static_cast<int>(m_demand.size()) * kStepMs;
    int window_end = NextWindow(0);
    int loading_ms = 0;
    std::optional<std::pair<int, balance::LayerMap>> pending;  // with the time it is in force
    for (int now = 0; now < run_ms; now += kStepMs) {
      const Demand& demand = m_demand[static_cast<std::size_t>(now / kStepMs)];
      if (pending && now >= pending->first) {
        Adopt(std::move(pending->second));
        pending.reset();
      }
      if (pending && now < pending->first - kArmingMs) loading_ms += kStepMs;
      if (m_ideal.exact_estimate) {
        if (now == 0 || demand != m_demand[static_cast<std::size_t>(now / kStepMs - 1)]) {
          PlanExactly(*demand);
        }
      } else {
        AddExpected(*demand, expected);
        // The leader asks for no counts during a switch; the next ones are of all the time.
        if (now + kStepMs >= window_end && !pending) {
          m_planner->AddCounts(Sample(expected));
          m_planner->EndWindow(milliseconds(now + kStepMs - m_window_start));
          m_window_start = now + kStepMs;
          pending = Plan(now + kStepMs);
          window_end = NextWindow(now + kStepMs);
        }
      }
      m_figures.skew += MeanSkew(m_layouts, *demand);
      m_figures.bound += MeanBound(m_shape, *demand);
    }
    const auto steps = static_cast<double>(m_demand.size());
    const double seconds = run_ms / 1'000.0;
    m_figures.skew /= steps;
    m_figures.bound /= steps;
    m_figures.copies_per_second /= seconds;
    m_figures.switches_per_second /= seconds;
    m_figures.loading = loading_ms / static_cast<double>(run_ms);
    const auto changes = static_cast<double>(m_planner->changes_considered());
    m_figures.changes_per_second = changes / seconds;
    m_figures.changes_per_plan = changes / std::max(1.0, m_switches);
    return m_figures;
  }

 private:
  int NextWindow(int now) {
    return now + kLeastWindowMs + static_cast<int>(m_random.Below(kWindowSpreadMs + 1));
  }

  void Adopt(balance::LayerMap map) {
    m_map = std::move(map);
    m_layouts = Layouts(m_map, m_shape.engine.experts);
  }

  std::optional<std::pair<int, balance::LayerMap>> Plan(int now) {
    auto proposal = m_planner->ProposeMap(m_map);
    if (!proposal) return std::nullopt;
    ++m_switches;
    ++m_figures.switches_per_second;
    m_figures.copies_per_second += static_cast<double>(proposal->new_copies);
    if (m_ideal.immediate) {
      Adopt(std::move(proposal->map));
      return std::nullopt;
    }
    const auto load_ms = std::chrono::ceil<milliseconds>(m_config.expert_load_time).count() *
                         static_cast<int>(MostCopies(proposal->map));
    return std::pair(now + static_cast<int>(load_ms) + kArmingMs, std::move(proposal->map));
  }

  std::size_t MostCopies(const balance::LayerMap& map) const {
    std::vector<std::size_t> copies(m_shape.ranks, 0);
    for (std::size_t set = 0; set < map.size(); ++set) {
      const auto added = placement::NewCopiesByRank(
          m_layouts[set], placement::ExpertLayout(m_shape.engine.experts, map[set]));
      for (std::size_t rank = 0; rank < copies.size(); ++rank) copies[rank] += added[rank];
    }
    return *std::max_element(copies.begin(), copies.end());
  }

  // A new planner has no earlier windows that could blur the demand.
  void PlanExactly(const std::vector<Loads>& demand) {
    ranks::ExpertMapPlanner planner(m_config);
    std::vector<std::uint32_t> counts;
    for (const Loads& loads : demand) {
      for (const double load : loads) {
        counts.push_back(static_cast<std::uint32_t>(load * kExactCounts));
      }
    }
    planner.AddCounts(counts);
    planner.EndWindow();
    auto proposal = planner.ProposeMap(m_map);
    if (proposal) Adopt(std::move(proposal->map));
  }

  void AddExpected(const std::vector<Loads>& demand, std::vector<Loads>& expected) const {
    const std::size_t counts = demand.size() * m_shape.engine.experts;
    const std::size_t sampled = std::min(m_shape.ranks, kMaxCountsPerRound / counts);
    const double choices =
        static_cast<double>(sampled * kRequestsPerRank) * kChoicesPerToken * kStepMs / kPassMs;
    for (std::size_t set = 0; set < demand.size(); ++set) {
      for (std::size_t e = 0; e < demand[set].size(); ++e) {
        expected[set][e] += demand[set][e] * choices;
      }
    }
  }

  std::vector<std::uint32_t> Sample(std::vector<Loads>& expected) {
    std::vector<std::uint32_t> counts;
    for (Loads& loads : expected) {
      for (double& load : loads) {
        std::poisson_distribution<std::uint32_t> distribution(std::max(load, 1e-9));
        counts.push_back(distribution(m_random));
        load = 0;
      }
    }
    return counts;
  }

  const GroupShape& m_shape;
  const std::vector<Demand>& m_demand;
  Ideal m_ideal;
  core::Random m_random;
  ranks::ExpertMapPlannerConfig m_config;
  std::optional<ranks::ExpertMapPlanner> m_planner;
  balance::LayerMap m_map;  ///< in force
  std::vector<placement::ExpertLayout> m_layouts;
  double m_switches = 0;
  int m_window_start = 0;
  RunFigures m_figures;
};

}  // namespace

Table ExpertMapTable(std::uint64_t seed, std::chrono::seconds run_time) {
  const auto run_ms = static_cast<int>(std::chrono::milliseconds(run_time).count());
  Table table("expert-maps", {"ranks x sets x experts", "skew", "bound", "plan", "estimate",
                              "copies allowed", "time to force", "copies/s", "switches/s",
                              "loading %", "changes/switch", "changes/s"});
  for (const GroupShape& shape : GroupShapes()) {
    const std::vector<Demand> demand = MakeDemand(shape, run_ms, seed);
    const auto run = [&](Ideal ideal) { return GroupRun(shape, demand, ideal, seed + 1).Run(); };
    const RunFigures real = run({});
    const double immediate = run({.immediate = true}).skew;
    const double unlimited = run({.immediate = true, .unlimited_copies = true}).skew;
    const double exact =
        run({.immediate = true, .unlimited_copies = true, .exact_estimate = true}).skew;
    table.Add({shape.name, Number(real.skew, 3), Number(real.bound, 3),
               Number(exact - real.bound, 3), Number(unlimited - exact, 3),
               Number(immediate - unlimited, 3), Number(real.skew - immediate, 3),
               Number(real.copies_per_second), Number(real.switches_per_second, 2),
               Number(100 * real.loading), Number(real.changes_per_plan, 0),
               Number(real.changes_per_second, 0)});
  }
  table.Note(
      "Skew is the load of the busiest rank over the mean, as a mean over sets and time. It is the "
      "sum of the bound and the next four columns, found by runs that leave out one cause after "
      "the other: the time until a map is in force, then the limit of copies, then the age and "
      "noise of the counts.");
  return table;
}

}  // namespace cornelrelay::policybench
