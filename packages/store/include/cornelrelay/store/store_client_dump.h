#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/platform/store_client.h"

namespace cornelrelay::platform {

/// \brief State of the client for `/dump`; holds no keys or values.
nlohmann::json ToJson(const StoreClient& client);

}  // namespace cornelrelay::platform
