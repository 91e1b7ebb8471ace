#include "cornelrelay/relay/crash_probe.h"

#include <chrono>
#include <utility>

#include "cornelrelay/net/errors.h"

namespace cornelrelay::relay {
namespace {

/// Limit for an exchange, of which the probe makes none.
constexpr std::chrono::milliseconds kExchangeTimeout{250};

}  // namespace

boost::asio::awaitable<bool> CrashProbe::HasCrashed(core::UpstreamId upstream) const {
  auto entry = m_directory.Find(upstream);
  if (!entry || entry->leaving) co_return false;
  try {
    co_await m_client.Open(std::move(entry->endpoint), net::HttpClient::ConnectionUse::kFresh,
                           {kExchangeTimeout, kExchangeTimeout});
  } catch (const net::ConnectFailed& error) {
    co_return error.refused();
  }
  co_return false;
}

}  // namespace cornelrelay::relay
