#pragma once

#include <map>
#include <string>

namespace cornelrelay::telemetry {

/// \brief Labels of one series, ordered by name so that equal sets render alike.
using Labels = std::map<std::string, std::string>;

}  // namespace cornelrelay::telemetry
