#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "cornelrelay/core/time.h"
#include "cornelrelay/store/backoff.h"
#include "cornelrelay/store/store_client_messages.h"
#include "cornelrelay/store/store_client_options.h"
#include "cornelrelay/store/token_bucket.h"

namespace cornelrelay::store {

/// \brief Decides when calls go to the store and what their users are told.
///
/// - A token bucket bounds the calls; a watch takes one token however long it waits.
/// - A call that had no effect, or whose repetition is harmless, is repeated with back-off. A write
///   without an answer is never repeated here: its user gets TimedOut and reads back.
/// - After several failures in a row the store is taken to be out. Calls then get Unavailable at
///   once, except for one trial call per back-off delay. Watches are no trials, because a waiting
///   watch proves nothing.
/// - A reply to a transmission that has timed out is ignored.
///
/// \code
/// StoreClient client(options, seed);
/// for (const auto& action : client.Step(now, CallSubmitted{1, Get{"key"}})) Run(action);
/// \endcode
class StoreClient {
 public:
  StoreClient(const StoreClientOptions& options, std::uint64_t seed);

  std::vector<StoreClientAction> Step(core::Instant now, const StoreClientEvent& event);

  /// \brief The next moment at which a ClientTick can change something.
  std::optional<core::Instant> NextWake(core::Instant now) const;

  bool InOutage() const { return m_outage; }
  std::uint64_t LateReplies() const { return m_late_replies; }
  std::size_t Waiting() const { return m_queue.size() + m_retries.size(); }
  std::size_t InFlight() const { return m_in_flight.size(); }
  std::uint32_t ConsecutiveFailures() const { return m_failures; }
  core::Instant NextTrial() const { return m_next_trial; }

 private:
  struct Call {
    StoreCallId id = 0;
    StoreRequest request;
    std::uint32_t attempts = 0;
    core::Instant wait_until{};  ///< latest time in the queue
    bool unanswered = false;     ///< an earlier transmission may have taken effect
  };
  struct Transmission {
    Call call;
    core::Instant deadline{};
    bool trial = false;
  };
  using Actions = std::vector<StoreClientAction>;

  void Submit(core::Instant now, const CallSubmitted& event, Actions& out);
  void Cancel(const CallCancelled& event, Actions& out);
  void Receive(core::Instant now, const ReplyReceived& event, Actions& out);
  void Expire(core::Instant now, Actions& out);
  void Pump(core::Instant now, Actions& out);
  void Transmit(core::Instant now, Call call, bool trial, Actions& out);
  void Resolve(core::Instant now, Transmission transmission, const StoreReply& reply, Actions& out);
  static DeliverReply Final(const Call& call, StoreReply reply);
  void RecordFailure(core::Instant now, bool trial, Actions& out);
  void RecordSuccess();
  core::Duration UntilTrial(core::Instant now) const;
  bool TrialInFlight() const;

  StoreClientOptions m_options;
  TokenBucket m_bucket;
  Backoff m_backoff;
  std::deque<Call> m_queue;
  std::multimap<core::Instant, Call> m_retries;
  std::map<TransmissionId, Transmission> m_in_flight;
  TransmissionId m_next_transmission = 1;
  std::uint32_t m_failures = 0;
  std::uint32_t m_failed_trials = 0;
  bool m_outage = false;
  core::Instant m_next_trial{};
  std::uint64_t m_late_replies = 0;
};

}  // namespace cornelrelay::store
