#pragma once

#include <cstddef>
#include <optional>

#include "cornelrelay/limits/service_limits.h"
#include "cornelrelay/net/http_server.h"
#include "cornelrelay/net/tls_files.h"
#include "cornelrelay/profile/profile.h"
#include "cornelrelay/settings/caller_timeouts.h"
#include "cornelrelay/settings/size_limits.h"
#include "cornelrelay/settings/tls_files.h"

namespace cornelrelay::entry::internal {

net::HttpServerLimits ToServerLimits(const settings::SizeLimits& limits,
                                     const settings::CallerTimeouts& timeouts);
std::optional<net::TlsFiles> ToTls(const std::optional<settings::TlsFiles>& files);
limits::ServiceLimits ToLimits(const profile::Profile& profile, std::size_t accounts);

}  // namespace cornelrelay::entry::internal
