#include "cornelrelay/directory/upstream_directory.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cornelrelay::directory {

std::string_view ToString(LeaveReason reason) {
  switch (reason) {
    case LeaveReason::kDraining:
      return "draining";
    case LeaveReason::kAnnounced:
      return "announced";
    case LeaveReason::kRemoved:
      return "removed";
    case LeaveReason::kLapsed:
      return "lapsed";
  }
  assert(false);
  return "unknown";
}

std::vector<DirectoryAction> UpstreamDirectory::Step(core::Instant now,
                                                     const DirectoryEvent& event) {
  Actions out;
  std::visit([&](const auto& e) { Apply(now, e, out); }, event);
  ApplyDeferredRemovals(now, out);
  EndDeferredEvacuations(now, out);
  return out;
}

void UpstreamDirectory::Apply(core::Instant now, const EntriesChanged& event, Actions& out) {
  while (!m_removals.empty() && now - m_removals.front().at > m_config.removal_window) {
    m_removals.pop_front();
  }
  if (event.restored) {
    // Upstreams whose entries the store has lost write them again, as after an outage.
    m_store_regained = now;
  }
  // All removals are counted before the first one is applied: the decision to defer depends on how
  // many there are.
  for (const EntryChange& change : event.changes) {
    const auto found = m_records.find(change.id);
    if (change.entry || found == m_records.end() || found->second.entry.leaving) continue;
    m_removals.push_back({now, found->second.entry.service});
  }
  for (const EntryChange& change : event.changes) {
    if (change.entry && event.restored && IsOutdated(*change.entry)) {
      out.emplace_back(OldEntryIgnored{change.id});
    } else if (change.entry) {
      Put(now, *change.entry, event.restored, out);
    } else {
      Remove(now, change.id, out);
    }
  }
}

void UpstreamDirectory::Apply(core::Instant, const LeavingAnnounced& event, Actions& out) {
  const auto found = m_records.find(event.id);
  if (found == m_records.end() || found->second.entry.incarnation != event.incarnation) return;
  Record& record = found->second;
  record.announced_leaving = true;
  if (std::exchange(record.entry.leaving, true)) return;
  ++m_version;
  out.emplace_back(UpstreamLeft{event.id, LeaveReason::kAnnounced});
}

void UpstreamDirectory::Apply(core::Instant now, const EvacuationChanged& event, Actions& out) {
  const auto found = m_evacuations.find(event.data_centre);
  if (event.active && found != m_evacuations.end()) {
    found->second.deferred_until.reset();
  } else if (event.active) {
    m_evacuations.emplace(event.data_centre, Evacuation{});
    ++m_version;
    AnnounceEvacuation(event.data_centre, out);
    if (!m_evacuations.at(event.data_centre).announced) {
      out.emplace_back(EvacuationPending{event.data_centre});
    }
  } else if (found != m_evacuations.end() && event.restored) {
    const core::Instant until = now + m_config.reregistration_time;
    found->second.deferred_until = until;
    out.emplace_back(EvacuationEndDeferred{event.data_centre, until});
  } else if (found != m_evacuations.end()) {
    EndEvacuation(event.data_centre, out);
  }
}

void UpstreamDirectory::AnnounceEvacuation(const core::DataCentreId& data_centre, Actions& out) {
  const auto found = m_evacuations.find(data_centre);
  if (found == m_evacuations.end() || found->second.announced) return;
  const auto upstreams = std::count_if(m_records.begin(), m_records.end(), [&](const auto& entry) {
    return entry.second.entry.data_centre == data_centre;
  });
  if (upstreams == 0) return;
  found->second.announced = true;
  out.emplace_back(DataCentreEvacuated{data_centre, static_cast<std::size_t>(upstreams)});
}

void UpstreamDirectory::EndEvacuation(const core::DataCentreId& data_centre, Actions& out) {
  const auto found = m_evacuations.find(data_centre);
  assert(found != m_evacuations.end());
  const bool announced = found->second.announced;
  m_evacuations.erase(found);
  ++m_version;
  if (announced) out.emplace_back(DataCentreRestored{data_centre});
}

void UpstreamDirectory::EndDeferredEvacuations(core::Instant now, Actions& out) {
  // During a store outage the order cannot be written again.
  if (m_store_lost) return;
  std::vector<core::DataCentreId> ended;
  for (const auto& [data_centre, evacuation] : m_evacuations) {
    const auto& until = evacuation.deferred_until;
    if (until && now >= *until) ended.push_back(data_centre);
  }
  for (const core::DataCentreId& data_centre : ended) EndEvacuation(data_centre, out);
}

bool UpstreamDirectory::MayGetRequests(const UpstreamEntry& entry) const {
  return !entry.leaving && !m_evacuations.contains(entry.data_centre);
}

void UpstreamDirectory::Apply(core::Instant, const StoreLost&, Actions&) { m_store_lost = true; }

void UpstreamDirectory::Apply(core::Instant now, const StoreRegained&, Actions&) {
  if (!m_store_lost) return;
  m_store_lost = false;
  m_store_regained = now;
  for (auto& [id, record] : m_records) {
    if (record.deferred_until) record.deferred_until = now + m_config.reregistration_time;
  }
  for (auto& [data_centre, evacuation] : m_evacuations) {
    if (evacuation.deferred_until) evacuation.deferred_until = now + m_config.reregistration_time;
  }
}

void UpstreamDirectory::Apply(core::Instant, const DirectoryTick&, Actions&) {}

void UpstreamDirectory::Put(core::Instant now, UpstreamEntry entry, bool restored, Actions& out) {
  entry.cold_until.reset();
  if (entry.remaining_warm_up > core::Duration{}) entry.cold_until = now + entry.remaining_warm_up;

  const auto [found, added] = m_records.try_emplace(entry.id, Record{entry, std::nullopt});
  Record& record = found->second;
  m_departures.erase(entry.id);
  const bool restarted = !added && record.entry.incarnation != entry.incarnation;
  // What a copy of the store says may be old, so it only lengthens the cold time. An empty
  // optional is less than any time.
  if (restored && !restarted) {
    entry.cold_until = std::max(entry.cold_until, record.entry.cold_until);
  }
  const bool announced = !restarted && record.announced_leaving;
  entry.leaving |= announced;
  const bool left = entry.leaving && (added || !record.entry.leaving);
  const bool joined = !entry.leaving && (added || restarted || record.entry.leaving);
  if (added || record.entry != entry || record.deferred_until) ++m_version;
  record = Record{entry, std::nullopt, announced};
  if (joined) out.emplace_back(UpstreamJoined{entry, restarted});
  if (left) out.emplace_back(UpstreamLeft{entry.id, LeaveReason::kDraining});
  AnnounceEvacuation(entry.data_centre, out);
}

void UpstreamDirectory::Remove(core::Instant now, const core::UpstreamId& id, Actions& out) {
  const auto found = m_records.find(id);
  if (found == m_records.end() || found->second.deferred_until) return;
  Record& record = found->second;
  const auto deferred_until =
      record.entry.leaving ? std::nullopt : DeferralEnd(now, record.entry.service);
  if (deferred_until) {
    record.deferred_until = deferred_until;
    out.emplace_back(RemovalDeferred{id, *deferred_until});
    return;
  }
  if (!record.entry.leaving) out.emplace_back(UpstreamLeft{id, LeaveReason::kRemoved});
  RememberDeparture(now, record.entry);
  m_records.erase(found);
  ++m_version;
}

std::optional<core::Instant> UpstreamDirectory::DeferralEnd(core::Instant now,
                                                            const core::ServiceId& service) const {
  if (m_store_lost) return now + m_config.reregistration_time;
  if (m_store_regained && now - *m_store_regained < m_config.reregistration_time) {
    return *m_store_regained + m_config.reregistration_time;
  }
  const auto removed = std::count_if(m_removals.begin(), m_removals.end(),
                                     [&](const Removal& r) { return r.service == service; });
  const auto known = std::count_if(m_records.begin(), m_records.end(), [&](const auto& entry) {
    return entry.second.entry.service == service && !entry.second.entry.leaving;
  });
  const bool mass_removal =
      removed > 1 && static_cast<std::size_t>(removed) * m_config.mass_removal_divisor >
                         static_cast<std::size_t>(known);
  if (!mass_removal) return std::nullopt;
  return now + m_config.deferral_time;
}

void UpstreamDirectory::ApplyDeferredRemovals(core::Instant now, Actions& out) {
  // During a store outage no entry can be written again, so no deferred removal takes effect.
  if (m_store_lost) return;
  for (auto it = m_records.begin(); it != m_records.end();) {
    const auto& until = it->second.deferred_until;
    if (!until || now < *until) {
      ++it;
      continue;
    }
    out.emplace_back(UpstreamLeft{it->first, LeaveReason::kLapsed});
    RememberDeparture(now, it->second.entry);
    it = m_records.erase(it);
    ++m_version;
  }
}

bool UpstreamDirectory::IsOutdated(const UpstreamEntry& entry) const {
  const auto order = [](const UpstreamEntry& e) { return std::pair(e.incarnation, e.sequence); };
  if (const auto found = m_records.find(entry.id); found != m_records.end()) {
    return order(entry) < order(found->second.entry);
  }
  const auto departed = m_departures.find(entry.id);
  return departed != m_departures.end() && order(entry) <= order(departed->second.last_entry);
}

void UpstreamDirectory::RememberDeparture(core::Instant now, const UpstreamEntry& entry) {
  std::erase_if(m_departures, [&](const auto& departure) {
    return now - departure.second.at > m_config.departure_memory;
  });
  m_departures.insert_or_assign(entry.id, Departure{now, entry});
}

std::vector<UpstreamEntry> UpstreamDirectory::Usable(const core::ServiceId& service) const {
  std::vector<UpstreamEntry> usable;
  for (const auto& [id, record] : m_records) {
    if (record.entry.service == service && MayGetRequests(record.entry)) {
      usable.push_back(record.entry);
    }
  }
  return usable;
}

std::optional<UpstreamEntry> UpstreamDirectory::Find(const core::UpstreamId& id) const {
  const auto found = m_records.find(id);
  if (found == m_records.end()) return std::nullopt;
  return found->second.entry;
}

std::optional<UpstreamEntry> UpstreamDirectory::FindUsable(const core::UpstreamId& id) const {
  auto entry = Find(id);
  if (entry && !MayGetRequests(*entry)) entry.reset();
  return entry;
}

std::optional<core::Instant> UpstreamDirectory::NextWake() const {
  std::optional<core::Instant> wake;
  if (m_store_lost) return wake;
  for (const auto& [id, record] : m_records) {
    const auto& until = record.deferred_until;
    if (until) wake = std::min(wake.value_or(*until), *until);
  }
  for (const auto& [data_centre, evacuation] : m_evacuations) {
    const auto& until = evacuation.deferred_until;
    if (until) wake = std::min(wake.value_or(*until), *until);
  }
  return wake;
}

}  // namespace cornelrelay::directory
