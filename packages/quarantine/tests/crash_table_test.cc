#include "cornelrelay/quarantine/crash_table.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "cornelrelay/core/random.h"

namespace cornelrelay::quarantine {
namespace {

CrashRecord RandomRecord(core::Random& random) {
  CrashRecord record;
  record.id = {core::UpstreamId(std::to_string(random.Below(3))), random.Below(2)};
  record.time = core::Instant(std::chrono::minutes(random.Below(50)));
  for (int i = 0; i < 3; ++i) record.suspects.insert(Fingerprint(random.Below(6)));
  if (random.Below(2) == 0) record.cleared.insert(Fingerprint(random.Below(6)));
  return record;
}

// Guards against ledgers that differ after the same records arrived in another order or twice.
TEST_CASE("the order and repetition of records do not matter") {
  CHECK(rc::check([](std::uint64_t seed) {
    core::Random random(seed);
    std::vector<CrashRecord> records;
    for (int i = 0; i < 12; ++i) records.push_back(RandomRecord(random));
    CrashTable one({});
    for (const auto& record : records) one.Merge({}, record);
    for (int i = 0; i < 6; ++i) records.push_back(CrashRecord(records[i]));
    std::shuffle(records.begin(), records.end(), random);
    CrashTable other({});
    for (const auto& record : records) other.Merge({}, record);
    RC_ASSERT(one.crashes() == other.crashes());
    for (std::uint64_t print = 0; print < 6; ++print) {
      RC_ASSERT(one.IsQuarantined(Fingerprint(print)) == other.IsQuarantined(Fingerprint(print)));
      RC_ASSERT(one.IsSuspect(Fingerprint(print)) == other.IsSuspect(Fingerprint(print)));
    }
  }));
}

// Guards against a co-suspect that stays refused, or is forgotten, after the cause was found.
TEST_CASE("a convicted request explains its crashes, and only a completion forgets them") {
  const Fingerprint cause(1);
  const Fingerprint other(2);
  CrashTable table({});
  table.Merge({}, CrashRecord{{core::UpstreamId("a"), 1}, {}, {cause, other}, {}});
  CHECK(table.IsSuspect(other));
  table.Merge({}, CrashRecord{{core::UpstreamId("a"), 2}, {}, {cause}, {}});
  CHECK_FALSE(table.IsQuarantined(cause));  // the same upstream again proves nothing
  table.Merge({}, CrashRecord{{core::UpstreamId("b"), 1}, {}, {cause}, {}});
  CHECK(table.IsQuarantined(cause));
  CHECK_FALSE(table.IsSuspect(other));
  table.Merge({}, CrashRecord{{core::UpstreamId("c"), 1}, {}, {other}, {}});
  CHECK(table.IsQuarantined(other));
  table.Merge({}, CrashRecord{{core::UpstreamId("a"), 1}, {}, {other}, {other}});
  CHECK_FALSE(table.IsQuarantined(other));
  table.Expire(core::Instant(std::chrono::hours(1)));
  CHECK_FALSE(table.IsQuarantined(cause));
  CHECK(table.crashes().empty());
}

}  // namespace
}  // namespace cornelrelay::quarantine
