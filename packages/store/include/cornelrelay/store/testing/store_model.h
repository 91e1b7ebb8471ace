#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/store/store_reply.h"
#include "cornelrelay/store/store_request.h"
#include "cornelrelay/store/token_bucket.h"

namespace cornelrelay::store::testing {

/// \brief In-memory store for tests: revisions, leases, watches, call limit, outage, lost answers.
///
/// Handle() executes a request at once. No reply means that none will come (a lost answer) or, for
/// a watch, that it waits; the replies of waiting watches come from Advance().
///
/// \code
/// StoreModel store;
/// store.LoseAnswers(1);
/// store.Handle(now, 1, CompareAndSwap{"k", 0, "v"});  // nullopt, but the write took effect
/// \endcode
class StoreModel {
 public:
  using CallId = std::uint64_t;
  struct WatchReply {
    CallId call = 0;
    StoreReply reply;
  };
  /// \brief One write that took effect, for oracles. `value` is empty for a deletion.
  struct Write {
    std::string key;
    StoreRevision revision = 0;
    std::optional<std::string> value;
  };

  explicit StoreModel(double calls_per_second = 1e6, double burst = 1e6)
      : m_bucket(calls_per_second, burst) {}

  /// \brief During an outage every call is answered Unavailable and waiting watches break.
  void SetOutage(bool outage) { m_outage = outage; }

  /// \brief The next `count` calls that are no watches take effect without an answer.
  void LoseAnswers(std::uint32_t count) { m_lost_answers = count; }

  std::optional<StoreReply> Handle(core::Instant now, CallId call, const StoreRequest& request) {
    ExpireLeases(now);
    if (m_outage) return Unavailable{};
    ++m_calls;
    if (!m_bucket.TryTake(now)) return RefusedForRate{m_bucket.UntilNext(now)};
    if (const auto* watch = std::get_if<Watch>(&request)) return StartWatch(call, *watch);
    StoreReply reply = Execute(now, request);
    if (m_lost_answers == 0) return reply;
    --m_lost_answers;
    return std::nullopt;
  }

  /// \brief Ends leases that are due, and collects the replies of watches.
  std::vector<WatchReply> Advance(core::Instant now) {
    ExpireLeases(now);
    if (m_outage) {
      for (const auto& [call, watch] : m_watches) m_fired.push_back({call, Unavailable{}});
      m_watches.clear();
    }
    return std::exchange(m_fired, {});
  }

  void CancelWatch(CallId call) { m_watches.erase(call); }

  std::optional<StoredValue> Find(const std::string& key) const {
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) return std::nullopt;
    return found->second.stored;
  }
  const std::vector<Write>& Writes() const { return m_writes; }
  std::uint64_t Calls() const { return m_calls; }
  StoreRevision Revision() const { return m_revision; }

 private:
  struct Entry {
    StoredValue stored;
    LeaseNumber lease = 0;
  };
  struct Lease {
    core::Duration ttl{};
    core::Instant ends{};
  };

  StoreReply Execute(core::Instant now, const StoreRequest& request) {
    return std::visit(
        core::Overloaded{[&](const Get& get) -> StoreReply { return ValueRead{Find(get.key)}; },
                         [&](const CompareAndSwap& swap) { return Swap(swap); },
                         [&](const LeaseGrant& grant) -> StoreReply {
                           const LeaseNumber lease = ++m_last_lease;
                           m_leases[lease] = {grant.ttl, now + grant.ttl};
                           return LeaseGranted{lease, grant.ttl};
                         },
                         [&](const LeaseKeepAlive& keep) -> StoreReply {
                           const auto found = m_leases.find(keep.lease);
                           if (found == m_leases.end()) return LeaseExpired{keep.lease};
                           found->second.ends = now + found->second.ttl;
                           return LeaseGranted{keep.lease, found->second.ttl};
                         },
                         [&](const LeaseRevoke& revoke) -> StoreReply {
                           EndLease(revoke.lease);
                           return LeaseExpired{revoke.lease};
                         },
                         [](const auto&) -> StoreReply { return TimedOut{}; }},
        request);
  }

  StoreReply Swap(const CompareAndSwap& swap) {
    const std::optional<StoredValue> current = Find(swap.key);
    if ((current ? current->revision : 0) != swap.expected) return NotSwapped{current};
    if (swap.lease != 0 && !m_leases.contains(swap.lease)) return LeaseExpired{swap.lease};
    ++m_revision;
    m_entries[swap.key] = {{swap.value, m_revision}, swap.lease};
    Record(swap.key, swap.value);
    return Swapped{m_revision};
  }

  std::optional<StoreReply> StartWatch(CallId call, const Watch& watch) {
    for (const Write& write : m_writes) {
      if (write.key == watch.key && write.revision > watch.after) return EventOf(write);
    }
    m_watches[call] = watch;
    return std::nullopt;
  }

  static WatchEvent EventOf(const Write& write) {
    std::optional<StoredValue> current;
    if (write.value) current = StoredValue{*write.value, write.revision};
    return {write.key, current, write.revision};
  }

  void Record(const std::string& key, const std::optional<std::string>& value) {
    m_writes.push_back({key, m_revision, value});
    for (auto it = m_watches.begin(); it != m_watches.end();) {
      if (it->second.key != key || it->second.after >= m_revision) {
        ++it;
        continue;
      }
      m_fired.push_back({it->first, EventOf(m_writes.back())});
      it = m_watches.erase(it);
    }
  }

  void ExpireLeases(core::Instant now) {
    std::vector<LeaseNumber> due;
    for (const auto& [number, lease] : m_leases) {
      if (lease.ends <= now) due.push_back(number);
    }
    for (const LeaseNumber number : due) EndLease(number);
  }

  void EndLease(LeaseNumber number) {
    if (m_leases.erase(number) == 0) return;
    std::vector<std::string> keys;
    for (const auto& [key, entry] : m_entries) {
      if (entry.lease == number) keys.push_back(key);
    }
    for (const std::string& key : keys) {
      ++m_revision;
      m_entries.erase(key);
      Record(key, std::nullopt);
    }
  }

  TokenBucket m_bucket;
  bool m_outage = false;
  std::uint32_t m_lost_answers = 0;
  StoreRevision m_revision = 0;
  LeaseNumber m_last_lease = 0;
  std::map<std::string, Entry> m_entries;
  std::map<LeaseNumber, Lease> m_leases;
  std::map<CallId, Watch> m_watches;
  std::vector<Write> m_writes;
  std::vector<WatchReply> m_fired;
  std::uint64_t m_calls = 0;
};

}  // namespace cornelrelay::store::testing
