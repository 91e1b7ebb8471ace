#pragma once

#include "cornelrelay/request/request_event.h"
#include "cornelrelay/runtime/mailbox.h"

namespace cornelrelay::driver {

/// \brief Queue of the events that one request has yet to handle.
using RequestMailbox = runtime::Mailbox<request::RequestEvent>;

}  // namespace cornelrelay::driver
