#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/settings/control_key.h"
#include "cornelrelay/settings/log_level.h"

namespace cornelrelay::settings {

/// \brief What both binaries need.
struct CommonSettings {
  core::HostId host;
  core::DataCentreId data_centre;
  core::Endpoint control;  ///< UDP and TCP on the same port
  ControlKey control_key;
  std::vector<core::Endpoint> peers;  ///< control endpoints of other processes, without the own one
  core::Endpoint store;
  core::Endpoint host_list;
  core::Duration shutdown_limit{};
  LogLevel log_level = LogLevel::kInfo;
  /// Empty: the binary seeds itself from the system. Equal seeds would let processes choose alike.
  std::optional<std::uint64_t> seed;

  friend bool operator==(const CommonSettings&, const CommonSettings&) = default;
};

}  // namespace cornelrelay::settings
