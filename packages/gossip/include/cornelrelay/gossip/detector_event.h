#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/gossip/record.h"

namespace cornelrelay::gossip {

struct DetectorTick {};

/// \brief This process did not run for `gap`: silence during that time says nothing about others.
struct PauseDetected {
  core::Duration gap{};
};

struct AckReceived {
  core::HostId from;
  std::uint32_t sequence = 0;
};

/// \brief `from` asks for a probe of `target`.
struct RelayRequested {
  core::HostId from;
  std::uint32_t sequence = 0;
  core::HostId target;
};

/// \brief The table took a newer record of a member; `previous` is empty for a new member.
struct MemberRecordChanged {
  core::HostId host;
  std::optional<Life> previous;
  Life life = Life::kAlive;
  core::HostId origin;
};

using DetectorEvent =
    std::variant<DetectorTick, PauseDetected, AckReceived, RelayRequested, MemberRecordChanged>;

}  // namespace cornelrelay::gossip
