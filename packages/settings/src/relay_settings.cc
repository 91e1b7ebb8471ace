#include "cornelrelay/settings/relay_settings.h"

#include "common_sections.h"
#include "table_reader.h"

namespace cornelrelay::settings {
namespace {

using internal::Presence;
using internal::TableReader;

constexpr double kMiB = 1 << 20;
constexpr internal::NumberRange kTimeRange{0.001, 3'600};

void ReadListen(TableReader& table, RelaySettings& settings) {
  settings.callers = table.Endpoint("callers");
  settings.health = table.Endpoint("health");
  settings.peers = table.Endpoint("peers");
  settings.metrics = table.Endpoint("metrics");
}

void ReadStore(TableReader& table, RelaySettings& settings) {
  settings.store = table.Endpoint("endpoint");
  settings.store_calls_per_second =
      table.Number("calls_per_second", {1, 10'000}, settings.store_calls_per_second);
  settings.lapsed_entry_return =
      table.Seconds("lapsed_entry_return_s", kTimeRange, settings.lapsed_entry_return);
}

void ReadLimits(TableReader& table, RelaySettings& settings) {
  const double usual_mib = static_cast<double>(settings.memory_bytes) / kMiB;
  settings.memory_bytes =
      static_cast<std::size_t>(kMiB * table.Number("memory_mib", {16, 1 << 20}, usual_mib));
  settings.descriptors =
      static_cast<std::uint32_t>(table.Number("descriptors", {64, 1 << 20}, settings.descriptors));
  CallerLimitSettings& callers = settings.caller_limits;
  callers.connections_per_address = static_cast<std::uint32_t>(table.Integer(
      "connections_per_address", {.min = 0, .max = 1 << 20}, callers.connections_per_address));
  callers.head_fields = static_cast<std::uint32_t>(
      table.Integer("head_fields", {.min = 0, .max = 1 << 20}, callers.head_fields));
  callers.min_body_rate = static_cast<std::uint32_t>(
      table.Integer("min_body_bytes_per_s", {.min = 0, .max = 1 << 30}, callers.min_body_rate));
  callers.body_grace = table.Seconds("body_grace_s", kTimeRange, callers.body_grace);
}

void ReadRetries(TableReader& table, RelaySettings& settings) {
  settings.retries.ratio = table.Number("ratio", {0, 1}, settings.retries.ratio);
  settings.retries.slack =
      static_cast<std::uint32_t>(table.Number("slack", {0, 1'000'000}, settings.retries.slack));
  settings.retries.window = table.Seconds("window_s", kTimeRange, settings.retries.window);
}

}  // namespace

RelaySettings ParseRelaySettings(std::string_view text, const std::string& file) {
  RelaySettings settings;
  internal::ReadDocument(text, file, [&](TableReader& root) {
    settings.host = core::HostId(root.Name("host_id"));
    settings.data_centre = core::DataCentreId(root.Name("data_centre"));
    settings.log_level = internal::ReadLogLevel(root);
    if (const auto seed = root.FindInteger("seed", {.min = 0})) {
      settings.seed = static_cast<std::uint64_t>(*seed);
    }
    settings.shutdown_limit = root.Seconds("shutdown_limit_s", kTimeRange, settings.shutdown_limit);
    root.Section("listen", Presence::kRequired,
                 [&](TableReader& table) { ReadListen(table, settings); });
    root.Section("store", Presence::kRequired,
                 [&](TableReader& table) { ReadStore(table, settings); });
    root.Section("limits", Presence::kOptional,
                 [&](TableReader& table) { ReadLimits(table, settings); });
    root.Section("retries", Presence::kOptional,
                 [&](TableReader& table) { ReadRetries(table, settings); });
  });
  return settings;
}

RelaySettings LoadRelaySettings(const std::string& file) {
  return ParseRelaySettings(internal::ReadSettingsFile(file), file);
}

}  // namespace cornelrelay::settings
