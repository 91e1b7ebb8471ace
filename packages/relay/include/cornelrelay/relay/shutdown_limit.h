#pragma once

#include <optional>

#include "cornelrelay/core/time.h"

namespace cornelrelay::relay {

/// \brief The end of the time that requests have once a graceful shutdown has begun.
///
/// A request that would be cut off at the limit is refused before it is sent to an upstream, so
/// that its caller can send it to another process.
class ShutdownLimit {
 public:
  void Begin(core::Instant limit) { m_limit = limit; }

  /// \param needed expected time of the request on its upstream
  bool Allows(core::Instant now, core::Duration needed) const {
    return !m_limit || now + needed <= *m_limit;
  }

 private:
  std::optional<core::Instant> m_limit;  ///< empty before the shutdown begins
};

}  // namespace cornelrelay::relay
