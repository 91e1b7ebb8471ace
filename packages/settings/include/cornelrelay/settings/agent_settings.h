#pragma once

#include <string>
#include <string_view>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/settings/common_settings.h"
#include "cornelrelay/settings/service_kind.h"

namespace cornelrelay::settings {

/// \brief Settings of `cornelrelay-agent`.
///
/// \code
/// const AgentSettings settings = LoadAgentSettings("agent.toml");
/// \endcode
struct AgentSettings {
  CommonSettings common;
  core::UpstreamId upstream;
  core::Endpoint upstream_endpoint;
  core::ServiceId service;
  ServiceKind kind = ServiceKind::kModel;
  bool honours_fencing = false;  ///< false: the agent itself refuses orders with an old fence
  core::Duration poll_interval{};

  friend bool operator==(const AgentSettings&, const AgentSettings&) = default;
};

/// \brief Parses TOML; throws InvalidSettings with all faults. `file` names the source in faults,
/// and relative paths in the settings start at its directory.
AgentSettings ParseAgentSettings(std::string_view text, const std::string& file);

/// \brief Reads and parses a file; throws InvalidSettings.
AgentSettings LoadAgentSettings(const std::string& file);

}  // namespace cornelrelay::settings
