#pragma once

#include "cornelrelay/core/error.h"
#include "cornelrelay/store/store_request.h"

namespace cornelrelay::store {

/// \brief This kind of store has no such call.
class UnsupportedStoreRequest : public core::Error {
 public:
  explicit UnsupportedStoreRequest(const StoreRequest& request);
};

}  // namespace cornelrelay::store
