#pragma once

#include <string>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::entry {

/// \brief The crash ledger as a request task sees it.
class CrashPort {
 public:
  virtual ~CrashPort() = default;

  /// \brief Whether the request may be sent to an upstream now.
  virtual bool MayRun(const std::string& fingerprint) = 0;
  virtual void Started(const std::string& fingerprint, const core::AttemptId& attempt,
                       const core::UpstreamId& upstream) = 0;
  virtual void Completed(const core::AttemptId& attempt) = 0;
  virtual void Ended(const core::AttemptId& attempt) = 0;

  /// \brief The connection broke after bytes were sent; the upstream may have crashed.
  virtual void Broken(const core::AttemptId& attempt) = 0;
};

}  // namespace cornelrelay::entry
