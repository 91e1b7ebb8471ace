#pragma once

#include "cornelrelay/claims/owner_events.h"
#include "cornelrelay/store/store_reply.h"
#include "cornelrelay/store/store_request.h"

namespace cornelrelay::bench {

store::StoreRequest ToStoreRequest(const claims::StoreRead& read);
store::StoreRequest ToStoreRequest(const claims::StoreSwap& swap);

/// \brief The owner's event for a store client's final reply.
claims::OwnerEvent ToOwnerEvent(claims::StoreCallId call, const store::StoreReply& reply);

}  // namespace cornelrelay::bench
