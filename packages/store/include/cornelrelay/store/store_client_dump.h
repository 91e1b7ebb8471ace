#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/store/store_client.h"

namespace cornelrelay::store {

/// \brief State of the client for `/dump`; holds no keys or values.
nlohmann::json ToJson(const StoreClient& client);

}  // namespace cornelrelay::store
