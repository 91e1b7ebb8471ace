#pragma once

#include <optional>
#include <string>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/net/http_message.h"
#include "cornelrelay/routing/route_query.h"
#include "cornelrelay/settings/service_settings.h"

namespace cornelrelay::entry {

/// \brief A caller's request after its account, service and headers have been checked.
struct CallerRequest {
  core::RequestId id;
  core::ClientAccountId account;
  core::ServiceId service;
  settings::ServiceKind kind = settings::ServiceKind::kModel;
  bool stream = false;
  std::optional<std::string> key;          ///< `Idempotency-Key`
  std::optional<core::Duration> deadline;  ///< `X-Deadline-Ms`
  routing::SizeEstimate size;
  routing::PrefixKey prefix;
  net::HttpRequest upstream;  ///< what an upstream receives, without credentials
};

}  // namespace cornelrelay::entry
