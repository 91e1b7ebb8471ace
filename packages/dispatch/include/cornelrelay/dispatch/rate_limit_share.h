#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/limits/token_bucket.h"

namespace cornelrelay::dispatch {

/// \brief What an answer of an upstream said about the rate that it takes.
struct RateLimitObservation {
  std::optional<double> per_second;  ///< from all entry processes together; empty: no limit
  core::Instant at;

  friend bool operator==(const RateLimitObservation&, const RateLimitObservation&) = default;
};

/// \brief Returns the rate at which one entry process may use an upstream, in requests a second.
///
/// About as many processes share the limit as it allows requests a second, the first ones in an
/// order that depends on the upstream; the others get nothing. A process saves up to one request,
/// so all processes together exceed the limit by about one second's requests at most, however many
/// they are.
/// \param processes all live entry processes, including `self`
double RateShareOf(double limit_per_second, const core::UpstreamId& upstream,
                   const core::HostId& self, const std::vector<core::HostId>& processes);

/// \brief Returns the position of a process in the order in which the upstream's limit is shared
/// out: the number of processes before it. Costs one hash for each process.
std::size_t SharingRankOf(const core::UpstreamId& upstream, const core::HostId& self,
                          const std::vector<core::HostId>& processes);
/// \brief Returns the rate of the process at this position, as RateShareOf() does.
double RateShareAt(double limit_per_second, std::size_t rank, std::size_t processes);

/// \brief The rate limit of one upstream and this process's share of it.
class RateLimitShare {
 public:
  /// \brief Takes over the observation if it is newer. Returns whether the limit changed.
  bool Observe(const RateLimitObservation& observation);
  /// \brief Sets the processes that share the limit.
  void SetShare(core::Instant now, double per_second);

  const std::optional<RateLimitObservation>& observation() const { return m_observation; }
  std::optional<double> limit() const {
    return m_observation ? m_observation->per_second : std::nullopt;
  }
  /// \brief Requests a second of this process; meaningless without a limit.
  double share() const { return m_share; }

  /// \brief Starts without savings.
  void Empty(core::Instant now) { m_tokens = limits::TokenBucket(now); }

  bool Admits(core::Instant now) const;
  /// \brief Counts a request.
  void Take(core::Instant now);
  /// \brief When Admits() becomes true; none if this process has no share.
  std::optional<core::Instant> NextAdmission(core::Instant now) const;

 private:
  std::optional<RateLimitObservation> m_observation;
  double m_share = 0;
  limits::TokenBucket m_tokens{core::Instant{}};
};

}  // namespace cornelrelay::dispatch
