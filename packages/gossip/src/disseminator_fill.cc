// The part of Disseminator that chooses what a datagram carries.

#include <algorithm>
#include <bit>
#include <tuple>

#include "cornelrelay/gossip/disseminator.h"
#include "cornelrelay/gossip/message_size.h"

namespace cornelrelay::gossip {
namespace {

// Part of the bytes for loads that is kept for other data centres', which count for spill-over
// only.
constexpr double kFarLoadShare = 0.15;

bool Urgent(Urgency urgency) { return urgency < Urgency::kJoin; }

}  // namespace

bool Disseminator::Far(const RecordKey& key) const {
  const StoredRecord* stored = m_table.Find(key);
  if (stored == nullptr) return true;
  const auto* member = std::get_if<MemberState>(&stored->record.payload);
  const auto* status = std::get_if<UpstreamStatus>(&stored->record.payload);
  if (member != nullptr) return member->data_centre != m_settings.data_centre;
  return status != nullptr && status->data_centre != m_settings.data_centre;
}

std::size_t Disseminator::AddNews(core::Instant now, std::size_t room, bool urgent,
                                  GossipPush& push) {
  // Joins of the own data centre go first: after a mass restart all of them take minutes.
  using Rank = std::tuple<Urgency, bool, unsigned>;
  std::vector<std::pair<Rank, const RecordKey*>> order;
  for (const auto& [key, pending] : m_news) {
    if (Urgent(pending.urgency) == urgent) {
      order.push_back({{pending.urgency, !urgent && Far(key), pending.sent}, &key});
    }
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::size_t used = 0;
  std::vector<RecordKey> done;
  for (const auto& [rank, key] : order) {
    const StoredRecord* stored = m_table.Find(*key);
    if (stored == nullptr) {
      done.push_back(*key);
      continue;
    }
    const std::size_t size = EncodedSize(stored->record);
    if (used + size > room) break;
    used += size;
    push.records.push_back(Export(*stored, now));
    Pending& pending = m_news.at(*key);
    if (++pending.sent >= SendLimit(pending.urgency)) done.push_back(*key);
  }
  for (const RecordKey& key : done) m_news.erase(key);
  return used;
}

std::size_t Disseminator::AddLoads(core::Instant now, std::size_t room, GossipPush& push) {
  const auto far_room = static_cast<std::size_t>(static_cast<double>(room) * kFarLoadShare);
  const std::size_t near = AddLoadsOf(now, true, room - far_room, push);
  return near + AddLoadsOf(now, false, room - near, push);
}

bool Disseminator::AddLoad(core::Instant now, const StoredRecord& stored, std::size_t room,
                           std::size_t& used, GossipPush& push) const {
  const bool full = m_settings.encoding == StatusEncoding::kFullRecords ||
                    stored.record.version.sequence == stored.base_sequence;
  if (m_settings.encoding == StatusEncoding::kPackedArray) {
    used += EncodedSize(StatusSample{});
    if (used <= room) push.samples.push_back(ExportSample(stored, now));
  } else if (full) {
    used += EncodedSize(stored.record);
    if (used <= room) push.records.push_back(Export(stored, now));
  } else {
    StatusDelta delta = ExportDelta(stored, now);
    used += EncodedSize(delta);
    if (used <= room) push.deltas.push_back(std::move(delta));
  }
  return used <= room;
}

std::size_t Disseminator::AddLoadsOf(core::Instant now, bool near, std::size_t room,
                                     GossipPush& push) {
  std::vector<std::pair<unsigned, const RecordKey*>> order;
  std::vector<RecordKey> done;
  for (const auto& [key, sent] : m_loads) {
    const StoredRecord* stored = m_table.Find(key);
    if (stored == nullptr) {
      done.push_back(key);
      continue;
    }
    const auto& status = std::get<UpstreamStatus>(stored->record.payload);
    if ((status.data_centre == m_settings.data_centre) == near) order.emplace_back(sent, &key);
  }
  // The cut-off point of equally often sent updates moves with the random start, else keys that
  // sort late would starve.
  if (!order.empty()) {
    const auto start = static_cast<std::ptrdiff_t>(m_random.Below(order.size()));
    std::rotate(order.begin(), order.begin() + start, order.end());
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  const auto spread = static_cast<unsigned>(std::bit_width(m_roster.gossip_near().size())) + 1;
  const unsigned limit = m_roster.leaf() ? 1 : spread;
  std::size_t used = 0;
  for (const auto& [sent, key] : order) {
    std::size_t after = used;
    if (!AddLoad(now, *m_table.Find(*key), room, after, push)) break;
    used = after;
    if (++m_loads.at(*key) >= limit) done.push_back(*key);
  }
  for (const RecordKey& key : done) m_loads.erase(key);
  return used;
}

std::size_t Disseminator::AddTable(core::Instant now, std::size_t room, GossipPush& push) {
  const auto& records = m_table.records();
  const auto members = records.lower_bound({RecordKind::kMember, ""});
  std::size_t used = 0;
  // Notices and crash records get half of the room: they are few and must survive partitions.
  const auto walk = [&](auto begin, auto end, RecordKey& cursor, std::size_t limit) {
    if (begin == end) return;
    const RecordKey* first = nullptr;
    for (auto it = records.upper_bound(cursor);; ++it) {
      if (it == records.end() || it == end || it->first < begin->first) it = begin;
      if (first == &it->first) return;  // once around
      if (first == nullptr) first = &it->first;
      const Record& record = it->second.record;
      const bool skip =
          record.version.incarnation == 0 || (m_roster.leaf() && record.origin != m_settings.self);
      const std::size_t size = EncodedSize(record);
      if (!skip && used + size > limit) return;
      cursor = it->first;
      if (skip) continue;
      used += size;
      push.records.push_back(Export(it->second, now));
    }
  };
  walk(records.begin(), members, m_notice_cursor, room / 2);
  walk(members, records.end(), m_table_cursor, room);
  return used;
}

std::size_t Disseminator::AddEntries(core::Instant now, std::size_t room, GossipPush& push) {
  const auto& entries = m_roster.gossip();
  std::size_t used = 0;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const core::HostId& host = entries[m_entry_cursor % entries.size()];
    const StoredRecord* stored = m_table.Find({RecordKind::kMember, host.value()});
    if (stored == nullptr) break;
    const std::size_t size = EncodedSize(stored->record);
    if (used + size > room) break;
    ++m_entry_cursor;
    if (stored->record.version.incarnation == 0) continue;
    used += size;
    push.records.push_back(Export(*stored, now));
  }
  return used;
}

GossipPush Disseminator::Piggyback(core::Instant now, std::size_t room, bool to_leaf) {
  m_roster.Refresh();
  GossipPush push;
  if (to_leaf) {
    AddEntries(now, room, push);
    return push;
  }
  const std::size_t used = AddNews(now, room, true, push);
  if (!m_roster.leaf()) AddTable(now, room - used, push);
  return push;
}

}  // namespace cornelrelay::gossip
