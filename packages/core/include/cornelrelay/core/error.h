#pragma once

#include <stdexcept>
#include <string>

namespace cornelrelay::core {

/// \brief Base of all exceptions of the project. Each failure derives a type of its own.
class Error : public std::runtime_error {
 public:
  /// \param code stable machine-readable name, e.g. `store_unavailable`
  Error(std::string code, const std::string& message);

  const std::string& code() const { return m_code; }

 private:
  std::string m_code;
};

}  // namespace cornelrelay::core
