#include "cornelrelay/store/malformed_store_message.h"

namespace cornelrelay::store {

MalformedStoreMessage::MalformedStoreMessage(const std::string& reason)
    : core::Error("malformed_store_message", "malformed store message: " + reason) {}

}  // namespace cornelrelay::store
