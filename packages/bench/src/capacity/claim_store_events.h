#pragma once

#include "cornelrelay/claims/owner_events.h"
#include "cornelrelay/platform/store_reply.h"
#include "cornelrelay/platform/store_request.h"

namespace cornelrelay::bench {

platform::StoreRequest ToStoreRequest(const claims::StoreRead& read);
platform::StoreRequest ToStoreRequest(const claims::StoreSwap& swap);

/// \brief The owner's event for a store client's final reply.
claims::OwnerEvent ToOwnerEvent(claims::StoreCallId call, const platform::StoreReply& reply);

}  // namespace cornelrelay::bench
