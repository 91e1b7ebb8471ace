#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace cornelrelay::settings {

/// \brief Secret that authenticates messages between own processes. It has no text form.
class ControlKey {
 public:
  ControlKey() = default;
  explicit ControlKey(std::vector<std::uint8_t> bytes) : m_bytes(std::move(bytes)) {}

  const std::vector<std::uint8_t>& bytes() const { return m_bytes; }

  friend bool operator==(const ControlKey&, const ControlKey&) = default;

 private:
  std::vector<std::uint8_t> m_bytes;
};

}  // namespace cornelrelay::settings
