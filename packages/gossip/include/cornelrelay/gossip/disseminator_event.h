#pragma once

#include <variant>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/gossip/record.h"
#include "cornelrelay/gossip/urgency.h"

namespace cornelrelay::gossip {

/// \brief Time has passed; a round is sent when it is due.
struct DisseminatorTick {};

/// \brief The table took a newer version of this record.
struct News {
  RecordKey key;
  Urgency urgency = Urgency::kRoutine;
};

/// \brief A member that was suspect or dead is back: it may have missed notices.
struct ContactRestored {
  core::HostId host;
};

/// \brief A datagram was sent outside the rounds.
struct BytesSent {
  std::size_t bytes = 0;
};

using DisseminatorEvent = std::variant<DisseminatorTick, News, ContactRestored, BytesSent>;

}  // namespace cornelrelay::gossip
