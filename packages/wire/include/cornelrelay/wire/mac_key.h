#pragma once

#include <string>
#include <string_view>

namespace cornelrelay::wire {

/// \brief Key shared by all own processes; erased from memory when it is destroyed.
class MacKey {
 public:
  /// \brief Throws WeakKey for fewer than 16 bytes.
  explicit MacKey(std::string bytes);
  ~MacKey();
  MacKey(const MacKey&) = default;
  MacKey& operator=(const MacKey&) = delete;

  std::string_view bytes() const { return m_bytes; }

 private:
  std::string m_bytes;
};

}  // namespace cornelrelay::wire
