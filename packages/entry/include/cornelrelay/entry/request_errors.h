#pragma once

#include "cornelrelay/entry/typed_error.h"
#include "cornelrelay/request/request_action.h"

namespace cornelrelay::entry {

/// \brief The caller-facing form of an error that a RequestMachine decided on.
TypedError ToTypedError(const request::SendError& error);

}  // namespace cornelrelay::entry
