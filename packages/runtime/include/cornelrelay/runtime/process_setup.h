#pragma once

#include <cstdint>
#include <optional>

#include "cornelrelay/gossip/node_settings.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/settings/common_settings.h"
#include "cornelrelay/wire/mac_key.h"

namespace cornelrelay::runtime {

/// \brief The seed of the settings, else one from the system.
std::uint64_t SeedOf(std::optional<std::uint64_t> configured);

/// \brief A number that rises at each start of a process: its start time in microseconds.
std::uint64_t IncarnationAt(const ProcessClock& clock);

wire::MacKey ToMacKey(const settings::ControlKey& key);

gossip::NodeSettings ToNodeSettings(const settings::CommonSettings& common, gossip::Role role,
                                    std::uint64_t incarnation);

}  // namespace cornelrelay::runtime
