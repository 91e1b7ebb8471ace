#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "cornelrelay/core/time.h"

namespace cornelrelay::dispatch {

enum class HealthState {
  kUsable,
  kEjected,    ///< gets nothing for a time, then one trial
  kProbation,  ///< trials succeed; the number of requests at once grows
};
std::string_view ToString(HealthState state);

struct HealthConfig {
  std::uint32_t failures_to_eject = 2;  ///< in a row
  double failure_gain = 0.1;            ///< weight of one result in the running share of failures
  double share_to_eject = 0.4;          ///< far above the failures that sound upstreams report
  core::Duration first_ejection = std::chrono::milliseconds(500);
  core::Duration longest_ejection = std::chrono::seconds(8);
  std::uint32_t probation_limit = 4;  ///< requests at once up to which it is on probation
  /// An upstream that was sound for so long starts from the shortest ejection again.
  core::Duration forgive_time = std::chrono::seconds(20);
};

/// \brief What the own results say of one upstream.
///
/// Each ejection is longer than the one before, so that an upstream that comes and goes is let back
/// more and more slowly.
class UpstreamHealth {
 public:
  explicit UpstreamHealth(HealthConfig config) : m_config(config) {}

  void Succeeded(core::Instant now);
  /// \brief It broke off, stayed silent or could not be reached.
  void Failed(core::Instant now);
  /// \brief It answered, but with a failure, as sound upstreams do at times.
  void AnsweredFailure(core::Instant now);

  /// \brief It is not there any more, though its registration may be for a while.
  void Gone(core::Instant now) { Eject(now); }

  /// \brief Whether it may get a request beside the `in_flight` ones of this process.
  bool Admits(core::Instant now, std::uint32_t in_flight) const;

  HealthState state() const { return m_state; }
  double failure_share() const { return m_failure_share; }

 private:
  void Eject(core::Instant now);
  void NoteFailure();

  HealthConfig m_config;
  HealthState m_state = HealthState::kUsable;
  std::uint32_t m_consecutive = 0;
  double m_failure_share = 0;
  std::uint32_t m_ejections = 0;
  std::uint32_t m_allowed = 0;  ///< requests at once while on probation
  core::Instant m_ejected_until{};
};

}  // namespace cornelrelay::dispatch
