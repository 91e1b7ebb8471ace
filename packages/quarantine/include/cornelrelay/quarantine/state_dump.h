#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/quarantine/crash_ledger.h"

namespace cornelrelay::quarantine {

/// \brief State for the admin dump; requests appear as fingerprints only.
nlohmann::json ToJson(const CrashLedger& ledger);

}  // namespace cornelrelay::quarantine
