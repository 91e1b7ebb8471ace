#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/quarantine/fingerprint.h"
#include "cornelrelay/quarantine/request_features.h"
#include "cornelrelay/quarantine/suspect_report.h"

namespace cornelrelay::quarantine {

/// \brief An upstream has gone on with a request after the first part of its output, or has
/// completed it. Some requests crash their upstream just behind the first part.
struct OutputContinued {
  RequestFeatures features;
};

/// \brief The upstream crashed while it ran a request that had given no more than the first part of
/// its output.
struct RequestLostInCrash {
  core::UpstreamId upstream;
  std::uint64_t incarnation = 0;
  bool answer_begun = false;  ///< the head of the answer had arrived
  RequestFeatures features;
};

/// \brief Another entry process has told what it knows.
struct SuspectsReported {
  std::vector<SuspectReport> reports;
};

using SuspectEvent = std::variant<OutputContinued, RequestLostInCrash, SuspectsReported>;

/// \brief Requests with this feature are held back from now on.
struct SuspectQuarantined {
  Fingerprint suspect;
  std::size_t crashes = 0;
};

/// \brief Requests with this feature may run again: one of them has given output.
struct SuspectCleared {
  Fingerprint suspect;
};

/// \brief This process has seen a crash that the other entry processes do not know of.
struct SuspectsChanged {};

using SuspectAction = std::variant<SuspectQuarantined, SuspectCleared, SuspectsChanged>;

}  // namespace cornelrelay::quarantine
