#pragma once

#include <cstdint>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/entry/caller_request.h"
#include "cornelrelay/profile/profile.h"
#include "cornelrelay/quarantine/fingerprint.h"
#include "cornelrelay/request/request_attributes.h"
#include "cornelrelay/request/request_policy.h"
#include "cornelrelay/routing/route_query.h"

namespace cornelrelay::entry::internal {

// What the decision packages need to know of a request under its profile.
core::Duration DeadlineOf(const CallerRequest& request, const profile::Profile& profile);
request::RequestPolicy PolicyOf(const CallerRequest& request, const profile::Profile& profile);
request::RequestAttributes FactsOf(const CallerRequest& request,
                                   const core::RequestId& internal_id);
quarantine::Fingerprint FingerprintOf(const CallerRequest& request);
std::uint8_t PriorityOf(const profile::Profile& profile);
routing::RouteQuery QueryOf(const CallerRequest& request, const profile::Profile& profile);

}  // namespace cornelrelay::entry::internal
