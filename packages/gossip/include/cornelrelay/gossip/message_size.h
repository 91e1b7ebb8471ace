#pragma once

#include <cstddef>

#include "cornelrelay/gossip/message.h"

namespace cornelrelay::gossip {

/// \brief Largest datagram between own processes, below the usual path limits.
inline constexpr std::size_t kDatagramLimit = 1200;
/// \brief Bound of what the sealed envelope adds to a message (sender id up to 32 bytes).
inline constexpr std::size_t kEnvelopeBytes = 76;
/// \brief What the envelope of this sender adds, with the mark that each encoding begins with.
std::size_t EnvelopeBytes(const core::HostId& sender);
/// \brief IP and UDP headers; they count against the byte budget.
inline constexpr std::size_t kNetworkBytes = 28;

/// \brief Encoded sizes, as the wire package encodes; its tests compare them.
std::size_t EncodedSize(const Record& record);
std::size_t EncodedSize(const StatusDelta& delta);
std::size_t EncodedSize(const StatusSample& sample);
std::size_t EncodedSize(const GossipPush& push);
std::size_t EncodedSize(const Message& message);

}  // namespace cornelrelay::gossip
