#include "cornelrelay/wire/forged_datagram.h"
#include "cornelrelay/wire/malformed_message.h"
#include "cornelrelay/wire/message_too_large.h"
#include "cornelrelay/wire/replayed_datagram.h"
#include "cornelrelay/wire/stale_incarnation.h"
#include "cornelrelay/wire/weak_key.h"

namespace cornelrelay::wire {

ForgedDatagram::ForgedDatagram()
    : Error("forged_datagram", "the message authentication code does not match") {}
MalformedMessage::MalformedMessage()
    : Error("malformed_message", "the bytes are not a complete message") {}
MessageTooLarge::MessageTooLarge()
    : Error("message_too_large", "a message or one of its fields exceeds its bound") {}
ReplayedDatagram::ReplayedDatagram()
    : Error("replayed_datagram", "the datagram was seen before or is too old to tell") {}
StaleIncarnation::StaleIncarnation()
    : Error("stale_incarnation", "the datagram is from an earlier start of its sender") {}
WeakKey::WeakKey() : Error("weak_key", "the shared key has fewer than 16 bytes") {}

}  // namespace cornelrelay::wire
