#include <optional>
#include <string>

#include "capacity/catalogue_world.h"
#include "capacity/matters.h"
#include "capacity/meter.h"
#include "capacity/sample_catalogue.h"
#include "cornelrelay/profile/catalogue_codec.h"

namespace cornelrelay::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kEntries = 350;

// Store calls of the minute that starts now, and of its busiest second.
struct Minute {
  double calls = 0;
  double peak = 0;
  double values = 0;
};

Minute NextMinute(CatalogueWorld& world) {
  world.ResetCounts();
  world.Run(seconds(60));
  return {static_cast<double>(world.counts().store_calls), static_cast<double>(world.PeakSecond()),
          static_cast<double>(world.counts().values_read)};
}

}  // namespace

Table MeasureDistribution(std::uint64_t seed, bool confirmations) {
  Table table(confirmations ? "distribution-confirmed" : "distribution",
              std::string("Catalogue distribution, 11 profiles, two watchers in each of 7 data "
                          "centres, ") +
                  (confirmations ? "watchers' confirmations reach the others (design)"
                                 : "confirmations are not sent (entry process as it is)"),
              {"processes", "steady_calls_per_s", "steady_values_per_s_process", "change_calls_16s",
               "change_fetches", "all_have_it_s", "outage_calls_per_s", "return_calls_minute",
               "return_peak_s", "restart_calls_minute", "restart_peak_s"});
  const profile::Catalogue first = SampleCatalogue(11, 0);
  const profile::Catalogue second = Changed(first);
  for (const int processes : {10, 50, 150, 350}) {
    CatalogueWorld::Options options;
    options.seed = seed;
    options.processes = processes;
    options.confirmations = confirmations;
    CatalogueWorld world(options, profile::EncodeCatalogue(first));
    world.Run(seconds(30));
    const Minute steady = NextMinute(world);

    world.ResetCounts();
    const core::Instant published = world.now();
    world.Publish(profile::EncodeCatalogue(second));
    std::optional<core::Duration> all;
    while (world.now() - published < seconds(16)) {
      world.Run(milliseconds(10));
      if (!all && world.AllAt(second.revision())) all = world.now() - published;
    }
    const CatalogueWorld::Counts change = world.counts();

    world.SetOutage(true);
    world.Run(seconds(30));
    const Minute outage = NextMinute(world);
    world.SetOutage(false);
    const Minute back = NextMinute(world);
    world.ResetCounts();
    world.RestartAll();
    const auto at_once = static_cast<double>(world.counts().store_calls);
    const Minute restart = NextMinute(world);
    table.Add({static_cast<double>(processes), steady.calls / 60, steady.values / 60 / processes,
               static_cast<double>(change.store_calls), static_cast<double>(change.peer_fetches),
               all ? std::chrono::duration<double>(*all).count() : -1, outage.calls / 60,
               back.calls, back.peak, restart.calls + at_once, restart.peak + at_once});
  }
  for (const char* column : {"steady_calls_per_s", "change_calls_16s", "all_have_it_s",
                             "return_peak_s", "restart_calls_minute"}) {
    table.Fit("processes", column, kEntries);
  }
  return table;
}

Table MeasureCatalogueSize() {
  Table table("catalogue-size",
              "One catalogue with full history (64 changes, 256 change ids); CPU is noisy",
              {"profiles", "encoded_bytes", "heap_bytes", "encode_cpu_us", "decode_cpu_us"});
  for (const std::size_t profiles : {11U, 50U, 100U, 200U}) {
    const std::string bytes = profile::EncodeCatalogue(SampleCatalogue(profiles, 300));
    constexpr int kRepeats = 20;
    const double before_heap = HeapBytes();
    const profile::Catalogue catalogue = profile::DecodeCatalogue(bytes);
    const double heap = HeapBytes() - before_heap;
    double before = CpuMicroseconds();
    for (int i = 0; i < kRepeats; ++i) profile::DecodeCatalogue(bytes);
    const double decode = (CpuMicroseconds() - before) / kRepeats;
    before = CpuMicroseconds();
    for (int i = 0; i < kRepeats; ++i) profile::EncodeCatalogue(catalogue);
    const double encode = (CpuMicroseconds() - before) / kRepeats;
    table.Add(
        {static_cast<double>(profiles), static_cast<double>(bytes.size()), heap, encode, decode});
  }
  for (const char* column : {"encoded_bytes", "heap_bytes", "decode_cpu_us"}) {
    table.Fit("profiles", column, 200);
  }
  return table;
}

}  // namespace cornelrelay::bench
