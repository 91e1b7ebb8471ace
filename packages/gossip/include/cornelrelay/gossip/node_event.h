#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/gossip/host_list_entry.h"
#include "cornelrelay/gossip/message.h"

namespace cornelrelay::gossip {

/// \brief Time has passed; to be sent at least every 250 ms.
struct Tick {};

/// \brief An authenticated message arrived.
struct Received {
  core::HostId from;
  core::Endpoint endpoint;
  Message message;
};

/// \brief Report of this process's upstream; unchanged reports are passed on every 5 s only.
struct PublishStatus {
  core::UpstreamId upstream;
  UpstreamStatus status;
};

/// \brief The upstream takes no new work from now on.
struct AnnounceLeaving {
  core::UpstreamId upstream;
};

/// \brief This process leaves, with all of its upstreams. Keep ticking for 2 s to spread the
/// notice.
struct Leave {};

/// \brief Spreads a note; a later one of this process about the same subject replaces it.
struct ReportCrash {
  std::string subject;
  CrashNote note;
};

/// \brief This process applied a catalogue revision.
struct SetRevision {
  std::uint64_t revision = 0;
};

/// \brief This process keeps within its share of the limits in a view of the members.
struct PublishStanding {
  LimitStanding standing;
};
struct HostListReceived {
  std::vector<HostListEntry> hosts;
};

/// \brief Part of a peer's table, fetched by TCP when an entry process starts: learning it from
/// gossip rounds would take minutes. Its records are not passed on as news.
struct SnapshotReceived {
  std::vector<Record> records;
};

using NodeEvent = std::variant<Tick, Received, PublishStatus, AnnounceLeaving, Leave, ReportCrash,
                               SetRevision, PublishStanding, HostListReceived, SnapshotReceived>;

}  // namespace cornelrelay::gossip
