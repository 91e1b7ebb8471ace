#include "cornelrelay/gossip/state_dump.h"

#include <nlohmann/json.hpp>
#include <string>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/gossip/gossip_node.h"
#include "cornelrelay/gossip/quantise.h"
#include "cornelrelay/gossip/upstream_view.h"

namespace cornelrelay::gossip {
namespace {

using nlohmann::json;

std::string_view Name(Life life) {
  constexpr std::string_view kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(life)];
}

json PayloadJson(const Payload& payload) {
  return std::visit(core::Overloaded{[](const MemberState& m) {
                                       return json{
                                           {"life", Name(m.life)},
                                           {"role", m.role == Role::kEntry ? "entry" : "agent"},
                                           {"data_centre", m.data_centre.value()},
                                           {"control", core::ToString(m.control)},
                                           {"revision", m.revision}};
                                     },
                                     [](const UpstreamStatus& s) {
                                       return json{{"service", s.service.value()},
                                                   {"data_centre", s.data_centre.value()},
                                                   {"endpoint", core::ToString(s.endpoint)},
                                                   {"running", CountOf(s.load.running)},
                                                   {"waiting", CountOf(s.load.waiting)},
                                                   {"cache_use", RatioOf(s.load.cache_use)},
                                                   {"step_ms", MillisecondsOf(s.load.step_time)},
                                                   {"draining", s.draining}};
                                     },
                                     [](const LeavingNotice&) { return json::object(); },
                                     [](const LimitStanding& l) {
                                       return json{{"view", l.view}, {"standing", l.standing}};
                                     },
                                     [](const CrashNote& c) {
                                       return json{{"bytes", c.bytes.size()}};
                                     }},
                    payload);
}

}  // namespace

json ToJson(const RecordTable& table, core::Instant now) {
  constexpr std::string_view kKinds[] = {"host_leaving", "upstream_leaving", "crashes",
                                         "members",      "upstreams",        "limit_standings"};
  json dump = json::object();
  for (const auto& [key, stored] : table.records()) {
    const Record& record = stored.record;
    json entry = PayloadJson(record.payload);
    entry["origin"] = record.origin.value();
    entry["incarnation"] = record.version.incarnation;
    entry["sequence"] = record.version.sequence;
    entry["age_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - stored.issued).count();
    dump[std::string(kKinds[static_cast<std::size_t>(key.kind)])][key.subject] = std::move(entry);
  }
  return dump;
}

json ToJson(const GossipNode& node, core::Instant now) {
  return {{"self", node.settings().self.value()},
          {"incarnation", node.settings().incarnation},
          {"highest_revision", node.highest_revision()},
          {"pending_news", node.disseminator().pending_news()},
          {"budget_bytes", node.disseminator().budget().available()},
          {"suspicions", node.detector().suspicions()},
          {"usable_upstreams", UpstreamView(node.table()).Usable(now).size()},
          {"records", ToJson(node.table(), now)}};
}

}  // namespace cornelrelay::gossip
