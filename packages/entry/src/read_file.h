#pragma once

#include <string>

namespace cornelrelay::entry::internal {

/// \throws FileUnreadable
std::string ReadFile(const std::string& file);

}  // namespace cornelrelay::entry::internal
