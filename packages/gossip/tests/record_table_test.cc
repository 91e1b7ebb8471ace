#include "cornelrelay/gossip/record_table.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

#include "cornelrelay/gossip/quantise.h"
#include "cornelrelay/gossip/state_dump.h"
#include "record_generator.h"

namespace cornelrelay::gossip::testing {
namespace {

using namespace std::chrono_literals;

constexpr core::Instant kNow = core::Instant(1h);

std::map<RecordKey, std::pair<Record, core::Instant>> Content(const RecordTable& table) {
  std::map<RecordKey, std::pair<Record, core::Instant>> content;
  for (const auto& [key, stored] : table.records()) content[key] = {stored.record, stored.issued};
  return content;
}

Record Status(std::uint64_t sequence, Load load) {
  Record record;
  record.key.kind = RecordKind::kUpstream;
  record.key.subject = "u";
  record.origin = core::HostId("h");
  record.version = {7, sequence};
  record.time_to_live = 60s;
  record.payload =
      UpstreamStatus{core::ServiceId("s"), core::DataCentreId("d"), {"127.0.0.1", 1}, load, false};
  return record;
}

// Guards against a merge whose result depends on the order or repetition of messages.
TEST_CASE("merging is a lattice join") {
  CHECK(rc::check([] {
    const auto records = *rc::gen::container<std::vector<Record>>(AnyRecord());
    const auto order = *rc::gen::container<std::vector<std::size_t>>(
        records.size() * 2, rc::gen::inRange<std::size_t>(0, records.size() + 1));
    RecordTable straight;
    for (const Record& record : records) straight.Merge(record, kNow);
    RecordTable shuffled;
    for (const std::size_t index : order) {
      if (index < records.size()) shuffled.Merge(records[index], kNow);
    }
    for (auto it = records.rbegin(); it != records.rend(); ++it) shuffled.Merge(*it, kNow);
    RC_ASSERT(Content(straight) == Content(shuffled));
    for (const auto& [key, stored] : straight.records()) shuffled.Merge(Export(stored, kNow), kNow);
    RC_ASSERT(Content(straight) == Content(shuffled));
  }));
}

// Guards against copies that live for ever because each hop restarts the time to live.
TEST_CASE("a record that is passed around expires at its owner's time") {
  RecordTable a;
  RecordTable b;
  const Record notice = Status(1, {});
  core::Instant now = kNow;
  a.Merge(notice, now);
  for (int second = 0; second < 80; ++second, now += 1s) {
    a.Expire(now);
    b.Expire(now);
    if (const auto* stored = a.Find(notice.key)) b.Merge(Export(*stored, now), now);
    if (const auto* stored = b.Find(notice.key)) a.Merge(Export(*stored, now), now);
  }
  CHECK(a.records().empty());
  CHECK(b.records().empty());
}

// Guards against an update that yields another state than the full record of the same version.
TEST_CASE("samples and deltas give the same state as full records") {
  CHECK(rc::check([] {
    const auto loads =
        *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::inRange<std::uint8_t>(0, 4));
    RecordTable owner;
    RecordTable by_sample;
    RecordTable by_delta;
    for (RecordTable* table : {&owner, &by_sample, &by_delta}) table->Merge(Status(1, {}), kNow);
    std::uint64_t sequence = 1;
    for (const std::uint8_t value : loads) {
      owner.Merge(Status(++sequence, Load{value, 0, static_cast<std::uint8_t>(value / 2), 9}),
                  kNow);
      const StoredRecord& stored = *owner.Find({RecordKind::kUpstream, "u"});
      by_sample.Merge(ExportSample(stored, kNow), kNow);
      if (sequence % kBaseInterval == 0) by_delta.Merge(Export(stored, kNow), kNow);
      by_delta.Merge(ExportDelta(stored, kNow), kNow);
    }
    RC_ASSERT(Content(by_sample) == Content(owner));
    RC_ASSERT(Content(by_delta) == Content(owner));
  }));
}

// Guards against an update of an earlier life of the agent, or of an unknown base, being applied.
TEST_CASE("updates without their base are ignored") {
  RecordTable table;
  StatusSample sample{SubjectHash("u", 7), 5, Load{1, 2, 3, 4}, false, {}};
  CHECK(table.Merge(sample, kNow) == MergeResult::kUnknownBase);
  table.Merge(Status(1, {}), kNow);
  sample.subject_hash = SubjectHash("u", 6);
  CHECK(table.Merge(sample, kNow) == MergeResult::kUnknownBase);
  CHECK(table.Merge(StatusDelta{core::UpstreamId("u"), 7, 16, 17, 1, Load{9, 0, 0, 0}, {}}, kNow) ==
        MergeResult::kUnknownBase);
  CHECK(ToJson(table, kNow)["upstreams"]["u"]["running"] == 0);
}

// Guards against codes that lose more than the stated error, or overflow.
TEST_CASE("quantised values are within 2.2 percent") {
  for (double value = 1; value < 400000; value *= 1.07) {
    CHECK(CountOf(QuantiseCount(value)) == Approx(value).epsilon(value < 23 ? 0.5 / value : 0.022));
  }
  CHECK(QuantiseCount(1e12) == 255);
  CHECK(QuantiseCount(-1) == 0);
  CHECK(RatioOf(QuantiseRatio(0.5)) == Approx(0.5).margin(0.002));
}

}  // namespace
}  // namespace cornelrelay::gossip::testing
