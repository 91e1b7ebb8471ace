#include "cornelrelay/profile/malformed_catalogue.h"

namespace cornelrelay::profile {

MalformedCatalogue::MalformedCatalogue(const std::string& reason)
    : core::Error("malformed_catalogue", "malformed catalogue: " + reason) {}

}  // namespace cornelrelay::profile
