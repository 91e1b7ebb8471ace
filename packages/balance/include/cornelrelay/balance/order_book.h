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

struct OrderBookConfig {
  core::Duration timeout = std::chrono::milliseconds(150);      ///< then it counts as unanswered
  core::Duration resend_pause = std::chrono::milliseconds(30);  ///< after an answer
  core::Duration poll_pause = std::chrono::milliseconds(30);    ///< while ranks load a map
  /// Ranks that are sent a map at once. More would fill the link and the memory of a small host.
  std::size_t maps_at_once = 16;
};

/// \brief Gives orders to the ranks of a group, and keeps what came of them in the present phase.
class OrderBook {
 public:
  using Actions = std::vector<SwitchAction>;

  OrderBook(RankIndex ranks, OrderBookConfig config) : m_config(config), m_ranks(ranks) {}

  void SetFence(Fence fence) { m_fence = fence; }
  void SetEpoch(std::uint64_t epoch) { m_epoch = epoch; }

  void BeginPhase();
  /// \brief Rises with each phase.
  std::uint64_t phase() const { return m_phase; }

  /// \brief Gives an order unless the last one is too recent.
  /// \param forwarder rank whose host passes it on, if not the one of this process
  void Send(core::Instant now, RankIndex rank, RankOrder order, Actions& out,
            std::optional<RankIndex> forwarder = std::nullopt);
  /// \brief Asks for the state of a rank, unless the last order is too recent.
  void Poll(core::Instant now, RankIndex rank, Actions& out);
  void PollAll(core::Instant now, Actions& out);
  /// \brief Asks without a pause after an answered order.
  void PollAtOnce(core::Instant now, RankIndex rank, Actions& out);
  void Ended(RankIndex rank, OrderResult result);

  /// \brief An order could be given now.
  bool MaySend(core::Instant now, RankIndex rank) const {
    return MaySend(now, rank, m_config.resend_pause);
  }

  /// \brief An order of this kind was carried out or begun in this phase.
  template <class Order>
  bool Accepted(RankIndex rank) const {
    return m_ranks[rank].accepted.test(Kind<Order>());
  }
  bool AnyAccepted(RankIndex rank) const { return m_ranks[rank].accepted.any(); }
  bool Refused(RankIndex rank) const { return m_ranks[rank].last == OrderResult::kRefused; }
  /// \brief Some order of this phase had no answer, so it may have been carried out.
  bool Unanswered(RankIndex rank) const { return m_ranks[rank].unanswered; }
  /// \brief The last order was of this kind and has ended.
  template <class Order>
  bool JustEnded(RankIndex rank) const {
    return m_ranks[rank].kind == Kind<Order>() && !m_ranks[rank].outstanding;
  }

  /// \brief Lets a refused order be given again.
  void ForgetRefusal(RankIndex rank) { m_ranks[rank].last.reset(); }
  /// \brief The results of this phase no longer hold, as its orders will have other contents.
  void ForgetResults(RankIndex rank);

 private:
  struct Entry {
    bool outstanding = false;
    core::Instant sent{};
    std::uint64_t sent_in = 0;        ///< phase of the last order
    std::size_t kind = 0;             ///< index of the last order
    std::optional<OrderResult> last;  ///< of an order in the present phase
    bool unanswered = false;
    std::bitset<std::variant_size_v<RankOrder>> accepted;  ///< kinds
  };

  bool MaySend(core::Instant now, RankIndex rank, core::Duration pause) const;
  /// \brief Ranks whose last order was of this kind and has neither ended nor timed out.
  std::size_t Pending(core::Instant now, std::size_t kind) const;
  void Give(core::Instant now, RankIndex rank, RankOrder order, std::optional<RankIndex> forwarder,
            Actions& out);

  template <class Order>
  static std::size_t Kind() {
    static const std::size_t kind = RankOrder(Order{}).index();
    return kind;
  }

  OrderBookConfig m_config;
  Fence m_fence = 0;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_phase = 0;
  std::vector<Entry> m_ranks;
};

}  // namespace cornelrelay::balance
