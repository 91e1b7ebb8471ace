#pragma once

namespace cornelrelay::claims {

/// \brief Deliberate faults; tests use them to show that the checks detect each one. All are off in
/// production.
struct OwnerFaults {
  bool skip_read_back = false;        ///< takes a lost answer for success
  bool grant_before_durable = false;  ///< replies when the write is sent
  bool ignore_revision = false;       ///< overwrites a newer head with its own view
  bool regrant_unknown = false;       ///< grants a claim without an outcome again
  bool skip_seal = false;             ///< archives and rolls over an unsealed head

  friend bool operator==(const OwnerFaults&, const OwnerFaults&) = default;
};

}  // namespace cornelrelay::claims
