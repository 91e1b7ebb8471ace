#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>

#include "cornelrelay/core/random.h"
#include "cornelrelay/entry/admin_api.h"
#include "cornelrelay/entry/admission_hub.h"
#include "cornelrelay/entry/caller_gateway.h"
#include "cornelrelay/entry/catalogue_service.h"
#include "cornelrelay/entry/claim_hub.h"
#include "cornelrelay/entry/crash_hub.h"
#include "cornelrelay/entry/table_service.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/net/http_server.h"
#include "cornelrelay/runtime/control_plane.h"
#include "cornelrelay/runtime/host_list_poller.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/store_link.h"
#include "cornelrelay/settings/entry_settings.h"
#include "cornelrelay/store/store_http_codec.h"
#include "cornelrelay/telemetry/decision_log.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::entry {

/// \brief All parts of an entry process on one io_context.
///
/// \code
/// EntryProcess process(context, settings, log, seed);
/// process.Start();
/// context.run();
/// \endcode
class EntryProcess {
 public:
  EntryProcess(boost::asio::io_context& context, settings::EntrySettings settings,
               telemetry::JsonLog& log, std::uint64_t seed);

  void Start();

  /// \brief Begins a graceful shutdown; a second call ends the process at once.
  void Shutdown();

  nlohmann::json Dump() const;

 private:
  boost::asio::awaitable<void> DrainAndStop();
  boost::asio::awaitable<void> ServeControl(net::HttpRequest request,
                                            net::ResponseStream& response);
  ServiceMap MakeServices(std::uint64_t seed) const;
  void OnRecord(const gossip::Record& record);
  void OnMember(const gossip::Record& record, const gossip::MemberState& member);
  void OnCatalogue(const profile::Catalogue& catalogue);
  void UpdateMembers();
  void UpdateReplicas();
  void RefreshReplicas();

  boost::asio::io_context& m_context;
  settings::EntrySettings m_settings;
  telemetry::JsonLog& m_log;
  runtime::ProcessClock m_clock;
  std::uint64_t m_incarnation;
  net::HttpClient m_upstream_client;
  net::HttpClient m_platform_client;
  telemetry::MetricRegistry m_metrics;
  telemetry::DecisionLog m_decisions;
  store::StoreHttpCodec m_store_codec;
  std::shared_ptr<runtime::StoreLink> m_store;
  runtime::ControlPlane m_control;
  CatalogueService m_catalogues;
  TableService m_tables;
  AdmissionHub m_admission;
  ClaimHub m_claims;
  CrashHub m_crashes;
  ServiceMap m_services;
  CallerGateway m_gateway;
  AdminApi m_admin_api;
  runtime::HostListPoller m_host_list;
  runtime::WakeTimer m_refresh;
  net::HttpServer m_callers;
  net::HttpServer m_admin;
  net::HttpServer m_control_tcp;
  std::set<core::HostId> m_watchers;
  bool m_shutting_down = false;
};

}  // namespace cornelrelay::entry
