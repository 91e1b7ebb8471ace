#pragma once

#include <string>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::request {

/// \brief Replaces the attempt id in the JSON `id` of a chunk or answer by the request id, so that
/// a caller sees the same id across all attempts. `payload` must have been verified for `attempt`.
///
/// \code
/// out.Write(ReplaceAnswerId(chunk.payload, attempt, attributes.id));
/// \endcode
std::string ReplaceAnswerId(std::string payload, const core::AttemptId& attempt,
                            const core::RequestId& request);

}  // namespace cornelrelay::request
