#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include "capacity/matters.h"

namespace {

using cornelrelay::bench::Table;

void Show(const std::vector<Table>& tables, const std::string& directory) {
  for (const Table& table : tables) {
    table.Print(std::cout);
    table.WriteCsv(directory);
  }
  std::cout.flush();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Measures state, messages, store calls, CPU and memory at rising sizes in one process");
  std::uint64_t seed = 1;
  std::string directory = "bench-out";
  const std::vector<std::string> all{"claims", "catalogue", "limits", "routing", "requests"};
  std::vector<std::string> matters = all;
  app.add_option("--seed", seed, "equal seeds give equal bytes, messages and calls");
  app.add_option("--out", directory, "directory of the CSV files");
  app.add_option("matters", matters, "parts to measure")->check(CLI::IsMember(all));
  CLI11_PARSE(app, argc, argv);
  namespace bench = cornelrelay::bench;
  const auto wanted = [&](const char* name) {
    return std::find(matters.begin(), matters.end(), name) != matters.end();
  };
  if (wanted("claims")) {
    Show({bench::MeasureClaimRates(seed)}, directory);
    Show({bench::MeasureHeldClaims(seed, 1), bench::MeasureHeldClaims(seed, 2)}, directory);
  }
  if (wanted("catalogue")) {
    Show({bench::MeasureCatalogueSize()}, directory);
    Show({bench::MeasureDistribution(seed, false)}, directory);
    Show({bench::MeasureDistribution(seed, true)}, directory);
  }
  if (wanted("limits")) Show(bench::MeasureLimits(seed), directory);
  if (wanted("routing")) Show({bench::MeasureRouting(seed)}, directory);
  if (wanted("requests")) Show(bench::MeasureRequests(), directory);
  return 0;
}
