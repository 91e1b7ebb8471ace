#pragma once

#include <rapidcheck.h>

#include <string>

#include "cornelrelay/gossip/record.h"

namespace cornelrelay::gossip::testing {

/// \brief Records with few distinct keys and versions, so that most of them compete.
inline rc::Gen<Record> AnyRecord() {
  return rc::gen::exec([] {
    const auto small = [](int bound) { return *rc::gen::inRange(0, bound); };
    Record record;
    record.key.kind = static_cast<RecordKind>(small(5));
    record.key.subject = std::string(1, static_cast<char>('a' + small(2)));
    record.origin = core::HostId(std::string(1, static_cast<char>('p' + small(2))));
    record.version = {static_cast<std::uint64_t>(small(3) + 1),
                      static_cast<std::uint64_t>(small(3))};
    record.time_to_live = std::chrono::seconds(small(2) * 100);
    record.age = std::chrono::seconds(small(3));
    const core::DataCentreId centre("dc");
    const core::Endpoint address{"127.0.0.1", static_cast<std::uint16_t>(1 + small(3))};
    switch (record.key.kind) {
      case RecordKind::kMember:
        record.payload = MemberState{static_cast<Life>(small(4)), static_cast<Role>(small(2)),
                                     centre, address, static_cast<std::uint64_t>(small(3))};
        break;
      case RecordKind::kUpstream:
        record.payload =
            UpstreamStatus{core::ServiceId("s"), centre, address,
                           Load{static_cast<std::uint8_t>(small(3)), 1, 2, 3}, small(2) == 1};
        break;
      case RecordKind::kCrash:
        record.payload = CrashNote{std::string(static_cast<std::size_t>(small(3)), 'c')};
        break;
      default:
        record.payload = LeavingNotice{static_cast<LeavingScope>(small(2))};
    }
    return record;
  });
}

}  // namespace cornelrelay::gossip::testing
