#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cornelrelay/balance/fence_guard.h"
#include "cornelrelay/balance/switch_leader.h"
#include "cornelrelay/core/random.h"

namespace cornelrelay::balance {

/// \brief Engine of one rank as its protocol describes it.
class ArmedEngine {
 public:
  explicit ArmedEngine(std::vector<std::uint16_t> experts) { Reset(0, std::move(experts)); }

  void Reset(std::uint64_t epoch, std::vector<std::uint16_t> experts);
  OrderResult Order(std::uint64_t epoch, const RankOrder& order);
  /// \brief Begins a pass; switches the map if it is armed for it.
  void Begin(StepIndex step);
  bool Blocks(StepIndex step) const { return m_state.held == step; }
  const RankState& state() const { return m_state; }
  const LayerMap& content() const { return m_content; }

 private:
  OrderResult Do(const PrepareMap& order);
  OrderResult Do(const ArmMap& order);
  OrderResult Do(const DisarmMap& order);
  OrderResult Do(const HoldPass& order);
  OrderResult Do(const ReleasePass& order);
  OrderResult Do(const ObserveRank&) { return OrderResult::kDone; }

  RankState m_state;
  LayerMap m_content;  ///< of the map in use; empty for the first one
  LayerMap m_prepared_content;
  MapVersion m_highest = 0;
};

/// \brief Faults with which the test shows that its checks bite.
enum class SwitchFault {
  kNone,
  kReleaseUnconfirmed,  ///< releases the pass without looking at the ranks
  kSkipAbort,           ///< releases a failed switch without making the ranks safe
  kReuseVersions,       ///< two leaders use the same versions for different maps
  kBelieveOldStates,    ///< takes every state for the newest
  kIgnoreFence,         ///< the gates let orders of former leaders pass
};

struct ArmedWorldSettings {
  RankIndex ranks = 3;
  double lost = 0;         ///< share of orders without an answer that are not carried out
  double late = 0;         ///< share of orders without an answer that are carried out later
  double answer_lost = 0;  ///< share of orders that are carried out at once without an answer
  double freeze = 0;       ///< chance per tick that the leader freezes
  double lapse = 0;        ///< chance per tick that the lease of a live leader lapses
  double regroup = 0;      ///< chance per tick that the group forms anew
  SwitchFault fault = SwitchFault::kNone;
};

/// \brief Two candidates for the leadership of one group, and the engines of its ranks.
class ArmedWorld {
 public:
  ArmedWorld(ArmedWorldSettings settings, std::uint64_t seed);

  void Run(int ticks);

  /// \brief Rules that were broken.
  const std::set<std::string>& violations() const { return m_violations; }
  std::uint64_t switches() const { return m_switches; }
  /// \brief Times that a leader wanted the states of all ranks.
  std::uint64_t state_reads() const { return m_state_reads; }
  std::uint64_t passes() const { return m_passes; }
  /// \brief The longest time for which a pass was held.
  int longest_hold() const { return m_longest_hold; }

 private:
  struct LateOrder {
    core::Instant at;
    RankIndex rank;
    std::uint64_t epoch;
    RankOrder order;
  };
  struct Observation {
    core::Instant at;
    RankObserved event;
  };
  struct Candidate {
    SwitchLeader machine;
    bool leads = false;
    core::Instant frozen_until{};
    core::Instant lease_until{};
    std::vector<Observation> observations;  ///< on their way
  };

  void Tick();
  void Elect();
  void Pass();
  void Drive(std::size_t index, const SwitchEvent& event);
  void Observe(std::size_t index);
  OrderEnded Carry(const SendOrder& send);
  std::vector<std::uint16_t> FirstExperts(RankIndex rank) const;

  ArmedWorldSettings m_settings;
  core::Random m_random;
  core::Instant m_now{};
  std::vector<ArmedEngine> m_engines;
  std::vector<FenceGuard> m_gates;
  std::vector<Candidate> m_candidates;
  std::vector<LateOrder> m_late;
  Fence m_fence = 0;
  std::uint64_t m_epoch = 1;
  StepIndex m_step = 0;
  std::uint64_t m_passes = 0;  ///< over all epochs
  int m_blocked = 0;           ///< passes in a row that were held
  int m_longest_hold = 0;
  std::uint64_t m_switches = 0;
  std::uint64_t m_state_reads = 0;
  std::set<std::string> m_violations;
};

}  // namespace cornelrelay::balance
