#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/core/time.h"

namespace cornelrelay::gossip {

class GossipNode;
class RecordTable;

/// \brief State of the machines for `/dump`.
nlohmann::json ToJson(const RecordTable& table, core::Instant now);
nlohmann::json ToJson(const GossipNode& node, core::Instant now);

}  // namespace cornelrelay::gossip
