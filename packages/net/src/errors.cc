#include "cornelrelay/net/errors.h"

namespace cornelrelay::net {

ConnectFailed::ConnectFailed(const core::Endpoint& peer, const std::string& reason)
    : Error("connect_failed", "connection to " + core::ToString(peer) + " failed: " + reason) {}

ExchangeBroken::ExchangeBroken(const core::Endpoint& peer, const std::string& reason)
    : Error("exchange_broken", "exchange with " + core::ToString(peer) + " broke: " + reason) {}

CallerGone::CallerGone() : Error("caller_gone", "the caller closed its connection") {}

ListenFailed::ListenFailed(const core::Endpoint& endpoint, const std::string& reason)
    : Error("listen_failed", "cannot listen on " + core::ToString(endpoint) + ": " + reason) {}

TlsSetupFailed::TlsSetupFailed(const std::string& file, const std::string& reason)
    : Error("tls_setup_failed", "cannot use " + file + ": " + reason) {}

}  // namespace cornelrelay::net
