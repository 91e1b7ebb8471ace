#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cornelrelay/core/time.h"
#include "cornelrelay/quarantine/fingerprint.h"

namespace cornelrelay::quarantine {

/// \brief A crash of an upstream while a request with the reported feature was running there.
struct CrashSighting {
  std::uint64_t crash = 0;  ///< hash of the upstream and its incarnation
  core::Duration age{};     ///< time since the crash
  /// Whether the upstream had begun to answer the request. Otherwise the request may still have
  /// been waiting there.
  bool answer_begun = false;

  friend bool operator==(const CrashSighting&, const CrashSighting&) = default;
};

/// \brief What an entry process knows about one suspect, for the other entry processes. Reports of
/// one suspect merge in any order and any number of times.
struct SuspectReport {
  Fingerprint suspect;
  std::vector<CrashSighting> crashes;
  /// Time since a request with the feature last gave output; empty if none has.
  std::optional<core::Duration> output_age;

  friend bool operator==(const SuspectReport&, const SuspectReport&) = default;
};

}  // namespace cornelrelay::quarantine
