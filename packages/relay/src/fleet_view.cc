#include "cornelrelay/relay/fleet_view.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <variant>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/relay/internal_keys.h"

namespace cornelrelay::relay {
namespace {

/// Prefix of all keys. One reader watches all items because there are few of them and each watch
/// costs store calls.
constexpr std::string_view kAllItems = "";

}  // namespace

FleetView::FleetView(boost::asio::io_context& context, const runtime::ProcessClock& clock,
                     runtime::StoreLink& store, const FleetProtocol& protocol,
                     directory::DirectoryConfig config, telemetry::JsonLog& log,
                     telemetry::MetricRegistry& metrics, std::uint64_t seed, Listener listener)
    : m_clock(clock),
      m_store(store),
      m_protocol(protocol),
      m_log(log),
      m_metrics(metrics),
      m_listener(std::move(listener)),
      m_reader(std::string(kAllItems), store::PrefixReaderOptions{.watch_wait = kFleetWatchTimeout},
               seed),
      m_upstreams(config),
      m_reader_timer(context, clock, [this] { Run(m_reader.OnTick(m_clock.Now())); }),
      m_directory_timer(context, clock, [this] { StepUpstreams({directory::DirectoryTick{}}); }) {}

void FleetView::Start() { Run(m_reader.Start(m_clock.Now())); }

void FleetView::Run(const store::PrefixReader::Actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& a) { Perform(a); }, action);
  }
  if (const auto wake = m_reader.NextWake()) m_reader_timer.SetAt(*wake);
}

void FleetView::Perform(const store::CallStore& action) {
  m_metrics
      .GetCounter("cornelrelay_store_calls_total", "Calls to the store.",
                  {{"call", std::string(KindName(action.request))}})
      .Add();
  m_store.Call(action.request, [this](const store::StoreReply& reply) {
    Run(m_reader.OnReply(m_clock.Now(), reply));
  });
}

void FleetView::Perform(const store::ItemsRead& action) {
  m_loaded = true;
  ReplaceAll(action.items, action.version, "store");
  m_listener.on_items_changed();
}

void FleetView::Perform(const store::ItemsChanged& action) {
  ApplyChanges(m_cache.Merge(action.changes, action.version), "store");
  m_listener.on_items_changed();
}

void FleetView::Perform(const store::StoreLinkLost& action) {
  m_log.Warning("store_lost",
                {{"reason", action.reason}, {"revision", m_cache.version().revision}});
  m_listener.on_items_changed();
}

void FleetView::Perform(const store::StoreLinkRegained& action) {
  m_log.Warning("store_regained",
                {{"outage_us", action.outage}, {"revision", m_cache.version().revision}});
  m_listener.on_items_changed();
}

void FleetView::Merge(const wire::ItemsTransfer& transfer) {
  if (transfer.all_items) {
    ReplaceAll(transfer.changes, transfer.version, "peer");
  } else {
    ApplyChanges(m_cache.Merge(transfer.changes, transfer.version), "peer");
  }
  // It takes effect although the copy of the store holds an older one.
  if (transfer.configuration) ApplyChanges({*transfer.configuration}, "peer");
  m_listener.on_items_changed();
}

wire::ItemsTransfer FleetView::ItemsSince(store::StoreVersion version,
                                          std::uint64_t configuration_version) const {
  wire::ItemsTransfer transfer;
  transfer.version = m_cache.version();
  if (version.era == transfer.version.era) {
    transfer.changes = m_cache.Since(version.revision);
  } else if (version.era < transfer.version.era) {
    transfer.changes = m_cache.Since(0);
    transfer.all_items = true;
  }
  if (configuration_version >= this->configuration_version()) return transfer;
  assert(m_configuration_item);
  // A configuration is by far the largest item; it is not sent twice.
  const auto& changes = transfer.changes;
  const bool included =
      std::find(changes.begin(), changes.end(), *m_configuration_item) != changes.end();
  if (!included) transfer.configuration = m_configuration_item;
  return transfer;
}

void FleetView::ReplaceAll(const std::vector<store::ItemChange>& items, store::StoreVersion version,
                           std::string_view source) {
  const store::StoreVersion before = m_cache.version();
  const bool restored = before.revision > 0 && version.era > before.era;
  if (restored) {
    m_log.Warning("store_restored", {{"era", version.era},
                                     {"era_before", before.era},
                                     {"revision", version.revision},
                                     {"revision_before", before.revision},
                                     {"source", source}});
  }
  ApplyChanges(m_cache.Replace(std::string(kAllItems), items, version), source, restored);
}

void FleetView::NoteLeaving(const core::UpstreamId& upstream, std::uint64_t incarnation) {
  StepUpstreams({directory::LeavingAnnounced{upstream, incarnation}});
}

void FleetView::SetStoreReachable(bool reachable) {
  if (std::exchange(m_store_reachable, reachable) == reachable) return;
  m_log.Warning(reachable ? "fleet_hears_store" : "fleet_lost_store",
                {{"revision", m_cache.version().revision}});
  if (reachable) {
    StepUpstreams({directory::StoreRegained{}});
  } else {
    StepUpstreams({directory::StoreLost{}});
  }
}

void FleetView::SetStoreRole(peers::StoreRole role) {
  if (!m_loaded || std::exchange(m_store_role, role) == role) return;
  m_log.Info("store_role_changed",
             {{"role", ToString(role)}, {"revision", m_cache.version().revision}});
  m_reader.SetSlowRetries(role == peers::StoreRole::kSubstitute);
  if (role == peers::StoreRole::kFollower) {
    m_reader.Pause();
  } else {
    Run(m_reader.Resume(m_clock.Now(), m_cache.version()));
  }
  m_listener.on_items_changed();
}

void FleetView::ApplyChanges(const std::vector<store::ItemChange>& changes, std::string_view source,
                             bool restored) {
  directory::EntriesChanged entries;
  std::vector<directory::DirectoryEvent> events;
  entries.restored = restored;
  for (const store::ItemChange& change : changes) {
    if (change.key.starts_with(kInternalKeyPrefix)) {
      m_listener.on_internal_item(change);
      continue;
    }
    FleetItem decoded = m_protocol.Decode(change);
    std::visit(core::Overloaded{[&](ConfigurationItem& item) {
                                  ApplyConfiguration(change, std::move(item), source);
                                },
                                [&](UpstreamItem& item) {
                                  entries.changes.push_back({item.id, std::move(item.entry)});
                                },
                                [&](const EvacuationItem& item) {
                                  events.emplace_back(directory::EvacuationChanged{
                                      item.data_centre, item.active, restored});
                                },
                                [&](const UnreadableItem& item) {
                                  m_log.Warning("item_unreadable", {{"key", change.key},
                                                                    {"revision", change.revision},
                                                                    {"reason", item.reason}});
                                  m_metrics
                                      .GetCounter("cornelrelay_unreadable_items_total",
                                                  "Items of the store that could not be read.")
                                      .Add();
                                  if (item.upstream) {
                                    entries.changes.push_back({*item.upstream, std::nullopt});
                                  }
                                },
                                [](const UnrelatedItem&) {}},
               decoded);
  }
  // Entries come first, so that orders meet the data centres that were read with them.
  if (restored || !entries.changes.empty()) events.emplace(events.begin(), std::move(entries));
  StepUpstreams(events);
}

void FleetView::ApplyConfiguration(const store::ItemChange& item, ConfigurationItem configuration,
                                   std::string_view source) {
  const std::uint64_t version = configuration.configuration.version;
  const std::uint64_t current = configuration_version();
  if (m_table && version <= current) {
    if (version < current) {
      m_log.Warning("configuration_ignored", {{"version", version},
                                              {"current", current},
                                              {"revision", item.revision},
                                              {"source", source}});
    }
    return;
  }
  m_configuration_item = item;
  m_table = std::make_shared<const routes::RouteTable>(std::move(configuration.configuration));
  m_log.Info("configuration_adopted", {{"version", version},
                                       {"before", current},
                                       {"revision", item.revision},
                                       {"source", source},
                                       {"routes", m_table->configuration().routes.size()}});
  m_metrics.GetGauge("cornelrelay_configuration_version", "Version in force.")
      .Set(static_cast<double>(version));
  m_listener.on_configuration(m_table->configuration());
}

void FleetView::StepUpstreams(const std::vector<directory::DirectoryEvent>& events) {
  const std::uint64_t before = m_upstreams.version();
  for (const directory::DirectoryEvent& event : events) {
    for (const auto& action : m_upstreams.Step(m_clock.Now(), event)) {
      std::visit([this](const auto& a) { Log(a); }, action);
    }
  }
  if (const auto wake = m_upstreams.NextWake()) m_directory_timer.SetAt(*wake);
  if (m_upstreams.version() != before) m_listener.on_upstreams();
}

void FleetView::Log(const directory::UpstreamJoined& action) {
  m_log.Info("upstream_joined", {{"upstream", action.entry.id},
                                 {"service", action.entry.service},
                                 {"endpoint", core::ToString(action.entry.endpoint)},
                                 {"restarted", action.restarted},
                                 {"revision", m_cache.version().revision}});
}

void FleetView::Log(const directory::UpstreamLeft& action) {
  m_log.Info("upstream_left", {{"upstream", action.id},
                               {"reason", ToString(action.reason)},
                               {"revision", m_cache.version().revision}});
}

void FleetView::Log(const directory::RemovalDeferred& action) {
  m_log.Warning("upstream_removal_doubted", {{"upstream", action.id},
                                             {"for_us", action.until - m_clock.Now()},
                                             {"revision", m_cache.version().revision}});
}

void FleetView::Log(const directory::OldEntryIgnored& action) {
  m_log.Warning("upstream_entry_ignored",
                {{"upstream", action.id}, {"revision", m_cache.version().revision}});
}

void FleetView::Log(const directory::DataCentreEvacuated& action) {
  m_log.Warning("data_centre_evacuated", {{"data_centre", action.data_centre},
                                          {"upstreams", action.upstreams},
                                          {"revision", m_cache.version().revision}});
  SetEvacuatedMetric(action.data_centre, true);
}

void FleetView::Log(const directory::DataCentreRestored& action) {
  m_log.Warning("data_centre_restored",
                {{"data_centre", action.data_centre}, {"revision", m_cache.version().revision}});
  SetEvacuatedMetric(action.data_centre, false);
}

void FleetView::Log(const directory::EvacuationPending& action) {
  m_log.Warning("evacuation_of_unknown_data_centre",
                {{"data_centre", action.data_centre}, {"revision", m_cache.version().revision}});
}

void FleetView::Log(const directory::EvacuationEndDeferred& action) {
  m_log.Warning("evacuation_end_doubted", {{"data_centre", action.data_centre},
                                           {"for_us", action.until - m_clock.Now()},
                                           {"revision", m_cache.version().revision}});
}

void FleetView::SetEvacuatedMetric(const core::DataCentreId& data_centre, bool evacuated) {
  m_metrics
      .GetGauge("cornelrelay_data_centre_evacuated",
                "1 while an order keeps requests away from the data centre.",
                {{"data_centre", data_centre.value()}})
      .Set(evacuated ? 1 : 0);
}

}  // namespace cornelrelay::relay
