#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "cornelrelay/core/random.h"
#include "cornelrelay/entry/caller_request_parser.h"
#include "cornelrelay/entry/request_services.h"
#include "cornelrelay/entry/request_task.h"
#include "cornelrelay/entry/service_runtime.h"
#include "cornelrelay/net/response_stream.h"
#include "cornelrelay/profile/catalogue.h"

namespace cornelrelay::entry {

using ServiceMap = std::map<core::ServiceId, std::unique_ptr<ServiceRuntime>>;

/// \brief The HTTP side towards callers: health check, authentication, one RequestTask per request.
class CallerGateway {
 public:
  /// \brief The catalogue in force; null before the first one is known.
  using CurrentCatalogue = std::function<std::shared_ptr<const profile::Catalogue>()>;

  CallerGateway(RequestServices services, CallerRequestParser parser, ServiceMap& runtimes,
                CurrentCatalogue catalogue, const core::HostId& self, std::uint64_t incarnation);

  boost::asio::awaitable<void> Serve(net::HttpRequest http, net::ResponseStream& response);

  /// \brief Lets the health check fail, so that the balancer sends no new connections.
  void SetDraining() { m_draining = true; }
  bool draining() const { return m_draining; }

  /// \brief Ends all requests in progress with a typed error; logs each.
  void EndAll();

  const std::set<RequestTask*>& tasks() const { return m_tasks; }

 private:
  net::HttpResponse Health() const;
  std::shared_ptr<RequestTask> MakeTask(const core::RequestId& id, net::HttpRequest http,
                                        net::ResponseStream& response);
  core::RequestId RequestIdOf(const net::HttpRequest& http);
  core::RequestId NextInternalId();

  RequestServices m_services;
  CallerRequestParser m_parser;
  ServiceMap& m_runtimes;
  CurrentCatalogue m_catalogue;
  std::string m_id_prefix;
  std::uint64_t m_next_id = 1;
  bool m_draining = false;
  std::set<RequestTask*> m_tasks;
};

}  // namespace cornelrelay::entry
