#pragma once

#include <string>

#include "gossip_cost/cost_network.h"

namespace cornelrelay::bench {

enum class Situation { kSteady, kRestarts, kCentreLost, kPartitionHealed };

std::string NameOf(Situation situation);

/// \brief Measures one situation over a minute (or `seconds` at steady state) and prints the
/// figures.
void Measure(CostNetwork::Options options, Situation situation, int seconds);

}  // namespace cornelrelay::bench
