#pragma once

#include "cornelrelay/profile/catalogue.h"
#include "cornelrelay/profile/change.h"

namespace cornelrelay::profile {

/// \brief The catalogue of the next revision; throws a ChangeRejected. Ignores `request.seen`.
///
/// The oldest history entries are dropped when the catalogue would become too large.
Catalogue ApplyChange(const Catalogue& catalogue, const ChangeRequest& request);

/// \brief Throws InvalidEdit when the request's values are out of bounds.
void CheckRequest(const ChangeRequest& request);

}  // namespace cornelrelay::profile
