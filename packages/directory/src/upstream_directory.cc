#include "cornelrelay/directory/upstream_directory.h"

#include <algorithm>
#include <cassert>

namespace cornelrelay::directory {

std::string_view ToString(LeaveReason reason) {
  switch (reason) {
    case LeaveReason::kDraining:
      return "draining";
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
  Expire(now, out);
  return out;
}

void UpstreamDirectory::Apply(core::Instant now, const EntriesChanged& event, Actions& out) {
  while (!m_removals.empty() && now - m_removals.front().at > m_config.removal_window) {
    m_removals.pop_front();
  }
  // All removals are counted before the first is judged.
  for (const EntryChange& change : event.changes) {
    const auto found = m_records.find(change.id);
    if (change.entry || found == m_records.end() || found->second.entry.leaving) continue;
    m_removals.push_back({now, found->second.entry.service});
  }
  for (const EntryChange& change : event.changes) {
    if (change.entry) {
      Put(*change.entry, out);
    } else {
      Remove(now, change.id, out);
    }
  }
}

void UpstreamDirectory::Apply(core::Instant, const StoreLost&, Actions&) { m_store_lost = true; }

void UpstreamDirectory::Apply(core::Instant now, const StoreRegained&, Actions&) {
  if (!m_store_lost) return;
  m_store_lost = false;
  m_store_regained = now;
  for (auto& [id, record] : m_records) {
    if (record.doubted_until) record.doubted_until = now + m_config.return_time;
  }
}

void UpstreamDirectory::Apply(core::Instant, const DirectoryTick&, Actions&) {}

void UpstreamDirectory::Put(const UpstreamEntry& entry, Actions& out) {
  const auto [found, added] = m_records.try_emplace(entry.id, Record{entry, std::nullopt});
  Record& record = found->second;
  const bool restarted = !added && record.entry.incarnation != entry.incarnation;
  const bool left = entry.leaving && (added || !record.entry.leaving);
  const bool joined = !entry.leaving && (added || restarted || record.entry.leaving);
  if (added || record.entry != entry || record.doubted_until) ++m_version;
  record = Record{entry, std::nullopt};
  if (joined) out.emplace_back(UpstreamJoined{entry, restarted});
  if (left) out.emplace_back(UpstreamLeft{entry.id, LeaveReason::kDraining});
}

void UpstreamDirectory::Remove(core::Instant now, const core::UpstreamId& id, Actions& out) {
  const auto found = m_records.find(id);
  if (found == m_records.end() || found->second.doubted_until) return;
  Record& record = found->second;
  const auto doubt = record.entry.leaving ? std::nullopt : DoubtUntil(now, record.entry.service);
  if (doubt) {
    record.doubted_until = doubt;
    out.emplace_back(RemovalDeferred{id, *doubt});
    return;
  }
  if (!record.entry.leaving) out.emplace_back(UpstreamLeft{id, LeaveReason::kRemoved});
  m_records.erase(found);
  ++m_version;
}

std::optional<core::Instant> UpstreamDirectory::DoubtUntil(core::Instant now,
                                                           const core::ServiceId& service) const {
  if (m_store_lost) return now + m_config.return_time;
  if (m_store_regained && now - *m_store_regained < m_config.return_time) {
    return *m_store_regained + m_config.return_time;
  }
  const auto removed = std::count_if(m_removals.begin(), m_removals.end(),
                                     [&](const Removal& r) { return r.service == service; });
  const auto known = std::count_if(m_records.begin(), m_records.end(), [&](const auto& entry) {
    return entry.second.entry.service == service && !entry.second.entry.leaving;
  });
  const bool many = removed > 1 && static_cast<std::size_t>(removed) * m_config.doubt_divisor >
                                       static_cast<std::size_t>(known);
  if (!many) return std::nullopt;
  return now + m_config.doubt_time;
}

void UpstreamDirectory::Expire(core::Instant now, Actions& out) {
  // While the store is away nothing can come back, so nothing is given up either.
  if (m_store_lost) return;
  for (auto it = m_records.begin(); it != m_records.end();) {
    const auto& until = it->second.doubted_until;
    if (!until || now < *until) {
      ++it;
      continue;
    }
    out.emplace_back(UpstreamLeft{it->first, LeaveReason::kLapsed});
    it = m_records.erase(it);
    ++m_version;
  }
}

std::vector<UpstreamEntry> UpstreamDirectory::Usable(const core::ServiceId& service) const {
  std::vector<UpstreamEntry> usable;
  for (const auto& [id, record] : m_records) {
    if (record.entry.service == service && !record.entry.leaving) usable.push_back(record.entry);
  }
  return usable;
}

std::optional<UpstreamEntry> UpstreamDirectory::Find(const core::UpstreamId& id) const {
  const auto found = m_records.find(id);
  if (found == m_records.end()) return std::nullopt;
  return found->second.entry;
}

std::optional<core::Instant> UpstreamDirectory::NextWake() const {
  std::optional<core::Instant> wake;
  if (m_store_lost) return wake;
  for (const auto& [id, record] : m_records) {
    const auto& until = record.doubted_until;
    if (until) wake = std::min(wake.value_or(*until), *until);
  }
  return wake;
}

}  // namespace cornelrelay::directory
