#include "settings_conversion.h"

#include <algorithm>
#include <cstdint>

namespace cornelrelay::entry::internal {

net::HttpServerLimits ToServerLimits(const settings::SizeLimits& limits,
                                     const settings::CallerTimeouts& timeouts) {
  using std::chrono::milliseconds;
  net::HttpServerLimits server;
  server.head_timeout = std::chrono::duration_cast<milliseconds>(timeouts.head);
  server.idle_timeout = std::chrono::duration_cast<milliseconds>(timeouts.idle);
  server.head_bytes = static_cast<std::uint32_t>(limits.head);
  server.body_bytes = limits.body;
  return server;
}

std::optional<net::TlsFiles> ToTls(const std::optional<settings::TlsFiles>& files) {
  if (!files) return std::nullopt;
  return net::TlsFiles{files->certificate, files->key};
}

limits::ServiceLimits ToLimits(const profile::Profile& profile, std::size_t accounts) {
  limits::ServiceLimits limits;
  limits.account.concurrency = profile.account.concurrency;
  limits.account.rate = static_cast<std::uint64_t>(std::max(1.0, profile.account.rate_per_s));
  limits.account.burst = limits.account.rate;
  limits.account.queue = profile.account.queue;
  // No profile field limits a service as a whole; the sum over its accounts does.
  limits.concurrency = limits.account.concurrency * std::max<std::size_t>(1, accounts);
  return limits;
}

}  // namespace cornelrelay::entry::internal
