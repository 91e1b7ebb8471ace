#include "cornelrelay/settings/rank_settings.h"

#include "common_sections.h"
#include "table_reader.h"

namespace cornelrelay::settings {

using internal::Presence;
using internal::TableReader;

RankSettings ParseRankSettings(std::string_view text, const std::string& file) {
  RankSettings settings;
  internal::ReadDocument(text, file, [&](TableReader& root) {
    settings.host = core::HostId(root.Name("host_id"));
    settings.log_level = internal::ReadLogLevel(root);
    if (const auto seed = root.FindInteger("seed", {.min = 0})) {
      settings.seed = static_cast<std::uint64_t>(*seed);
    }
    root.Section("engine", Presence::kRequired, [&](TableReader& table) {
      settings.engine = table.Endpoint("endpoint");
      settings.service = core::ServiceId(table.Name("service"));
    });
    root.Section("listen", Presence::kRequired, [&](TableReader& table) {
      settings.agents = table.Endpoint("agents");
      settings.metrics = table.Endpoint("metrics");
    });
    root.Section("store", Presence::kRequired, [&](TableReader& table) {
      settings.store = table.Endpoint("endpoint");
      settings.store_calls_per_second =
          table.Number("calls_per_second", {1, 10'000}, settings.store_calls_per_second);
    });
    root.Section("limits", Presence::kOptional, [&](TableReader& table) {
      settings.link_mbit_per_second =
          table.Number("link_mbit_per_second", {0.1, 1'000'000}, settings.link_mbit_per_second);
    });
  });
  return settings;
}

RankSettings LoadRankSettings(const std::string& file) {
  return ParseRankSettings(internal::ReadSettingsFile(file), file);
}

}  // namespace cornelrelay::settings
