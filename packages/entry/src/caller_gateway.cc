#include "cornelrelay/entry/caller_gateway.h"

#include <algorithm>
#include <boost/scope_exit.hpp>
#include <optional>
#include <utility>

#include "cornelrelay/claims/idempotency_key.h"
#include "cornelrelay/claims/invalid_idempotency_key.h"
#include "cornelrelay/entry/rejected_request.h"
#include "cornelrelay/net/errors.h"

namespace cornelrelay::entry {
namespace {

constexpr std::size_t kMaxRequestIdBytes = 64;

bool IsRequestIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.';
}

// Idempotent calls may carry any key; only a claim needs its time.
void CheckKey(const CallerRequest& request, const profile::Profile& profile) {
  if (!request.key) return;
  if (profile.IsIdempotent(request.upstream.method, request.upstream.target)) return;
  try {
    claims::IdempotencyKey::Parse(*request.key);
  } catch (const claims::InvalidIdempotencyKey&) {
    throw RejectedRequest(400, "invalid_key", "Idempotency-Key must be a UUID of version 7");
  }
}

}  // namespace

CallerGateway::CallerGateway(RequestServices services, CallerRequestParser parser,
                             ServiceMap& runtimes, CurrentCatalogue catalogue,
                             const core::HostId& self, std::uint64_t incarnation)
    : m_services(services),
      m_parser(std::move(parser)),
      m_runtimes(runtimes),
      m_catalogue(std::move(catalogue)),
      m_id_prefix(self.value() + '-' + std::to_string(incarnation) + '-') {}

boost::asio::awaitable<void> CallerGateway::Serve(net::HttpRequest http,
                                                  net::ResponseStream& response) {
  if (http.target == "/healthz") {
    net::HttpResponse health = Health();
    co_await response.SendWhole(std::move(health));
    co_return;
  }
  const core::RequestId id = RequestIdOf(http);
  std::shared_ptr<RequestTask> task;
  std::optional<TypedError> rejected;
  try {
    task = MakeTask(id, std::move(http), response);
  } catch (const RejectedRequest& error) {
    rejected = error.error();
  }
  if (rejected) {
    net::HttpResponse answer = ToResponse(*rejected, id);
    co_await response.SendWhole(std::move(answer));
    co_return;
  }
  m_tasks.insert(task.get());
  BOOST_SCOPE_EXIT_ALL(this, &task) { m_tasks.erase(task.get()); };
  try {
    co_await task->Run();
  } catch (const net::CallerGone&) {
    throw;
  } catch (const std::exception& error) {
    m_services.log.Error("request_failed", {{"request", id}, {"reason", error.what()}});
    response.Abort();
  }
}

std::shared_ptr<RequestTask> CallerGateway::MakeTask(const core::RequestId& id,
                                                     net::HttpRequest http,
                                                     net::ResponseStream& response) {
  CallerRequest request = m_parser.Parse(id, std::move(http));
  const auto catalogue = m_catalogue();
  if (!catalogue) {
    throw RejectedRequest(503, "no_catalogue", "this process has not learned the profiles yet");
  }
  ServiceRuntime& runtime = *m_runtimes.at(request.service);
  const profile::Profile& profile = runtime.ProfileIn(*catalogue);
  CheckKey(request, profile);
  return std::make_shared<RequestTask>(m_services, runtime, profile, std::move(request),
                                       NextInternalId(), response);
}

net::HttpResponse CallerGateway::Health() const {
  net::HttpResponse response;
  // Without a share of the limits every request would be refused.
  const bool admits =
      m_services.admission.controller().shares().standing() == limits::Standing::kSettled;
  const bool ready = !m_draining && admits && m_catalogue() != nullptr;
  response.status = ready ? 200 : 503;
  response.headers["Content-Type"] = "application/json";
  response.body = ready ? R"({"status":"ok"})" : R"({"status":"unavailable"})";
  return response;
}

void CallerGateway::EndAll() {
  for (auto* task : m_tasks) {
    m_services.log.Warning("request_cut_off", {{"request", task->id()}});
    task->EndForShutdown();
  }
}

core::RequestId CallerGateway::RequestIdOf(const net::HttpRequest& http) {
  const auto given = net::FindHeader(http.headers, "X-Request-Id");
  const bool usable = given && !given->empty() && given->size() <= kMaxRequestIdBytes &&
                      std::all_of(given->begin(), given->end(), IsRequestIdCharacter);
  return usable ? core::RequestId(*given) : NextInternalId();
}

core::RequestId CallerGateway::NextInternalId() {
  return core::RequestId(m_id_prefix + std::to_string(m_next_id++));
}

}  // namespace cornelrelay::entry
