#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/claims/claim_client.h"
#include "cornelrelay/claims/claim_owner.h"

namespace cornelrelay::claims {

/// \brief State for the admin dump. Keys and bodies appear as digests only.
nlohmann::json ToJson(const ClaimOwner& owner);
nlohmann::json ToJson(const ClaimClient& client);

}  // namespace cornelrelay::claims
