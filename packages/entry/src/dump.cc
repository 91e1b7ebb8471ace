#include "dump.h"

#include <nlohmann/json.hpp>
#include <string>

#include "cornelrelay/claims/state_dump.h"
#include "cornelrelay/gossip/state_dump.h"
#include "cornelrelay/limits/limits_state_json.h"
#include "cornelrelay/profile/dump.h"
#include "cornelrelay/request/to_json.h"
#include "cornelrelay/routing/router_state_json.h"
#include "cornelrelay/store/store_client_dump.h"

namespace cornelrelay::entry::internal {
namespace {

using nlohmann::json;

json Requests(const CallerGateway& gateway) {
  json list = json::array();
  for (const auto* task : gateway.tasks()) list.push_back(request::ToJson(task->snapshot()));
  return list;
}

json Services(const ServiceMap& services) {
  json object = json::object();
  for (const auto& [id, service] : services) {
    object[id.value()] = {{"router", routing::ToJson(service->router())},
                          {"retries", service->retry_budget().retries()},
                          {"retries_refused", service->retry_budget().refused()}};
  }
  return object;
}

json Claims(const ClaimHub& hub) {
  json owners = json::object();
  for (const auto& [partition, owner] : hub.owners()) {
    owners[std::to_string(partition)] = claims::ToJson(owner);
  }
  return {{"client", claims::ToJson(hub.client())}, {"owners", owners}};
}

json Control(const runtime::ControlPlane& control, core::Instant now) {
  return {{"gossip", gossip::ToJson(control.node(), now)},
          {"datagrams_received", control.counters().received},
          {"datagrams_sent", control.counters().sent},
          {"datagrams_rejected", control.counters().rejected},
          {"bytes_sent", control.channel().bytes_sent()},
          {"bytes_received", control.channel().bytes_received()}};
}

}  // namespace

json DumpOf(const DumpSources& sources) {
  return {{"draining", sources.gateway.draining()},
          {"requests", Requests(sources.gateway)},
          {"services", Services(sources.services)},
          {"admission", limits::ToJson(sources.admission.controller())},
          {"claims", Claims(sources.claims)},
          {"quarantine", sources.crashes.Dump()},
          {"catalogue", profile::ToJson(sources.catalogues.replica())},
          {"store", store::ToJson(sources.store.client())},
          {"control", Control(sources.control, sources.now)}};
}

}  // namespace cornelrelay::entry::internal
