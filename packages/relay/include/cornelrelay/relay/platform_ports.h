#pragma once

#include "cornelrelay/relay/caller_protocol.h"
#include "cornelrelay/relay/fleet_protocol.h"
#include "cornelrelay/relay/upstream_protocol.h"
#include "cornelrelay/store/store_codec.h"

namespace cornelrelay::relay {

/// \brief The codecs that a platform supplies for callers, upstreams and the store.
struct PlatformPorts {
  const CallerProtocol& callers;
  const UpstreamProtocol& upstreams;
  const FleetProtocol& fleet;
  const store::StoreCodec& store;
};

}  // namespace cornelrelay::relay
