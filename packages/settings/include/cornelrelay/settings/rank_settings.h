#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/settings/log_level.h"

namespace cornelrelay::settings {

/// \brief Settings of `cornelrelay-agent rank`, the agent beside one rank of a model group.
struct RankSettings {
  core::HostId host;
  LogLevel log_level = LogLevel::kInfo;
  std::optional<std::uint64_t> seed;
  core::Endpoint engine;  ///< the rank beside this agent
  core::ServiceId service;
  core::Endpoint agents;  ///< for the other agents; the port is the same on all hosts
  core::Endpoint metrics;
  core::Endpoint store;
  double store_calls_per_second = 10;
  double link_mbit_per_second = 10;  ///< of the link of this host

  friend bool operator==(const RankSettings&, const RankSettings&) = default;
};

/// \brief Parses TOML; throws InvalidSettings with all faults. `file` names the source in faults.
RankSettings ParseRankSettings(std::string_view text, const std::string& file);

/// \brief Reads and parses a file; throws InvalidSettings.
RankSettings LoadRankSettings(const std::string& file);

}  // namespace cornelrelay::settings
