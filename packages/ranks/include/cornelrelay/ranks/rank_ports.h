#pragma once

#include "cornelrelay/ranks/engine_protocol.h"
#include "cornelrelay/relay/fleet_protocol.h"
#include "cornelrelay/store/store_codec.h"

namespace cornelrelay::ranks {

/// \brief The protocols and codecs that the platform provides.
struct RankPorts {
  const EngineProtocol& engines;
  const relay::FleetProtocol& fleet;
  const store::StoreCodec& store;
};

}  // namespace cornelrelay::ranks
