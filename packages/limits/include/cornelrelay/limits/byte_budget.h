#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace cornelrelay::limits {

/// \brief Memory that all requests of a process share for bytes that they hold, such as bodies.
///
/// \code
/// const auto budget = std::make_shared<ByteBudget>(64 << 20);
/// ByteReservation body(budget);
/// if (!body.Grow(piece.size())) return Refuse();
/// \endcode
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit) : m_limit(limit) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  std::size_t limit() const { return m_limit; }
  std::size_t used() const { return m_used; }
  /// \brief Holds for new reservations; bytes above a lower limit are given back by their holders.
  void SetLimit(std::size_t limit) { m_limit = limit; }

 private:
  friend class ByteReservation;

  std::size_t m_limit;
  std::size_t m_used = 0;
};

/// \brief Part of a ByteBudget that one holder uses. Gives it back when it is destroyed.
class ByteReservation {
 public:
  explicit ByteReservation(std::shared_ptr<ByteBudget> budget) : m_budget(std::move(budget)) {}
  ~ByteReservation() { Resize(0); }
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;

  /// \brief Reserves more bytes, or returns false and changes nothing if the budget is used up.
  [[nodiscard]] bool Grow(std::size_t bytes) { return Resize(m_bytes + bytes); }
  /// \brief Reserves this many bytes in all, or returns false and changes nothing if the budget is
  /// used up. Always succeeds for fewer bytes than before.
  bool Resize(std::size_t bytes) {
    const std::size_t others = m_budget->m_used - m_bytes;
    if (bytes > m_bytes && others + bytes > m_budget->m_limit) return false;
    m_budget->m_used = others + bytes;
    m_bytes = bytes;
    return true;
  }

  std::size_t limit() const { return m_budget->limit(); }

 private:
  std::shared_ptr<ByteBudget> m_budget;
  std::size_t m_bytes = 0;
};

}  // namespace cornelrelay::limits
