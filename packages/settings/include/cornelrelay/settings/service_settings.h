#pragma once

#include <string>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/settings/service_kind.h"
#include "cornelrelay/settings/upstream_settings.h"

namespace cornelrelay::settings {

struct ServiceSettings {
  core::ServiceId id;
  ServiceKind kind = ServiceKind::kModel;
  std::string model;  ///< `model` of the caller's JSON; empty for plain services
  core::ProfileName profile;
  std::vector<UpstreamSettings> upstreams;

  friend bool operator==(const ServiceSettings&, const ServiceSettings&) = default;
};

}  // namespace cornelrelay::settings
