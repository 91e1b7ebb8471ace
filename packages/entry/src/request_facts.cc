#include "request_facts.h"

#include <algorithm>
#include <chrono>

namespace cornelrelay::entry::internal {
namespace {

constexpr std::chrono::milliseconds kClaimTimeout{1500};

}  // namespace

core::Duration DeadlineOf(const CallerRequest& request, const profile::Profile& profile) {
  return request.deadline ? std::min(*request.deadline, profile.request.deadline)
                          : profile.request.deadline;
}

request::RequestPolicy PolicyOf(const CallerRequest& request, const profile::Profile& profile) {
  request::RequestPolicy policy;
  policy.idempotent = profile.IsIdempotent(request.upstream.method, request.upstream.target);
  policy.key_required = profile.request.key_required;
  policy.max_attempts = static_cast<int>(profile.retry.attempts);
  policy.deadline = DeadlineOf(request, profile);
  policy.claim_timeout = kClaimTimeout;
  return policy;
}

request::RequestAttributes FactsOf(const CallerRequest& request,
                                   const core::RequestId& internal_id) {
  request::RequestAttributes facts;
  facts.id = request.id;
  facts.attempt_prefix = internal_id.value();
  facts.has_key = request.key.has_value();
  facts.resumable = request.kind == settings::ServiceKind::kModel && request.stream;
  return facts;
}

quarantine::Fingerprint FingerprintOf(const CallerRequest& request) {
  return quarantine::Fingerprint::Of(request.account, request.service,
                                     request.upstream.target + '\n' + request.upstream.body);
}

std::uint8_t PriorityOf(const profile::Profile& profile) {
  return static_cast<std::uint8_t>(profile.request.priority);
}

routing::RouteQuery QueryOf(const CallerRequest& request, const profile::Profile& profile) {
  routing::RouteQuery query;
  query.request = request.id;
  query.size = request.size;
  if (profile.routing.prefix_affinity) query.prefix_key = request.prefix;
  query.priority = PriorityOf(profile);
  return query;
}

}  // namespace cornelrelay::entry::internal
