#include <CLI/CLI.hpp>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "gossip_cost/scenario.h"

namespace {

using cornelrelay::bench::CostNetwork;
using cornelrelay::bench::Situation;
using cornelrelay::gossip::StatusEncoding;
using cornelrelay::gossip::Topology;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures the cost of gossip and of its encoding in one process");
  CostNetwork::Options options;
  int seconds = 30;
  std::vector<std::string> sizes{"10/16", "50/100", "150/400", "350/940"};
  std::vector<Situation> situations{Situation::kSteady, Situation::kRestarts,
                                    Situation::kCentreLost, Situation::kPartitionHealed};
  app.add_option("--seed", options.seed, "the same seed gives the same bytes and messages");
  app.add_option("--seconds", seconds, "logical seconds measured at steady state");
  app.add_option("--sizes", sizes, "entry processes/agents, e.g. 350/940");
  app.add_option("--loss", options.loss, "share of datagrams lost");
  app.add_option("--data-centres", options.data_centres);
  app.add_option("--topology", options.topology)
      ->transform(CLI::CheckedTransformer(std::map<std::string, Topology>{
          {"flat", Topology::kFlat}, {"leaf", Topology::kLeafAgents}}));
  app.add_option("--encoding", options.encoding)
      ->transform(CLI::CheckedTransformer(
          std::map<std::string, StatusEncoding>{{"records", StatusEncoding::kFullRecords},
                                                {"deltas", StatusEncoding::kTypedDeltas},
                                                {"packed", StatusEncoding::kPackedArray}}));
  app.add_option("--situations", situations)
      ->transform(CLI::CheckedTransformer(
          std::map<std::string, Situation>{{"steady", Situation::kSteady},
                                           {"restarts", Situation::kRestarts},
                                           {"centre-lost", Situation::kCentreLost},
                                           {"healed", Situation::kPartitionHealed}}));
  CLI11_PARSE(app, argc, argv);
  for (const std::string& size : sizes) {
    std::istringstream text(size);
    char slash = 0;
    text >> options.entries >> slash >> options.agents;
    if (!text || slash != '/' || options.entries < 1 || options.agents < 1) {
      std::cerr << "not a size: " << size << '\n';
      return 2;
    }
    for (const Situation situation : situations) {
      cornelrelay::bench::Measure(options, situation, seconds);
    }
  }
  return 0;
}
