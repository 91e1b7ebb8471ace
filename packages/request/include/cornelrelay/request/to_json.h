#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/request/request_snapshot.h"

namespace cornelrelay::request {

/// \brief State of one request for `/dump`. Times are in microseconds of logical time.
nlohmann::json ToJson(const RequestSnapshot& snapshot);

}  // namespace cornelrelay::request
