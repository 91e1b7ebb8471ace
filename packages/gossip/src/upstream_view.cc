#include "cornelrelay/gossip/upstream_view.h"

namespace cornelrelay::gossip {

KnownUpstream UpstreamView::Describe(const StoredRecord& stored, core::Instant now) const {
  const Record& record = stored.record;
  const auto& status = std::get<UpstreamStatus>(record.payload);
  // A notice holds for the incarnation that gave it: a restarted agent serves again.
  const auto noticed = [&](RecordKind kind, const std::string& subject) {
    const StoredRecord* notice = m_table.Find({kind, subject});
    return notice != nullptr && notice->record.version.incarnation >= record.version.incarnation;
  };
  const bool leaving = status.draining ||
                       noticed(RecordKind::kUpstreamLeaving, record.key.subject) ||
                       noticed(RecordKind::kHostLeaving, record.origin.value());
  return {core::UpstreamId(record.key.subject), record.origin, status, now - stored.issued,
          leaving};
}

std::vector<KnownUpstream> UpstreamView::All(core::Instant now) const {
  std::vector<KnownUpstream> all;
  const auto& records = m_table.records();
  for (auto it = records.lower_bound({RecordKind::kUpstream, ""});
       it != records.end() && it->first.kind == RecordKind::kUpstream; ++it) {
    all.push_back(Describe(it->second, now));
  }
  return all;
}

std::vector<KnownUpstream> UpstreamView::Usable(core::Instant now) const {
  std::vector<KnownUpstream> usable = All(now);
  std::erase_if(usable, [](const KnownUpstream& upstream) { return upstream.leaving; });
  return usable;
}

std::optional<KnownUpstream> UpstreamView::Find(const core::UpstreamId& upstream,
                                                core::Instant now) const {
  const StoredRecord* stored = m_table.Find({RecordKind::kUpstream, upstream.value()});
  if (stored == nullptr) return std::nullopt;
  return Describe(*stored, now);
}

}  // namespace cornelrelay::gossip
