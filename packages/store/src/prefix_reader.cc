#include "cornelrelay/store/prefix_reader.h"

#include <algorithm>
#include <utility>

#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::store {
namespace {

/// A single broken watch is usual, as the store may cut one that waits.
constexpr std::uint32_t kFailuresUntilLost = 2;

}  // namespace

PrefixReader::PrefixReader(std::string prefix, const PrefixReaderOptions& options,
                           std::uint64_t seed)
    : m_prefix(std::move(prefix)),
      m_options(options),
      m_backoff(options.retry_base, options.retry_ceiling, seed),
      m_slow_backoff(options.retry_ceiling, options.slow_retry_ceiling, seed + 1) {}

PrefixReader::Actions PrefixReader::Start(core::Instant now) {
  Actions out;
  m_last_answer = now;
  ReadAll(out);
  return out;
}

PrefixReader::Actions PrefixReader::OnReply(core::Instant now, const StoreReply& reply) {
  Actions out;
  m_calling = false;
  std::visit(core::Overloaded{[&](const PrefixRead& page) { OnPage(now, page, out); },
                              [&](const PrefixChanged& changes) { OnChanges(now, changes, out); },
                              [&](const HistoryLost&) {
                                NoteAnswer(now, out);
                                ReadAll(out);
                              },
                              [&](const auto&) { OnFailure(now, reply, out); }},
             reply);
  return out;
}

void PrefixReader::Pause() { m_paused = true; }

PrefixReader::Actions PrefixReader::Resume(core::Instant now, StoreVersion known) {
  Actions out;
  if (!std::exchange(m_paused, false)) return out;
  m_version = std::max(m_version, known);
  if (m_calling) return out;
  m_retry_at.reset();
  if (known.revision > 0) {
    Watch(now, out);
  } else {
    ReadAll(out);
  }
  return out;
}

PrefixReader::Actions PrefixReader::OnTick(core::Instant now) {
  Actions out;
  if (WaitsForResume() || m_calling || !m_retry_at || now < *m_retry_at) return out;
  m_retry_at.reset();
  if (m_watching) {
    Watch(now, out);
  } else {
    ReadAll(out);
  }
  return out;
}

void PrefixReader::ReadAll(Actions& out) {
  m_watching = false;
  m_items.clear();
  m_after_key.clear();
  ReadPage(out);
}

void PrefixReader::ReadPage(Actions& out) {
  m_calling = true;
  out.emplace_back(CallStore{ReadPrefix{m_prefix, m_after_key}});
}

void PrefixReader::Watch(core::Instant now, Actions& out) {
  if (m_paused) return;
  m_calling = true;
  m_watching = true;
  m_watched_at = now;
  out.emplace_back(CallStore{WatchPrefix{m_prefix, m_version.revision, m_options.watch_wait}});
}

void PrefixReader::OnPage(core::Instant now, const PrefixRead& page, Actions& out) {
  NoteAnswer(now, out);
  // Pages are no snapshot: the watch starts at the revision of the first one, so that it repeats
  // whatever changed while the others were read.
  if (m_after_key.empty()) m_version = page.version;
  if (page.version.era != m_version.era) return ReadAll(out);
  m_items.insert(m_items.end(), page.items.begin(), page.items.end());
  if (page.more && !page.items.empty()) {
    m_after_key = page.items.back().key;
    return ReadPage(out);
  }
  m_read = true;
  out.emplace_back(ItemsRead{std::exchange(m_items, {}), m_version});
  Watch(now, out);
}

void PrefixReader::OnChanges(core::Instant now, const PrefixChanged& changes, Actions& out) {
  NoteAnswer(now, out);
  // The revision that was watched from may stand for another change now.
  if (changes.version.era != m_version.era) return ReadAll(out);
  m_version = std::max(m_version, changes.version);
  out.emplace_back(ItemsChanged{changes.changes, m_version});
  const core::Instant next = m_watched_at + m_options.watch_spacing;
  if (changes.changes.empty() || next <= now) return Watch(now, out);
  m_retry_at = next;
}

void PrefixReader::OnFailure(core::Instant now, const StoreReply& reply, Actions& out) {
  ++m_failures;
  if (m_linked && m_failures >= kFailuresUntilLost) {
    m_linked = false;
    out.emplace_back(StoreLinkLost{KindName(reply)});
  }
  if (!m_linked) m_watching = false;
  m_retry_at = now + (m_slow_retries ? m_slow_backoff : m_backoff).Delay(m_failures);
}

void PrefixReader::NoteAnswer(core::Instant now, Actions& out) {
  if (!m_linked) out.emplace_back(StoreLinkRegained{now - m_last_answer});
  m_linked = true;
  m_failures = 0;
  m_last_answer = now;
}

}  // namespace cornelrelay::store
