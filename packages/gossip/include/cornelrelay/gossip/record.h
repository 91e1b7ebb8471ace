#pragma once

#include <variant>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/gossip/crash_note.h"
#include "cornelrelay/gossip/leaving_notice.h"
#include "cornelrelay/gossip/limit_standing.h"
#include "cornelrelay/gossip/member_state.h"
#include "cornelrelay/gossip/record_key.h"
#include "cornelrelay/gossip/upstream_status.h"
#include "cornelrelay/gossip/version.h"

namespace cornelrelay::gossip {

using Payload = std::variant<MemberState, UpstreamStatus, LeavingNotice, CrashNote, LimitStanding>;

/// \brief One versioned fact, passed between processes.
///
/// The age travels with the record, so that a copy that is passed on for long still expires at the
/// time that its owner meant.
struct Record {
  RecordKey key;
  core::HostId origin;  ///< process that wrote this version
  Version version;
  core::Duration time_to_live{};  ///< zero: does not expire
  core::Duration age{};
  Payload payload;

  friend bool operator==(const Record&, const Record&) = default;
};

/// \brief Whether `a` replaces `b`: a strict total order on everything but the age.
///
/// \code
/// if (Supersedes(received, stored)) stored = received;
/// \endcode
bool Supersedes(const Record& a, const Record& b);

/// \brief Time that dead and left members stay known, so that old copies and the host list, which
/// lags by 30 s, do not bring them back.
inline constexpr core::Duration kTombstoneLife = std::chrono::minutes(10);
/// \brief Longer than the one hour for which regions occasionally lose contact.
inline constexpr core::Duration kStatusLife = std::chrono::hours(2);
inline constexpr core::Duration kLeavingLife = std::chrono::hours(1);
/// \brief A crashing request may take down two replicas in an hour.
inline constexpr core::Duration kCrashLife = std::chrono::hours(1);

}  // namespace cornelrelay::gossip
