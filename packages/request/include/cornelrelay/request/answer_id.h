#pragma once

#include <string>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::request {

/// \brief Replaces the attempt id in a verified chunk or answer by the request id, so that a caller
/// sees one id over all attempts. `payload` must have passed its verifier for `attempt`.
///
/// \code
/// out.Write(ReplaceAnswerId(chunk.payload, attempt, facts.id));
/// \endcode
std::string ReplaceAnswerId(std::string payload, const core::AttemptId& attempt,
                            const core::RequestId& request);

}  // namespace cornelrelay::request
