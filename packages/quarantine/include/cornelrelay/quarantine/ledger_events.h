#pragma once

#include <cstdint>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/quarantine/crash_record.h"
#include "cornelrelay/quarantine/fingerprint.h"
#include "cornelrelay/quarantine/probe_record.h"

namespace cornelrelay::quarantine {

/// \brief An attempt wants to run, now that it has left all queues. Answered by one AllowRun or
/// RefuseRun, for a suspect after the spread time.
struct RunRequested {
  core::AttemptId attempt;
  Fingerprint fingerprint;
  std::vector<core::UpstreamId> candidates;  ///< in the router's order of preference
};

/// \brief The attempt was sent to an upstream.
struct RunStarted {
  core::AttemptId attempt;
  core::UpstreamId upstream;
};

/// \brief The attempt ended while its upstream was alive, or its caller has gone.
struct RunEnded {
  core::AttemptId attempt;
  bool completed = false;
};

/// \brief The upstream process died. A loss of contact with many upstreams at once is the
/// observer's fault and must not be reported as this event.
struct UpstreamFailed {
  core::UpstreamId upstream;
  std::uint64_t incarnation = 0;
};

struct CrashRecordReceived {
  CrashRecord record;
};

struct ProbeRecordReceived {
  ProbeRecord record;
};

/// \brief Time has passed; due at CrashLedger::NextTick().
struct QuarantineTick {};

using LedgerEvent = std::variant<RunRequested, RunStarted, RunEnded, UpstreamFailed,
                                 CrashRecordReceived, ProbeRecordReceived, QuarantineTick>;

/// \brief The attempt may run.
struct AllowRun {
  core::AttemptId attempt;
  core::UpstreamId only;  ///< the only upstream that may run it, for a suspect; else empty
  std::set<core::UpstreamId> excluded;  ///< must not run it: it was running there when they failed
  std::set<core::UpstreamId> avoid;     ///< run a suspect now; used only if nothing else is left
};

enum class RefuseReason : std::uint8_t {
  kQuarantined = 1,  ///< crashed two upstreams within the hour; caller sees `request_quarantined`
  kProbedElsewhere =
      2,  ///< a suspect that runs elsewhere now, or met another suspect; may be sent again later
};

std::string_view ToString(RefuseReason reason);

struct RefuseRun {
  core::AttemptId attempt;
  RefuseReason reason = RefuseReason::kQuarantined;
  core::Duration retry_after{};
};

/// \brief The attempt broke with its upstream. Its caller's answer, or a retry, waits until
/// `until`, so that a resend to another entry process meets the crash record.
struct HoldAnswer {
  core::AttemptId attempt;
  core::Instant until;
};

struct PublishCrash {
  CrashRecord record;
};

struct PublishProbe {
  ProbeRecord record;
};

using LedgerAction = std::variant<AllowRun, RefuseRun, HoldAnswer, PublishCrash, PublishProbe>;

}  // namespace cornelrelay::quarantine
