#include "cornelrelay/runtime/store_options.h"

namespace cornelrelay::runtime {
namespace {

/// Longest pause before the store is asked again: entries must be back 2 s after its return.
constexpr std::chrono::milliseconds kBackoffCeiling{500};
/// Calls of this much time may be made at once after a pause.
constexpr int kBurstSeconds = 2;

}  // namespace

store::StoreClientOptions UnrepeatedCalls(double calls_per_second,
                                          std::chrono::milliseconds call_timeout,
                                          std::chrono::milliseconds watch_timeout) {
  store::StoreClientOptions options;
  options.calls_per_second = calls_per_second;
  options.burst = kBurstSeconds * calls_per_second;
  options.call_timeout = call_timeout;
  options.watch_timeout = watch_timeout;
  options.attempts = 1;
  options.backoff_ceiling = kBackoffCeiling;
  return options;
}

}  // namespace cornelrelay::runtime
