#include "cornelrelay/gossip/disseminator.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/gossip/message_size.h"

namespace cornelrelay::gossip {
namespace {

// Three targets a round reach 350 members in about 7 rounds; one target needs 15, over the 3 s
// goal.
constexpr std::size_t kUrgentTargets = 3;
// One round in four goes to another data centre, which needs loads only for spill-over.
constexpr std::size_t kFarRound = 4;
// A leaf repeats its own records this seldom; its load updates carry what changes.
constexpr std::size_t kLeafTableRounds = 40;
// Part of a round's bytes that urgent records leave to loads and the table: after a partition they
// would take all of the budget for minutes.
constexpr double kBulkShare = 1.0 / 3;
// Suspicions alone leave more.
constexpr double kBulkShareOfSuspicion = 1.0 / 2;
// Part of a bulk datagram for loads; the rest repeats the table.
constexpr double kLoadShare = 0.85;
constexpr std::size_t kMinimumRoom = 64;
constexpr std::size_t kPushHeader = 4;

}  // namespace

Disseminator::Disseminator(const NodeSettings& settings, const RecordTable& table, Roster& roster)
    : m_settings(settings),
      m_table(table),
      m_roster(roster),
      m_random(settings.random_seed),
      m_budget(settings.bytes_per_second, 2 * settings.round) {
  m_table_cursor.subject = settings.self.value();
}

unsigned Disseminator::SendLimit(Urgency urgency) const {
  const auto log2 = static_cast<unsigned>(std::bit_width(m_roster.gossip().size() + 1));
  return urgency == Urgency::kJoin ? log2 : 3 * log2;
}

std::size_t Disseminator::Overhead() const {
  return EnvelopeBytes(m_settings.self) + kNetworkBytes;
}

std::size_t Disseminator::Room(std::size_t share, double reserve) const {
  const double left = (m_budget.available() - reserve) / static_cast<double>(share) -
                      static_cast<double>(Overhead());
  if (left < kMinimumRoom) return 0;
  return std::min(static_cast<std::size_t>(left), kDatagramLimit - kEnvelopeBytes) - kPushHeader;
}

std::vector<Action> Disseminator::Step(core::Instant now, const DisseminatorEvent& event) {
  std::vector<Action> actions;
  std::visit(core::Overloaded{[&](const DisseminatorTick&) { actions = Round(now); },
                              [&](const News& news) { OnNews(news); },
                              [&](const ContactRestored&) { RearmNotices(); },
                              [&](const BytesSent& sent) { m_budget.Charge(sent.bytes); }},
             event);
  return actions;
}

void Disseminator::OnNews(const News& news) {
  if (news.urgency != Urgency::kRoutine) {
    m_news[news.key] = {news.urgency, 0};
  } else if (news.key.kind == RecordKind::kUpstream) {
    m_loads[news.key] = 0;
  }
}

// Notices are few, and members behind a partition may have missed all of them.
void Disseminator::RearmNotices() {
  for (const auto& [key, stored] : m_table.records()) {
    if (key.kind >= RecordKind::kMember) break;
    const bool crash = key.kind == RecordKind::kCrash;
    m_news.try_emplace(key, Pending{crash ? Urgency::kCrash : Urgency::kLeaving, 0});
  }
}

std::vector<Action> Disseminator::Round(core::Instant now) {
  std::vector<Action> actions;
  if (now < m_next_round) return actions;
  m_next_round = now + m_settings.round;
  m_budget.Refill(now);
  m_roster.Refresh();
  if (m_roster.gossip().empty()) return actions;
  ++m_rounds;
  SendUrgent(now, actions);
  SendBulk(now, actions);
  return actions;
}

void Disseminator::SendUrgent(core::Instant now, std::vector<Action>& actions) {
  const auto& peers = m_roster.gossip();
  const std::size_t first = m_random.Below(peers.size());
  // Distinct targets: a random start and random steps around the list.
  std::size_t offset = 0;
  const bool only_suspicion = std::none_of(m_news.begin(), m_news.end(), [](const auto& news) {
    return news.second.urgency < Urgency::kSuspicion;
  });
  const double reserve = (only_suspicion ? kBulkShareOfSuspicion : kBulkShare) *
                         m_settings.bytes_per_second *
                         std::chrono::duration<double>(m_settings.round).count();
  std::size_t targets = std::min(kUrgentTargets, peers.size());
  while (targets > 1 && Room(targets, reserve) == 0) --targets;
  for (std::size_t i = 0; i < targets; ++i) {
    GossipPush push;
    if (AddNews(now, Room(targets - i, reserve), true, push) == 0) return;
    Emit(peers[(first + offset) % peers.size()], std::move(push), actions);
    const std::size_t spare = peers.size() - offset - (targets - i);
    offset += 1 + (spare == 0 ? 0 : m_random.Below(spare + 1));
  }
}

void Disseminator::SendBulk(core::Instant now, std::vector<Action>& actions) {
  const bool far = m_rounds % kFarRound == 0 && !m_roster.gossip_far().empty();
  const auto& peers = far                              ? m_roster.gossip_far()
                      : m_roster.gossip_near().empty() ? m_roster.gossip()
                                                       : m_roster.gossip_near();
  const bool flat = m_settings.topology == Topology::kFlat;
  const std::size_t room = Room(1, 0);
  if (room == 0) return;
  GossipPush push;
  std::size_t used = AddNews(now, room / 2, false, push);
  used +=
      AddLoads(now, static_cast<std::size_t>(static_cast<double>(room - used) * kLoadShare), push);
  const bool table_due = !m_roster.leaf() || m_rounds % kLeafTableRounds == 0;
  if (table_due) AddTable(now, room - used, push);
  if (push == GossipPush{}) return;
  const auto& from = flat ? m_roster.gossip() : peers;
  // A leaf reports to its homes in turn; each report reaches one of them.
  const std::size_t target =
      m_roster.leaf() ? ++m_reports % from.size() : m_random.Below(from.size());
  Emit(from[target], std::move(push), actions);
}

bool Disseminator::Emit(const core::HostId& to, GossipPush push, std::vector<Action>& actions) {
  if (push == GossipPush{}) return false;
  Message message(std::move(push));
  m_budget.Charge(EncodedSize(message) + Overhead());
  actions.emplace_back(Send{to, m_table.FindMember(to)->control, std::move(message)});
  return true;
}

}  // namespace cornelrelay::gossip
