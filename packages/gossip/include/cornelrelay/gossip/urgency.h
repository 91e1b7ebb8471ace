#pragma once

#include "cornelrelay/gossip/record.h"

namespace cornelrelay::gossip {

/// \brief Order in which news are sent; all but kJoin and kRoutine go before anything else.
///
/// Suspicions come last of the urgent ones: a partition yields hundreds of them at once.
enum class Urgency { kLeaving, kCrash, kRevision, kSuspicion, kJoin, kRoutine };

/// \brief Urgency of `record`, which replaced `previous` (null if there was none).
Urgency UrgencyOf(const Record* previous, const Record& record, std::uint64_t highest_revision);

}  // namespace cornelrelay::gossip
