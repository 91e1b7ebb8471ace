#pragma once

#include "cornelrelay/core/strong_id.h"

namespace cornelrelay::core {

using HostId = StrongId<struct HostIdTag>;
using DataCentreId = StrongId<struct DataCentreIdTag>;
using ClientAccountId = StrongId<struct ClientAccountIdTag>;
using UpstreamId = StrongId<struct UpstreamIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
using ProfileName = StrongId<struct ProfileNameTag>;
using GroupId = StrongId<struct GroupIdTag>;
using RequestId = StrongId<struct RequestIdTag>;

/// \brief One attempt to run a request on one upstream.
using AttemptId = StrongId<struct AttemptIdTag>;

}  // namespace cornelrelay::core
