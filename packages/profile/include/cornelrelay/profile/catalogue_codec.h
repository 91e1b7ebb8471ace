#pragma once

#include <string>
#include <string_view>

#include "cornelrelay/profile/catalogue.h"

namespace cornelrelay::profile {

/// \brief The catalogue as JSON text; the same catalogue always gives the same bytes.
std::string EncodeCatalogue(const Catalogue& catalogue);

/// \brief Throws MalformedCatalogue, also for more than Catalogue::kMaxBytes.
Catalogue DecodeCatalogue(std::string_view bytes);

}  // namespace cornelrelay::profile
