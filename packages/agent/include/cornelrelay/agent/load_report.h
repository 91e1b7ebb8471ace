#pragma once

#include <string>

#include "cornelrelay/gossip/load.h"

namespace cornelrelay::agent {

/// \brief Load of an upstream as its `/load` path reports it.
struct LoadReport {
  double running = 0;
  double waiting = 0;
  double cache_use = 0;  ///< share of the KV cache in use
  double step_ms = 0;

  bool Idle() const { return running == 0 && waiting == 0; }

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// \brief Parses {"running", "waiting", "cache_use", "step_ms"}; absent numbers are 0.
/// \throws MalformedLoadReport
LoadReport ParseLoadReport(const std::string& body);

gossip::Load Quantise(const LoadReport& report);

}  // namespace cornelrelay::agent
