#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/profile/catalogue.h"
#include "cornelrelay/profile/catalogue_editor.h"
#include "cornelrelay/profile/catalogue_replica.h"
#include "cornelrelay/profile/confirmation_tracker.h"

namespace cornelrelay::profile {

// State for `/dump`; none of it is secret.
nlohmann::json ToJson(const Profile& profile);
nlohmann::json ToJson(const AppliedChange& change);
nlohmann::json ToJson(const Catalogue& catalogue);
nlohmann::json ToJson(const CatalogueEditor& editor);
nlohmann::json ToJson(const CatalogueReplica& replica);
nlohmann::json ToJson(const ConfirmationTracker& tracker);

}  // namespace cornelrelay::profile
