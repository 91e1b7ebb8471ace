#include "cornelrelay/agent/load_report.h"

#include <nlohmann/json.hpp>

#include "cornelrelay/agent/malformed_load_report.h"
#include "cornelrelay/gossip/quantise.h"

namespace cornelrelay::agent {

LoadReport ParseLoadReport(const std::string& body) {
  try {
    const auto json = nlohmann::json::parse(body);
    LoadReport report;
    report.running = json.value("running", 0.0);
    report.waiting = json.value("waiting", 0.0);
    report.cache_use = json.value("cache_use", 0.0);
    report.step_ms = json.value("step_ms", 0.0);
    return report;
  } catch (const nlohmann::json::exception& error) {
    throw MalformedLoadReport(error.what());
  }
}

gossip::Load Quantise(const LoadReport& report) {
  gossip::Load load;
  load.running = gossip::QuantiseCount(report.running);
  load.waiting = gossip::QuantiseCount(report.waiting);
  load.cache_use = gossip::QuantiseRatio(report.cache_use);
  load.step_time = gossip::QuantiseMilliseconds(report.step_ms);
  return load;
}

}  // namespace cornelrelay::agent
