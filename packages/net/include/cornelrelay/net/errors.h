#pragma once

#include <string>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/error.h"
#include "cornelrelay/net/break_cause.h"

namespace cornelrelay::net {

/// \brief No connection was established, or it was lost before the first byte was written, so the
/// peer received no byte of the request.
class ConnectFailed : public core::Error {
 public:
  ConnectFailed(const core::Endpoint& peer, const std::string& reason, bool refused = false);

  /// \brief Whether the peer's host answered that no process listens there.
  bool refused() const { return m_refused; }

 private:
  bool m_refused;
};

/// \brief The connection failed after the request was at least partly sent.
class ExchangeBroken : public core::Error {
 public:
  ExchangeBroken(const core::Endpoint& peer, BreakCause cause, const std::string& reason);

  BreakCause cause() const { return m_cause; }

 private:
  BreakCause m_cause;
};

/// \brief The caller closed its connection before the response was complete.
class CallerGone : public core::Error {
 public:
  CallerGone();
};

/// \brief A listening socket could not be opened.
class ListenFailed : public core::Error {
 public:
  ListenFailed(const core::Endpoint& endpoint, const std::string& reason);
};

/// \brief A certificate or key could not be loaded.
class TlsSetupFailed : public core::Error {
 public:
  TlsSetupFailed(const std::string& file, const std::string& reason);
};

}  // namespace cornelrelay::net
