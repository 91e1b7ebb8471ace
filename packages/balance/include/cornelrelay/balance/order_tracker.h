#pragma once

#include <bitset>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "cornelrelay/balance/switch_messages.h"

namespace cornelrelay::balance {

struct OrderTrackerConfig {
  /// Time after which an order without an answer counts as unanswered.
  core::Duration timeout = std::chrono::milliseconds(150);
  /// The same for an order with a map, which takes longer to transfer.
  core::Duration map_timeout = std::chrono::milliseconds(150);
  /// Minimum time from the sending of an answered order to the next order.
  core::Duration resend_delay = std::chrono::milliseconds(30);
  /// Minimum time from the sending of an answered order to the next poll, for example while ranks
  /// load a map.
  core::Duration poll_delay = std::chrono::milliseconds(30);
  /// Maximum number of ranks that are sent a map at the same time. More would fill the link and the
  /// memory of a small host.
  std::size_t max_concurrent_maps = 16;
};

/// \brief Sends orders to the ranks of a group, limits their rate, and tracks their results within
/// the current phase.
class OrderTracker {
 public:
  using Actions = std::vector<SwitchAction>;

  OrderTracker(RankIndex ranks, OrderTrackerConfig config) : m_config(config), m_ranks(ranks) {}

  void SetFence(Fence fence) { m_fence = fence; }
  void SetEpoch(std::uint64_t epoch) { m_epoch = epoch; }

  /// \brief Begins a new phase, which has no results yet.
  void BeginPhase();
  /// \brief Returns the number of the current phase, which rises with each BeginPhase().
  std::uint64_t phase() const { return m_phase; }

  /// \brief Sends an order unless the last one to the rank is too recent. A PrepareMap also waits
  /// while `max_concurrent_maps` are outstanding.
  /// \param forwarder rank whose agent forwards the order; if absent, the order goes to the target
  /// rank's own agent
  void Send(core::Instant now, RankIndex rank, RankOrder order, Actions& out,
            std::optional<RankIndex> forwarder = std::nullopt);
  /// \brief Requests the state of a rank unless the last order to it is too recent.
  void Poll(core::Instant now, RankIndex rank, Actions& out);
  void PollAll(core::Instant now, Actions& out);
  /// \brief Requests the state of a rank without a delay after an answered order.
  void PollWithoutDelay(core::Instant now, RankIndex rank, Actions& out);
  /// \brief Records the result of the last order, which is then no longer outstanding. The result
  /// of an order of an earlier phase is not kept.
  void RecordResult(RankIndex rank, OrderResult result);

  /// \brief Returns true if an order may be sent now.
  bool MaySend(core::Instant now, RankIndex rank) const {
    return MaySend(now, rank, m_config.resend_delay);
  }

  /// \brief Returns true if an order of this kind was executed or started in this phase.
  template <class Order>
  bool Accepted(RankIndex rank) const {
    return m_ranks[rank].accepted.test(Kind<Order>());
  }
  bool AnyAccepted(RankIndex rank) const { return m_ranks[rank].accepted.any(); }
  bool Refused(RankIndex rank) const { return m_ranks[rank].last_result == OrderResult::kRefused; }
  /// \brief Returns true if an order of this phase had no answer; it may have been executed.
  bool Unanswered(RankIndex rank) const { return m_ranks[rank].unanswered; }
  /// \brief Returns true if the last order was of this kind and has ended.
  template <class Order>
  bool LastOrderEnded(RankIndex rank) const {
    return m_ranks[rank].kind == Kind<Order>() && !m_ranks[rank].outstanding;
  }

  /// \brief Clears the last result, so that a refused order can be sent again.
  void ClearRefusal(RankIndex rank) { m_ranks[rank].last_result.reset(); }
  /// \brief Clears the results of this phase, because its next orders will have other contents.
  void ClearResults(RankIndex rank);

 private:
  struct Entry {
    bool outstanding = false;
    core::Instant sent_at{};
    std::uint64_t sent_phase = 0;            ///< phase of the last order
    std::size_t kind = 0;                    ///< variant index of the last order
    std::optional<OrderResult> last_result;  ///< result of the last order of the current phase
    bool unanswered = false;
    /// Variant indices of the orders accepted in the current phase.
    std::bitset<std::variant_size_v<RankOrder>> accepted;
  };

  bool MaySend(core::Instant now, RankIndex rank, core::Duration delay) const;
  core::Duration TimeoutOf(const Entry& entry) const {
    return entry.kind == Kind<PrepareMap>() ? m_config.map_timeout : m_config.timeout;
  }
  /// \brief Counts the ranks whose last order was of this kind and has neither ended nor timed out.
  std::size_t CountPending(core::Instant now, std::size_t kind) const;
  void EmitOrder(core::Instant now, RankIndex rank, RankOrder order,
                 std::optional<RankIndex> forwarder, Actions& out);

  template <class Order>
  static std::size_t Kind() {
    static const std::size_t kind = RankOrder(Order{}).index();
    return kind;
  }

  OrderTrackerConfig m_config;
  Fence m_fence = 0;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_phase = 0;
  std::vector<Entry> m_ranks;
};

}  // namespace cornelrelay::balance
