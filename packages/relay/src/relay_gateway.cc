#include "cornelrelay/relay/relay_gateway.h"

#include <algorithm>
#include <boost/scope_exit.hpp>
#include <exception>
#include <utility>

#include "cornelrelay/net/errors.h"
#include "cornelrelay/relay/malformed_request.h"

namespace cornelrelay::relay {
namespace {

using core::Execution;

/// Retry-After of a response that is sent while this process does not know the configuration.
constexpr std::chrono::milliseconds kConfigurationRetryAfter{500};
/// Retry-After when the bodies of the requests in progress fill their memory.
constexpr std::chrono::milliseconds kMemoryRetryAfter{200};

}  // namespace

RelayGateway::RelayGateway(RelayServices services, const FleetView& fleet, std::string id_prefix,
                           std::uint64_t seed)
    : m_services(std::move(services)),
      m_fleet(fleet),
      m_id_prefix(std::move(id_prefix)),
      m_random(seed) {}

boost::asio::awaitable<void> RelayGateway::Serve(net::HttpRequest http,
                                                 net::ResponseStream& response) {
  std::optional<RelayRequest> request;
  try {
    request = m_services.callers.Decode(std::move(http));
  } catch (const MalformedRequest& error) {
    m_services.log.Warning("request_malformed", {{"reason", error.what()}});
  }
  if (!request) {
    const Failure malformed{FailureKind::kMalformed, Execution::kNotRun, {}};
    const core::RequestId unknown;
    co_await Refuse(malformed, unknown, response);
    co_return;
  }
  const core::RequestId id = request->id;
  limits::ByteReservation body(m_services.request_bytes);
  const bool body_fits = body.Grow(request->body.size());
  std::variant<RoutedRequest, Failure> admitted = Admit(std::move(*request), body_fits);
  if (const auto* failure = std::get_if<Failure>(&admitted)) {
    co_await Refuse(*failure, id, response);
    co_return;
  }
  RelayTask task(m_services, std::get<RoutedRequest>(std::move(admitted)),
                 core::RequestId(m_id_prefix + std::to_string(++m_last_id)), response);
  m_tasks.insert(&task);
  BOOST_SCOPE_EXIT_ALL(this, &task) { m_tasks.erase(&task); };
  bool failed = false;
  try {
    co_await task.Run();
  } catch (const net::CallerGone&) {
    throw;
  } catch (const std::exception& error) {
    m_services.log.Error("request_failed", {{"request", id}, {"reason", error.what()}});
    failed = true;
  }
  if (failed) {
    co_await AnswerFailed(id, response);
  }
}

bool RelayGateway::HasAccount(const net::HttpRequest& head) const {
  const auto table = m_fleet.table();
  if (!table) return false;
  if (!table->configuration().requires_api_keys) return true;
  try {
    const RelayRequest request = m_services.callers.Decode(head);
    return request.api_key && table->FindAccount(*request.api_key) != nullptr;
  } catch (const MalformedRequest&) {
    return false;
  }
}

boost::asio::awaitable<void> RelayGateway::AnswerFailed(core::RequestId id,
                                                        net::ResponseStream& response) {
  if (response.Started()) {
    response.Abort();
    co_return;
  }
  const Failure failure{FailureKind::kUpstreamFailed, Execution::kUnknown, {}};
  net::HttpResponse answer = m_services.callers.Encode(failure, id);
  co_await response.SendWhole(std::move(answer));
}

std::variant<RoutedRequest, Failure> RelayGateway::Admit(RelayRequest request, bool body_fits) {
  const core::Instant now = m_services.clock.Now();
  const auto table = m_fleet.table();
  // While the store is unreachable, a route or key that is missing here may have been added to the
  // configuration.
  const Failure configuration_unknown{FailureKind::kNoConfiguration, Execution::kNotRun,
                                      kConfigurationRetryAfter};
  if (!table) return configuration_unknown;
  const routes::Route* route = table->Match(request.host, request.target);
  if (route == nullptr || route->services.empty()) {
    if (!m_fleet.store_reachable()) return configuration_unknown;
    return Failure{FailureKind::kNoRoute, Execution::kNotRun, {}};
  }
  RoutedRequest routed;
  if (table->configuration().requires_api_keys && !route->is_public) {
    const auto* account = request.api_key ? table->FindAccount(*request.api_key) : nullptr;
    if (account == nullptr) {
      if (request.api_key && !m_fleet.store_reachable()) return configuration_unknown;
      return Failure{FailureKind::kUnknownKey, Execution::kNotRun, {}};
    }
    routed.account = *account;
  }
  if (!body_fits) return Failure{FailureKind::kOverloaded, Execution::kNotRun, kMemoryRetryAfter};
  routed.route = *route;
  routed.service = routes::RouteTable::ChooseService(*route, m_random.Unit());
  routed.configuration_version = table->version();
  routed.arrived = now;
  routed.deadline = now + route->timeout;
  if (request.timeout) routed.deadline = std::min(routed.deadline, now + *request.timeout);
  routed.request = std::move(request);
  return routed;
}

boost::asio::awaitable<void> RelayGateway::Refuse(Failure failure, core::RequestId id,
                                                  net::ResponseStream& response) {
  const auto table = m_fleet.table();
  m_services.log.Warning("request_refused", {{"request", id},
                                             {"reason", ToString(failure.kind)},
                                             {"execution", failure.execution},
                                             {"configuration", table ? table->version() : 0},
                                             {"store_heard", m_fleet.store_reachable()}});
  m_services.metrics
      .GetCounter("cornelrelay_refused_total", "Requests refused before an upstream was chosen.",
                  {{"reason", std::string(ToString(failure.kind))}})
      .Add();
  net::HttpResponse answer = m_services.callers.Encode(failure, id);
  co_await response.SendWhole(std::move(answer));
}

void RelayGateway::EndQuarantined() {
  for (RelayTask* task : m_tasks) task->EndIfQuarantined();
}

void RelayGateway::EndUnstartable() {
  for (RelayTask* task : m_tasks) task->EndIfUnstartable();
}

void RelayGateway::AbortAll() {
  for (RelayTask* task : m_tasks) task->EndForShutdown();
}

}  // namespace cornelrelay::relay
