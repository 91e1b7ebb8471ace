#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace cornelrelay::core {

/// \brief A string identifier of one kind; identifiers of different kinds do not mix.
///
/// \code
/// using HostId = StrongId<struct HostIdTag>;
/// const HostId host("entry-1");
/// \endcode
template <class Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : m_value(std::move(value)) {}

  const std::string& value() const { return m_value; }
  bool empty() const { return m_value.empty(); }

  friend auto operator<=>(const StrongId&, const StrongId&) = default;
  friend bool operator==(const StrongId&, const StrongId&) = default;
  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.m_value;
  }

 private:
  std::string m_value;
};

}  // namespace cornelrelay::core

template <class Tag>
struct std::hash<cornelrelay::core::StrongId<Tag>> {
  std::size_t operator()(const cornelrelay::core::StrongId<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
};
