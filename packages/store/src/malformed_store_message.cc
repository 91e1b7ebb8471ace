#include "cornelrelay/platform/malformed_store_message.h"

namespace cornelrelay::platform {

MalformedStoreMessage::MalformedStoreMessage(const std::string& reason)
    : core::Error("malformed_store_message", "malformed store message: " + reason) {}

}  // namespace cornelrelay::platform
