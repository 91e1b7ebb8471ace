#include <algorithm>

#include "capacity/claims_world.h"
#include "capacity/matters.h"
#include "capacity/meter.h"

namespace cornelrelay::bench {
namespace {

constexpr double kSeconds = 20;

}  // namespace

Table MeasureClaimRates(std::uint64_t seed) {
  Table table(
      "claim-rates",
      "Claims at rising rates: 16 partitions on 350 processes, service time 2 s, answers of "
      "100 bytes, store delay 3 ms, own store budget of each process; CPU is noisy",
      {"claims_per_s", "granted_per_s", "denied_per_s", "store_writes_per_s", "store_reads_per_s",
       "bytes_per_write", "written_bytes_per_s", "messages_per_claim", "message_bytes_per_claim",
       "busiest_process_calls_per_s", "most_partitions", "cpu_us_per_claim"});
  for (const double rate : {10.0, 45.0, 91.0, 228.0, 455.0, 910.0, 1820.0}) {
    ClaimsWorld::Options options;
    options.seed = seed;
    options.claims_per_second = rate;
    ClaimsWorld world(options);
    world.Run(std::chrono::seconds(10));
    world.ResetTally();
    const double before = CpuMicroseconds();
    world.Run(std::chrono::seconds(static_cast<int>(kSeconds)));
    const double cpu = CpuMicroseconds() - before;
    const ClaimsWorld::Tally& t = world.tally();
    std::uint64_t busiest = 0;
    for (const auto& [host, calls] : t.calls_of) busiest = std::max(busiest, calls);
    const auto granted = static_cast<double>(std::max<std::uint64_t>(1, t.granted));
    const auto writes = static_cast<double>(std::max<std::uint64_t>(1, t.writes));
    table.Add(
        {rate, static_cast<double>(t.granted) / kSeconds, static_cast<double>(t.denied) / kSeconds,
         static_cast<double>(t.writes) / kSeconds, static_cast<double>(t.reads) / kSeconds,
         static_cast<double>(t.written_bytes) / writes,
         static_cast<double>(t.written_bytes) / kSeconds, static_cast<double>(t.messages) / granted,
         static_cast<double>(t.message_bytes) / granted, static_cast<double>(busiest) / kSeconds,
         static_cast<double>(world.MostPartitions()), cpu / granted});
  }
  table.Fit("claims_per_s", "written_bytes_per_s", 1820);
  return table;
}

}  // namespace cornelrelay::bench
