#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "cornelrelay/core/random.h"
#include "cornelrelay/entry/catalogue_service.h"
#include "cornelrelay/net/http_message.h"
#include "cornelrelay/net/response_stream.h"
#include "cornelrelay/profile/change.h"
#include "cornelrelay/profile/edit_outcome.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/store_link.h"
#include "cornelrelay/settings/credential_digest.h"
#include "cornelrelay/telemetry/decision_log.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::entry {

/// \brief What the admin API needs of its process.
struct AdminServices {
  boost::asio::io_context& context;
  const runtime::ProcessClock& clock;
  runtime::StoreLink& store;
  CatalogueService& catalogues;
  runtime::ControlPlane& control;
  const telemetry::DecisionLog& decisions;
  const telemetry::MetricRegistry& metrics;
  telemetry::JsonLog& log;
  std::function<nlohmann::json()> dump;
};

/// \brief JSON over HTTP for operators; every path but /metrics and /healthz needs the credential.
///
/// | method and path | result |
/// | --- | --- |
/// | GET /status | host, revision, members with their revisions |
/// | GET /dump | whole state of the process |
/// | GET /explain/{id} | decisions about a request |
/// | GET /catalogue | profiles, assignments, history |
/// | GET /confirmations?revision=n | live entry processes that have not applied revision n |
/// | POST /edits | applies one change |
/// | PUT /log-level | body: the level's name |
class AdminApi {
 public:
  AdminApi(AdminServices services, settings::CredentialDigest credential, std::uint64_t seed);

  boost::asio::awaitable<void> Serve(net::HttpRequest request, net::ResponseStream& response);

 private:
  bool Authorised(const net::HttpRequest& request) const;
  net::HttpResponse Answer(const net::HttpRequest& request);
  net::HttpResponse Status() const;
  net::HttpResponse Explain(const std::string& id) const;
  net::HttpResponse Confirmations(const std::string& target) const;
  net::HttpResponse SetLogLevel(const std::string& name);
  boost::asio::awaitable<net::HttpResponse> Edit(std::string body);
  boost::asio::awaitable<profile::EditOutcome> RunEdit(profile::ChangeRequest request);
  profile::ChangeRequest ParseEdit(const std::string& body);

  AdminServices m_services;
  settings::CredentialDigest m_credential;
  core::Random m_random;
};

}  // namespace cornelrelay::entry
