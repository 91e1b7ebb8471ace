#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/telemetry/decision_record.h"

namespace cornelrelay::telemetry {

/// \brief The last decisions of a process, found by request id. A caller can send one request id
/// several times, so an id can have several records.
///
/// \code
/// DecisionLog log(10'000);
/// log.Append(record);
/// for (const DecisionRecord& r : log.Find(request)) Print(ToJson(r));
/// \endcode
class DecisionLog {
 public:
  explicit DecisionLog(std::size_t capacity);

  /// \brief Adds a record; drops the oldest one if the log is full.
  void Append(DecisionRecord record);

  /// \brief Records of a request, the newest first.
  std::vector<DecisionRecord> Find(const core::RequestId& request) const;

  /// \brief The last `n` records, the newest first.
  std::vector<DecisionRecord> Recent(std::size_t n) const;

  std::size_t size() const { return m_ring.size(); }

 private:
  void Unindex(std::size_t slot);

  std::size_t m_capacity;
  std::size_t m_next = 0;  ///< slot of the next record
  std::vector<DecisionRecord> m_ring;
  std::map<core::RequestId, std::vector<std::size_t>> m_slots;  ///< oldest first
};

}  // namespace cornelrelay::telemetry
