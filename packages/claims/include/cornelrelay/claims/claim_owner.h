#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cornelrelay/claims/claim_view.h"
#include "cornelrelay/claims/owner_events.h"
#include "cornelrelay/claims/owner_faults.h"
#include "cornelrelay/claims/owner_settings.h"
#include "cornelrelay/claims/recent_calls.h"
#include "cornelrelay/claims/segment_eraser.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::claims {

/// \brief Grants the claims of one partition. Several processes may run an owner of the same
/// partition at any time: each grant rests on a compare-and-swap of the head segment, so the loser
/// of a race re-reads and finds the claim.
///
/// \code
/// ClaimOwner owner(host, partition, settings, seed);
/// for (const OwnerAction& action : owner.Step(now, ClaimCallReceived{from, call}))
/// Perform(action); \endcode
class ClaimOwner {
 public:
  /// \param seed random for each start of the process, so that write ids never repeat
  ClaimOwner(core::HostId self, std::uint32_t partition, OwnerSettings settings, std::uint64_t seed,
             OwnerFaults faults = {});

  /// \brief `now` counts from the Unix epoch and must not run backwards.
  std::vector<OwnerAction> Step(core::Instant now, const OwnerEvent& event);

  /// \brief When the next ClaimTick is due, if any.
  std::optional<core::Instant> NextTick() const;

  enum class Phase { kIdle, kReadingHead, kReadingSegments, kWriting, kArchiving, kComparing };

  struct PendingCall {
    core::HostId from;
    ClaimCall message;
    core::Instant received;
    bool granted_early = false;  ///< only with a deliberate fault
  };
  struct PendingFinish {
    core::HostId from;
    ClaimFinish message;
    core::Instant received;
    bool refreshed = false;  ///< looked for in a head that was read after it arrived
  };

 private:
  friend class OwnerDump;
  using Actions = std::vector<OwnerAction>;

  void On(core::Instant now, const ClaimCallReceived& event, Actions& out);
  void On(core::Instant now, const ClaimFinishReceived& event, Actions& out);
  void On(core::Instant now, const StoreReadDone& event, Actions& out);
  void On(core::Instant now, const StoreSwapDone& event, Actions& out);
  void On(core::Instant now, const StoreAnswerLost& event, Actions& out);
  void On(core::Instant now, const StoreUnavailable& event, Actions& out);
  void On(core::Instant now, const ClaimTick& event, Actions& out);

  void Advance(core::Instant now, Actions& out);
  void ExpireCalls(core::Instant now, Actions& out);
  void ReadHead(Actions& out);
  void ReadSegments(Actions& out);
  void HeadRead(core::Instant now, const StoreReadDone& event, Actions& out);
  void SegmentRead(core::Instant now, std::uint64_t number, const StoreReadDone& event,
                   Actions& out);
  void AdoptIncoming();
  void WriteDurable(StoreRevision revision);
  void BackOff(core::Instant now);
  void AbandonReads();
  void RefuseAll(Actions& out);
  void DropBrokenView(core::Instant now, Actions& out);

  void AnswerCalls(core::Instant now, Actions& out);
  void AnswerFinishes(Actions& out);
  /// \brief The completion of this claim that has arrived and is not yet written; null if none has.
  const ClaimFinish* CompletionOf(const Claim& claim) const;
  std::optional<ClaimReply> Evaluate(core::Instant now, const ClaimCall& call) const;
  bool NeedsRefresh() const;
  void Write(core::Instant now, Actions& out);
  void Archive(Actions& out);
  ClaimSegment NextHead(core::Instant now) const;
  void GrantEarly(const ClaimSegment& next, Actions& out);
  bool HeadFull() const;

  core::HostId m_self;
  std::uint32_t m_partition;
  OwnerSettings m_settings;
  OwnerFaults m_faults;
  std::uint64_t m_write_prefix;

  Phase m_phase = Phase::kIdle;
  StoreCallId m_next_call = 1;
  StoreCallId m_call = 0;
  core::Instant m_last_write;
  core::Instant m_retry_at;
  core::Duration m_backoff{};
  bool m_unavailable = false;
  bool m_archived = false;
  std::uint64_t m_corrupt = 0;

  ClaimView m_view;
  std::optional<ClaimSegment> m_writing;
  std::optional<ClaimSegment> m_incoming;
  StoreRevision m_incoming_revision = 0;
  std::vector<std::uint64_t> m_unread;
  std::map<StoreCallId, std::uint64_t> m_segment_reads;
  std::map<std::uint64_t, ClaimSegment> m_fetched;

  std::vector<PendingCall> m_calls;
  std::vector<PendingFinish> m_finishes;
  RecentCalls m_released;
  SegmentEraser m_eraser;
};

}  // namespace cornelrelay::claims
