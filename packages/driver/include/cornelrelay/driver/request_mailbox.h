#pragma once

#include "cornelrelay/request/request_event.h"
#include "cornelrelay/runtime/mailbox.h"

namespace cornelrelay::driver {

using RequestMailbox = runtime::Mailbox<request::RequestEvent>;

}  // namespace cornelrelay::driver
