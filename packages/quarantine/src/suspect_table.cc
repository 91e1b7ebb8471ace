#include "cornelrelay/quarantine/suspect_table.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <tuple>
#include <utility>

#include "cornelrelay/core/hash.h"

namespace cornelrelay::quarantine {
namespace {

/// Weights of a crash as evidence, and the sum that quarantines a suspect.
constexpr std::size_t kAnswerBegunWeight = 2;
constexpr std::size_t kAnswerNotBegunWeight = 1;
constexpr std::size_t kQuarantineWeight = 2;

constexpr std::size_t kMaxDoublings = 16;

std::vector<Fingerprint> AllOf(const RequestFeatures& features) {
  std::vector<Fingerprint> all = features.shared_segments;
  all.push_back(features.request);
  return all;
}

bool Has(const RequestFeatures& features, Fingerprint feature) {
  const auto& segments = features.shared_segments;
  return feature == features.request ||
         std::find(segments.begin(), segments.end(), feature) != segments.end();
}

core::Duration Share(core::Duration whole, double share) {
  return core::Duration(
      static_cast<core::Duration::rep>(static_cast<double>(whole.count()) * share));
}

}  // namespace

SuspectTable::SuspectTable(SuspectSettings settings, std::uint64_t seed)
    : m_settings(settings), m_seed(seed) {
  assert(settings.max_known_features > 0 && settings.max_suspects > 0);
}

std::vector<SuspectAction> SuspectTable::Step(core::Instant now, const SuspectEvent& event) {
  Actions out;
  Expire(now, out);
  std::visit([&](const auto& e) { Apply(now, e, out); }, event);
  return out;
}

void SuspectTable::Apply(core::Instant now, const OutputContinued& event, Actions& out) {
  for (const Fingerprint feature : event.features.shared_segments) {
    RememberOutput(feature, now);
    UpdateQuarantine(now, feature, out);
  }
  // Other requests would fill the table, as hardly any comes twice.
  if (!m_suspects.contains(event.features.request)) return;
  RememberOutput(event.features.request, now);
  UpdateQuarantine(now, event.features.request, out);
}

void SuspectTable::Apply(core::Instant now, const RequestLostInCrash& event, Actions& out) {
  const std::uint64_t crash = core::Hash64(event.upstream.value(), event.incarnation);
  std::vector<Fingerprint> added;
  for (const Fingerprint feature : AllOf(event.features)) {
    if (m_outputs.contains(feature)) continue;
    const bool is_request = feature == event.features.request;
    const Crash seen{now, event.answer_begun && !is_request};
    if (AddCrash(feature, crash, seen)) added.push_back(feature);
  }
  LimitCrashes(added);
  const bool changed = std::any_of(added.begin(), added.end(), [&](Fingerprint feature) {
    const auto found = m_suspects.find(feature);
    return found != m_suspects.end() && found->second.crashes.contains(crash);
  });
  if (changed) out.emplace_back(SuspectsChanged{});
  for (const Fingerprint feature : AllOf(event.features)) UpdateQuarantine(now, feature, out);
}

void SuspectTable::Apply(core::Instant now, const SuspectsReported& event, Actions& out) {
  std::vector<Fingerprint> added;
  for (const SuspectReport& report : event.reports) {
    for (const CrashSighting& sighting : report.crashes) {
      if (sighting.age >= m_settings.memory) continue;
      const Crash seen{now - sighting.age, sighting.answer_begun};
      if (AddCrash(report.suspect, sighting.crash, seen)) added.push_back(report.suspect);
    }
    if (report.output_age) RememberOutput(report.suspect, now - *report.output_age);
  }
  LimitCrashes(added);
  for (const SuspectReport& report : event.reports) UpdateQuarantine(now, report.suspect, out);
}

bool SuspectTable::AddCrash(Fingerprint suspect, std::uint64_t crash, const Crash& seen) {
  if (!m_suspects.contains(suspect) && !MakeRoom()) return false;
  Suspect& entry = m_suspects[suspect];
  const auto [found, added] = entry.crashes.try_emplace(crash, seen);
  if (added) {
    entry.trial.reset();  // it has failed, or says nothing any more
    entry.requests = 0;
    entry.all_requests_before = m_request_count;
    return true;
  }
  found->second.time = std::min(found->second.time, seen.time);
  found->second.answer_begun |= seen.answer_begun;
  return false;
}

void SuspectTable::LimitCrashes(const std::vector<Fingerprint>& features) {
  const auto is_over = [&](Fingerprint feature) {
    const auto found = m_suspects.find(feature);
    return found != m_suspects.end() && found->second.crashes.size() > m_settings.max_crashes;
  };
  if (std::none_of(features.begin(), features.end(), is_over)) return;
  std::map<std::uint64_t, std::size_t> suspects_of;
  for (const auto& [feature, suspect] : m_suspects) {
    for (const auto& [crash, seen] : suspect.crashes) ++suspects_of[crash];
  }
  std::set<std::uint64_t> dropped;
  for (const Fingerprint feature : features) {
    if (!is_over(feature)) continue;
    auto& crashes = m_suspects.at(feature).crashes;
    std::vector<std::pair<std::size_t, std::uint64_t>> order;
    order.reserve(crashes.size());
    for (const auto& [crash, seen] : crashes) order.emplace_back(suspects_of[crash], crash);
    std::sort(order.begin(), order.end());
    for (std::size_t n = m_settings.max_crashes; n < order.size(); ++n) {
      crashes.erase(order[n].second);
      dropped.insert(order[n].second);
    }
  }
  // Otherwise a crash of two suspects would no longer be explained by the one that has dropped it.
  for (auto& [feature, suspect] : m_suspects) {
    if (suspect.crashes.size() < m_settings.max_crashes) continue;
    for (const std::uint64_t crash : dropped) {
      // Enough are left to keep the suspect in quarantine.
      if (suspect.crashes.size() > kQuarantineWeight) suspect.crashes.erase(crash);
    }
  }
}

bool SuspectTable::MakeRoom() {
  if (m_suspects.size() < m_settings.max_suspects) return true;
  auto oldest = m_suspects.end();
  for (auto it = m_suspects.begin(); it != m_suspects.end(); ++it) {
    if (IsQuarantined(it->first)) continue;
    const bool older =
        oldest == m_suspects.end() || LastCrash(it->second) < LastCrash(oldest->second);
    if (older) oldest = it;
  }
  if (oldest == m_suspects.end()) return false;
  m_suspects.erase(oldest);
  return true;
}

std::size_t SuspectTable::Weight(const Crash& crash) {
  return crash.answer_begun ? kAnswerBegunWeight : kAnswerNotBegunWeight;
}

core::Instant SuspectTable::LastCrash(const Suspect& suspect) {
  core::Instant last{};
  for (const auto& [id, crash] : suspect.crashes) last = std::max(last, crash.time);
  return last;
}

void SuspectTable::RememberOutput(Fingerprint feature, core::Instant at) {
  const auto [found, added] = m_outputs.try_emplace(feature, at);
  if (!added) {
    found->second = std::max(found->second, at);
    return;
  }
  if (m_outputs.size() <= m_settings.max_known_features) return;
  // Evicts the half that gave output longest ago, so that the next eviction is far away.
  std::vector<core::Instant> times;
  times.reserve(m_outputs.size());
  for (const auto& [known, time] : m_outputs) times.push_back(time);
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(m_outputs, [&](const auto& entry) {
    return entry.second < *middle && !m_suspects.contains(entry.first);
  });
}

void SuspectTable::UpdateQuarantine(core::Instant now, Fingerprint feature, Actions& out) {
  const auto found = m_suspects.find(feature);
  std::size_t weight = 0;
  if (found != m_suspects.end() && !m_outputs.contains(feature)) {
    for (const auto& [id, crash] : found->second.crashes) weight += Weight(crash);
  }
  if (weight >= kQuarantineWeight) {
    if (m_quarantined.insert(feature).second) {
      out.emplace_back(SuspectQuarantined{feature, found->second.crashes.size()});
    }
  } else if (m_quarantined.erase(feature) > 0) {
    if (found != m_suspects.end()) found->second.cleared = now;
    out.emplace_back(SuspectCleared{feature});
  }
}

void SuspectTable::Expire(core::Instant now, Actions& out) {
  std::vector<Fingerprint> changed;
  for (auto& [feature, suspect] : m_suspects) {
    const auto forgotten = std::erase_if(suspect.crashes, [&](const auto& entry) {
      return entry.second.time + m_settings.memory <= now;
    });
    if (forgotten > 0) changed.push_back(feature);
  }
  for (const Fingerprint feature : changed) {
    if (m_suspects.at(feature).crashes.empty()) m_suspects.erase(feature);
    UpdateQuarantine(now, feature, out);
  }
}

double SuspectTable::Jitter(Fingerprint feature) const {
  constexpr std::uint64_t kSteps = 1'000;
  const std::uint64_t step = core::Hash64(std::to_string(feature.value()), m_seed) % kSteps;
  return static_cast<double>(step) / static_cast<double>(kSteps);
}

core::Instant SuspectTable::NextTrial(Fingerprint feature, const Suspect& suspect,
                                      const RequestFeatures& features) const {
  if (suspect.crashes.size() >= m_settings.max_crashes) return core::Instant::max();
  const std::size_t doublings = std::min(suspect.crashes.size() - 1, kMaxDoublings);
  core::Duration delay = m_settings.trial_delay * (std::int64_t{1} << doublings);
  if (HoldsBackMost(suspect) && !HasUntriedSegment(features)) {
    delay = std::min(delay, m_settings.majority_trial_delay);
  }
  return LastCrash(suspect) + delay + Share(delay, m_settings.trial_jitter * Jitter(feature));
}

core::Instant SuspectTable::NextPartialTrial(Fingerprint feature, const Suspect& suspect) const {
  return LastCrash(suspect) + Share(m_settings.partial_trial_window, Jitter(feature));
}

void SuspectTable::CountRequest(const RequestFeatures& features) {
  if (features.shared_segments.empty()) return;
  ++m_request_count;
  for (const Fingerprint feature : AllOf(features)) {
    if (IsQuarantined(feature)) ++m_suspects.at(feature).requests;
  }
}

bool SuspectTable::HoldsBackMost(const Suspect& suspect) const {
  return suspect.requests >= m_settings.majority_requests &&
         2 * suspect.requests > m_request_count - suspect.all_requests_before;
}

bool SuspectTable::HasUntriedSegment(const RequestFeatures& features) const {
  const auto& segments = features.shared_segments;
  return std::any_of(segments.begin(), segments.end(), [this](Fingerprint segment) {
    return !IsQuarantined(segment) && !m_outputs.contains(segment);
  });
}

// A request is new whenever it comes for the first time, so that it was lost once says nothing. Of
// what the upstream had not begun to answer, much may have been waiting there.
bool SuspectTable::MayExplain(Fingerprint other, const Crash& its_loss, const Crash& loss) const {
  if (IsQuarantined(other)) return true;
  if (other.is_request() || m_outputs.contains(other)) return false;
  return its_loss.answer_begun || !loss.answer_begun;
}

bool SuspectTable::IsExplainedWithout(const Suspect& suspect,
                                      const RequestFeatures& features) const {
  std::size_t unexplained_weight = 0;
  bool explained_by_quarantined = true;
  std::set<std::vector<Fingerprint>> quarantined_together;
  for (const auto& [crash, loss] : suspect.crashes) {
    bool may_be_other = false;
    bool may_be_quarantined = false;
    std::vector<Fingerprint> quarantined;
    for (const auto& [other, entry] : m_suspects) {
      const auto its_loss = entry.crashes.find(crash);
      if (its_loss == entry.crashes.end()) continue;
      if (IsQuarantined(other)) quarantined.push_back(other);
      if (Has(features, other) || !MayExplain(other, its_loss->second, loss)) continue;
      may_be_other = true;
      may_be_quarantined = may_be_quarantined || IsQuarantined(other);
    }
    if (!may_be_other) unexplained_weight += Weight(loss);
    explained_by_quarantined = explained_by_quarantined && may_be_quarantined;
    quarantined_together.insert(std::move(quarantined));
  }
  if (suspect.crashes.size() < m_settings.max_crashes) {
    return unexplained_weight == 0 ||
           (unexplained_weight < kQuarantineWeight && !HasUntriedSegment(features));
  }
  // Crashes of different requests show that trials have failed before.
  return explained_by_quarantined && quarantined_together.size() == 1;
}

bool SuspectTable::MayGoOn(const core::RequestId& request, const RequestFeatures& features) const {
  const std::vector<Fingerprint> all = AllOf(features);
  return std::all_of(all.begin(), all.end(), [&](Fingerprint feature) {
    if (!IsQuarantined(feature)) return true;
    const Suspect& suspect = m_suspects.at(feature);
    return suspect.trial == request || IsExplainedWithout(suspect, features);
  });
}

std::optional<core::Duration> SuspectTable::HoldBack(core::Instant now,
                                                     const core::RequestId& request,
                                                     const RequestFeatures& features) {
  if (m_quarantined.empty()) return std::nullopt;
  CountRequest(features);
  std::optional<core::Instant> next;
  std::vector<std::pair<Suspect*, core::Duration>> trials;
  for (const Fingerprint feature : AllOf(features)) {
    if (!IsQuarantined(feature)) continue;
    Suspect& suspect = m_suspects.at(feature);
    if (suspect.trial == request) continue;
    const bool partial = IsExplainedWithout(suspect, features);
    core::Instant free =
        partial ? NextPartialTrial(feature, suspect) : NextTrial(feature, suspect, features);
    if (suspect.trial) free = std::max(free, suspect.trial_end);
    if (free > now) {
      next = std::max(next.value_or(free), free);
    } else {
      trials.emplace_back(&suspect,
                          partial ? m_settings.partial_trial_time : m_settings.trial_time);
    }
  }
  if (next) return std::min(*next, now + m_settings.memory) - now;
  if (!trials.empty()) ++m_trial_count;
  for (const auto& [suspect, duration] : trials) {
    suspect->trial = request;
    suspect->trial_end = now + duration;
  }
  return std::nullopt;
}

bool SuspectTable::IsNextCrashDecisive(const RequestFeatures& features) const {
  return m_suspects.contains(features.request) ||
         std::any_of(features.shared_segments.begin(), features.shared_segments.end(),
                     [this](Fingerprint feature) { return !m_outputs.contains(feature); });
}

std::vector<SuspectReport> SuspectTable::Reports(core::Instant now) const {
  struct Entry {
    Fingerprint feature;
    const Suspect* suspect;
    bool quarantined;
    core::Instant last_crash;
  };
  std::vector<Entry> entries;
  for (const auto& [feature, suspect] : m_suspects) {
    const Entry entry{feature, &suspect, IsQuarantined(feature), LastCrash(suspect)};
    const core::Instant last_change = std::max(entry.last_crash, suspect.cleared);
    const bool recent = now - last_change < m_settings.report_time;
    if (recent || entry.quarantined) entries.push_back(entry);
  }
  std::stable_sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
    return std::tie(b.quarantined, b.last_crash) < std::tie(a.quarantined, a.last_crash);
  });
  if (entries.size() > m_settings.max_reports) entries.resize(m_settings.max_reports);
  std::vector<SuspectReport> reports;
  for (const Entry& entry : entries) {
    SuspectReport report{entry.feature, {}, std::nullopt};
    for (const auto& [id, crash] : entry.suspect->crashes) {
      report.crashes.push_back({id, now - crash.time, crash.answer_begun});
    }
    const auto output = m_outputs.find(entry.feature);
    if (output != m_outputs.end()) report.output_age = now - output->second;
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace cornelrelay::quarantine
