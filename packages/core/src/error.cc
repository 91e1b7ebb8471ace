#include "cornelrelay/core/error.h"

#include <utility>

namespace cornelrelay::core {

Error::Error(std::string code, const std::string& message)
    : std::runtime_error(message), m_code(std::move(code)) {}

}  // namespace cornelrelay::core
