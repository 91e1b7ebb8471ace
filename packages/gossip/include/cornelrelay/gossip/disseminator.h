#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/gossip/action.h"
#include "cornelrelay/gossip/byte_budget.h"
#include "cornelrelay/gossip/disseminator_event.h"
#include "cornelrelay/gossip/node_settings.h"
#include "cornelrelay/gossip/record_table.h"
#include "cornelrelay/gossip/roster.h"

namespace cornelrelay::gossip {

/// \brief Spreads records to random members within a byte budget.
///
/// A round every 250 ms sends urgent records to three members, then one datagram of joins, load
/// updates and the next part of the table to one member.
/// \code
/// disseminator.Step(now, News{record.key, urgency});
/// for (const Action& action : disseminator.Step(now, DisseminatorTick{})) send(action);
/// \endcode
class Disseminator {
 public:
  Disseminator(const NodeSettings& settings, const RecordTable& table, Roster& roster);

  std::vector<Action> Step(core::Instant now, const DisseminatorEvent& event);

  /// \brief Urgent records, then the next part of the table, of up to `room` bytes for a probe.
  /// A leaf receiver gets entry processes only: it keeps nothing else.
  GossipPush Piggyback(core::Instant now, std::size_t room, bool to_leaf);

  const ByteBudget& budget() const { return m_budget; }
  std::size_t pending_news() const { return m_news.size(); }

 private:
  struct Pending {
    Urgency urgency = Urgency::kRoutine;
    unsigned sent = 0;
  };

  void OnNews(const News& news);
  void RearmNotices();
  std::vector<Action> Round(core::Instant now);
  void SendUrgent(core::Instant now, std::vector<Action>& actions);
  void SendBulk(core::Instant now, std::vector<Action>& actions);
  bool Emit(const core::HostId& to, GossipPush push, std::vector<Action>& actions);
  std::size_t AddNews(core::Instant now, std::size_t room, bool urgent, GossipPush& push);
  std::size_t AddLoads(core::Instant now, std::size_t room, GossipPush& push);
  std::size_t AddLoadsOf(core::Instant now, bool near, std::size_t room, GossipPush& push);
  bool AddLoad(core::Instant now, const StoredRecord& stored, std::size_t room, std::size_t& used,
               GossipPush& push) const;
  std::size_t AddTable(core::Instant now, std::size_t room, GossipPush& push);
  std::size_t AddEntries(core::Instant now, std::size_t room, GossipPush& push);
  bool Far(const RecordKey& key) const;
  unsigned SendLimit(Urgency urgency) const;
  std::size_t Overhead() const;
  std::size_t Room(std::size_t share, double reserve) const;

  const NodeSettings& m_settings;
  const RecordTable& m_table;
  Roster& m_roster;
  core::Random m_random;
  ByteBudget m_budget;
  core::Instant m_next_round{};
  std::size_t m_rounds = 0;
  std::size_t m_reports = 0;
  std::map<RecordKey, Pending> m_news;
  std::map<RecordKey, unsigned> m_loads;  // times that the current load was sent
  RecordKey m_table_cursor;
  RecordKey m_notice_cursor;
  std::size_t m_entry_cursor = 0;
};

}  // namespace cornelrelay::gossip
