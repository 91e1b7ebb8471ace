#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/gossip/record.h"
#include "cornelrelay/gossip/status_delta.h"
#include "cornelrelay/gossip/status_sample.h"

namespace cornelrelay::gossip {

/// \brief Records and load updates; also carried by probes.
struct GossipPush {
  std::vector<Record> records;
  std::vector<StatusDelta> deltas;
  std::vector<StatusSample> samples;

  friend bool operator==(const GossipPush&, const GossipPush&) = default;
};

struct Probe {
  std::uint32_t sequence = 0;
  GossipPush push;

  friend bool operator==(const Probe&, const Probe&) = default;
};

struct ProbeAck {
  std::uint32_t sequence = 0;
  GossipPush push;

  friend bool operator==(const ProbeAck&, const ProbeAck&) = default;
};

/// \brief Asks the receiver to probe `target` and to pass the answer on.
struct ProbeRequest {
  std::uint32_t sequence = 0;
  core::HostId target;
  GossipPush push;

  friend bool operator==(const ProbeRequest&, const ProbeRequest&) = default;
};

using Message = std::variant<Probe, ProbeAck, ProbeRequest, GossipPush>;

}  // namespace cornelrelay::gossip
