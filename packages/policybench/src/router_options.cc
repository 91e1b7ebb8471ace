#include <functional>
#include <map>

#include "cornelrelay/policybench/policy.h"

namespace cornelrelay::policybench {

namespace {

core::Duration Millis(double value) {
  return core::Duration(static_cast<core::Duration::rep>(value * 1000));
}

}  // namespace

bool SetRouterOption(routing::RouterConfig& config, const std::string& name, double value) {
  const std::map<std::string, std::function<void()>> options{
      {"sampled", [&] { config.sample_size = static_cast<std::size_t>(value); }},
      {"gain", [&] { config.gain = value; }},
      {"slow_factor", [&] { config.slow_factor = value; }},
      {"report_half_life_ms", [&] { config.report_half_life = Millis(value); }},
      {"probe_interval_ms", [&] { config.probe_interval = Millis(value); }},
      {"affinity_bound", [&] { config.affinity_bound = value; }},
      {"home_hit_prior", [&] { config.home_hit_prior = value; }},
  };
  const auto found = options.find(name);
  if (found == options.end()) return false;
  found->second();
  return true;
}

}  // namespace cornelrelay::policybench
