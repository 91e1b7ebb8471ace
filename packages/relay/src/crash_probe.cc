#include "cornelrelay/relay/crash_probe.h"

#include <chrono>
#include <utility>

#include "cornelrelay/net/errors.h"
#include "cornelrelay/runtime/pause.h"

namespace cornelrelay::relay {
namespace {

using std::chrono::milliseconds;

/// Limit for an exchange, of which the probe makes none.
constexpr milliseconds kExchangeTimeout{250};
/// Far longer than a kernel takes to end the sockets of a process.
constexpr milliseconds kSecondProbeDelay{50};

}  // namespace

boost::asio::awaitable<bool> CrashProbe::IsRefused(const core::Endpoint& endpoint) const {
  try {
    co_await m_client.Open(endpoint, net::HttpClient::ConnectionUse::kFresh,
                           {kExchangeTimeout, kExchangeTimeout});
  } catch (const net::ConnectFailed& error) {
    co_return error.refused();
  }
  co_return false;
}

boost::asio::awaitable<bool> CrashProbe::HasEnded(core::Endpoint endpoint) const {
  const bool refused = co_await IsRefused(endpoint);
  if (refused) co_return true;
  co_await runtime::Pause(m_context, kSecondProbeDelay);
  const bool refused_later = co_await IsRefused(endpoint);
  co_return refused_later;
}

boost::asio::awaitable<bool> CrashProbe::HasCrashed(core::UpstreamId upstream) const {
  const auto entry = m_directory.Find(upstream);
  if (!entry || entry->leaving) co_return false;
  const bool ended = co_await HasEnded(entry->endpoint);
  // It may have said meanwhile that it leaves.
  const auto now = m_directory.Find(upstream);
  co_return ended&& now && !now->leaving;
}

}  // namespace cornelrelay::relay
