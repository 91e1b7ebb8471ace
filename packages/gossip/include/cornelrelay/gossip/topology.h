#pragma once

namespace cornelrelay::gossip {

/// \brief Who gossips with whom.
enum class Topology {
  kFlat,        ///< all processes gossip with all
  kLeafAgents,  ///< agents report to two entry processes of their data centre only
};

/// \brief How load updates travel between full status records.
enum class StatusEncoding {
  kFullRecords,  ///< no updates of their own
  kTypedDeltas,  ///< StatusDelta
  kPackedArray,  ///< StatusSample
};

}  // namespace cornelrelay::gossip
