#include "cornelrelay/store/unsupported_store_request.h"

#include <string>

namespace cornelrelay::store {

UnsupportedStoreRequest::UnsupportedStoreRequest(const StoreRequest& request)
    : Error("unsupported_store_request",
            "the store has no call for " + std::string(KindName(request))) {}

}  // namespace cornelrelay::store
