#include <CLI/CLI.hpp>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "cornelrelay/policybench/matters.h"
#include "cornelrelay/policybench/policy.h"

namespace {

using cornelrelay::policybench::Table;

void Emit(const Table& table, const std::filesystem::path& out, std::size_t value,
          const std::vector<std::size_t>& labels) {
  table.Print(std::cout);
  table.WriteCsv(out);
  table.WriteSvg(out, value, labels);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Compares the routing and limit policies with baselines in a discrete-event simulation");
  std::uint64_t seed = 1;
  std::string matter = "all";
  std::string out = "bench-out";
  app.add_option("--seed", seed, "seed of workload and policies");
  app.add_option("--matter", matter, "routing, fairness, retry, placement, expert-maps or all")
      ->check(CLI::IsMember({"routing", "fairness", "retry", "placement", "expert-maps", "all"}));
  app.add_option("--out", out, "directory for CSV and SVG files");
  std::vector<std::string> settings;
  bool ours_only = false;
  std::size_t entries = 8;
  app.add_option("--entry-processes", entries, "entry processes of the routing runs");
  app.add_option("--router", settings, "trial setting of the router, name=value; repeatable");
  app.add_flag("--ours-only", ours_only, "leave out the routing baselines");
  CLI11_PARSE(app, argc, argv);

  std::map<std::string, double> router;
  cornelrelay::routing::RouterConfig known;
  for (const std::string& setting : settings) {
    const auto equals = setting.find('=');
    const std::string name = setting.substr(0, equals);
    const double value =
        equals == std::string::npos ? 0 : std::strtod(setting.c_str() + equals + 1, nullptr);
    if (!cornelrelay::policybench::SetRouterOption(known, name, value)) {
      std::cerr << "unknown router setting \"" << name << "\"\n";
      return 2;
    }
    router[name] = value;
  }
  std::filesystem::create_directories(out);
  std::cout << "seed " << seed << "\n\n";
  const auto wanted = [&](const std::string& name) { return matter == "all" || matter == name; };
  if (wanted("routing")) {
    Emit(cornelrelay::policybench::RoutingTable(seed, entries, router, ours_only), out, 3, {0, 1});
  }
  if (wanted("fairness")) Emit(cornelrelay::policybench::FairnessTable(seed), out, 3, {0, 1});
  if (wanted("retry")) Emit(cornelrelay::policybench::RetryTable(seed), out, 2, {0, 1});
  if (wanted("placement")) Emit(cornelrelay::policybench::PlacementTable(seed), out, 2, {0, 1});
  if (wanted("expert-maps")) Emit(cornelrelay::policybench::ExpertMapTable(seed), out, 1, {0});
  return 0;
}
