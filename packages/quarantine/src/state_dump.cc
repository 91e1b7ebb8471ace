#include "cornelrelay/quarantine/state_dump.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace cornelrelay::quarantine {
namespace {

using nlohmann::json;

json Prints(const std::set<Fingerprint>& prints) {
  json list = json::array();
  for (const Fingerprint& print : prints) list.push_back(print.value());
  return list;
}

json Time(core::Instant at) { return at.time_since_epoch().count(); }

}  // namespace

json ToJson(const CrashLedger& ledger) {
  json crashes = json::array();
  for (const auto& [id, crash] : ledger.table().crashes()) {
    crashes.push_back({{"upstream", id.first.value()},
                       {"incarnation", id.second},
                       {"time_us", Time(crash.time)},
                       {"suspects", Prints(crash.suspects)},
                       {"cleared", Prints(crash.cleared)}});
  }
  json probes = json::array();
  for (const auto& [id, probe] : ledger.table().probes()) {
    probes.push_back({{"entry", probe.entry.value()},
                      {"fingerprint", probe.fingerprint.value()},
                      {"upstream", probe.upstream.value()},
                      {"state", static_cast<int>(probe.state)},
                      {"time_us", Time(probe.time)}});
  }
  json runs = json::array();
  for (const auto& [attempt, run] : ledger.runs()) {
    runs.push_back({{"attempt", attempt.value()},
                    {"fingerprint", run.fingerprint.value()},
                    {"upstream", run.upstream.value()}});
  }
  return {
      {"crashes", std::move(crashes)}, {"probes", std::move(probes)}, {"runs", std::move(runs)}};
}

}  // namespace cornelrelay::quarantine
