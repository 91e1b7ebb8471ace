#pragma once

#include <cstdint>
#include <utility>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/quarantine/fingerprint.h"

namespace cornelrelay::quarantine {

enum class ProbeState : std::uint8_t { kIntent = 1, kRunning = 2, kEnded = 3 };

/// \brief A suspect that an entry process runs, or means to run, on a further upstream.
struct ProbeRecord {
  core::HostId entry;
  Fingerprint fingerprint;
  std::uint64_t incarnation = 0;  ///< of the entry process
  std::uint64_t sequence = 0;
  ProbeState state = ProbeState::kIntent;
  core::UpstreamId upstream;
  core::Instant time;  ///< of the last refresh

  friend bool operator==(const ProbeRecord&, const ProbeRecord&) = default;
};

/// \brief One entry process has at most one record for a fingerprint.
using ProbeId = std::pair<Fingerprint, core::HostId>;

/// \brief The newer of two records with the same id.
ProbeRecord Merge(const ProbeRecord& a, const ProbeRecord& b);

}  // namespace cornelrelay::quarantine
