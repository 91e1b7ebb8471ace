#include "cornelrelay/settings/agent_settings.h"

#include "common_sections.h"
#include "table_reader.h"

namespace cornelrelay::settings {

namespace {

constexpr internal::IntegerRange kPollRange{50, 10'000};
constexpr std::int64_t kDefaultPollMs = 500;

}  // namespace

AgentSettings ParseAgentSettings(std::string_view text, const std::string& file) {
  using internal::Presence;
  using internal::TableReader;
  AgentSettings settings;
  internal::ReadDocument(text, file, [&](TableReader& root) {
    settings.common = internal::ReadCommon(root);
    settings.poll_interval = root.Milliseconds("poll_interval_ms", kPollRange, kDefaultPollMs);
    root.Section("listen", Presence::kRequired,
                 [&](TableReader& table) { settings.common.control = table.Endpoint("control"); });
    root.Section("upstream", Presence::kRequired, [&](TableReader& table) {
      settings.upstream = core::UpstreamId(table.Name("id"));
      settings.upstream_endpoint = table.Endpoint("endpoint");
      settings.service = core::ServiceId(table.Name("service"));
      settings.kind = internal::ReadServiceKind(table);
      settings.honours_fencing = table.Boolean("honours_fencing", false);
    });
    internal::RemoveOwnPeer(settings.common);
  });
  return settings;
}

AgentSettings LoadAgentSettings(const std::string& file) {
  return ParseAgentSettings(internal::ReadSettingsFile(file), file);
}

}  // namespace cornelrelay::settings
