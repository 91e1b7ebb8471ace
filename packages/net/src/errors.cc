#include "cornelrelay/net/errors.h"

#include <cassert>

namespace cornelrelay::net {

ConnectFailed::ConnectFailed(const core::Endpoint& peer, const std::string& reason, bool refused)
    : Error("connect_failed", "connection to " + core::ToString(peer) + " failed: " + reason),
      m_refused(refused) {}

std::string_view ToString(BreakCause cause) {
  switch (cause) {
    case BreakCause::kConnection:
      return "connection";
    case BreakCause::kTimeout:
      return "timeout";
    case BreakCause::kMalformed:
      return "malformed";
    case BreakCause::kHeadTooLarge:
      return "head_too_large";
    case BreakCause::kTooManyHeads:
      return "too_many_heads";
    case BreakCause::kBodyTooLarge:
      return "body_too_large";
    case BreakCause::kNoProgress:
      return "no_progress";
    case BreakCause::kUnexpected:
      return "unexpected";
  }
  assert(false);
  return "unknown";
}

ExchangeBroken::ExchangeBroken(const core::Endpoint& peer, BreakCause cause,
                               const std::string& reason)
    : Error("exchange_broken", "exchange with " + core::ToString(peer) + " broke: " + reason),
      m_cause(cause) {}

CallerGone::CallerGone() : Error("caller_gone", "the caller closed its connection") {}

ListenFailed::ListenFailed(const core::Endpoint& endpoint, const std::string& reason)
    : Error("listen_failed", "cannot listen on " + core::ToString(endpoint) + ": " + reason) {}

TlsSetupFailed::TlsSetupFailed(const std::string& file, const std::string& reason)
    : Error("tls_setup_failed", "cannot use " + file + ": " + reason) {}

}  // namespace cornelrelay::net
