#pragma once

#include "cornelrelay/core/error.h"

namespace cornelrelay::quarantine {

/// \brief The request crashed two upstreams within the last hour and is not run again.
class RequestQuarantined : public core::Error {
 public:
  RequestQuarantined();
};

}  // namespace cornelrelay::quarantine
