#pragma once

#include <optional>
#include <string>

#include "cornelrelay/gossip/crash_note.h"
#include "cornelrelay/quarantine/crash_record.h"
#include "cornelrelay/quarantine/ledger_events.h"
#include "cornelrelay/quarantine/probe_record.h"

namespace cornelrelay::entry::internal {

/// \brief Gossip key of a record, without its reporter.
std::string SubjectOf(const quarantine::CrashRecord& record);
std::string SubjectOf(const quarantine::ProbeRecord& record);

gossip::CrashNote EncodeNote(const quarantine::CrashRecord& record);
gossip::CrashNote EncodeNote(const quarantine::ProbeRecord& record);

/// \brief The ledger event for a note; nothing for a malformed one.
std::optional<quarantine::LedgerEvent> DecodeNote(const gossip::CrashNote& note);

}  // namespace cornelrelay::entry::internal
