#pragma once

#include <variant>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/gossip/message.h"

namespace cornelrelay::gossip {

/// \brief Send `message` to `endpoint`; `to` is empty for a seed whose host id is not yet known.
struct Send {
  core::HostId to;
  core::Endpoint endpoint;
  Message message;
};

/// \brief The table has a newer version of this record.
struct RecordChanged {
  Record record;
};

/// \brief The detector asks for this record to be merged and spread.
struct Publish {
  Record record;
};

using Action = std::variant<Send, RecordChanged, Publish>;

}  // namespace cornelrelay::gossip
