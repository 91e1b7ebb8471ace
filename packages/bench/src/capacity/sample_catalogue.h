#pragma once

#include <cstddef>

#include "cornelrelay/profile/catalogue.h"

namespace cornelrelay::bench {

/// \brief A catalogue after so many changes: profiles are created, assigned to a service each, and
/// then changed in turn.
profile::Catalogue SampleCatalogue(std::size_t profiles, std::size_t changes);

/// \brief The next revision, with one profile changed.
profile::Catalogue Changed(const profile::Catalogue& catalogue);

}  // namespace cornelrelay::bench
