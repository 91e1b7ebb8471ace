#pragma once

#include <string_view>

namespace cornelrelay::core {

/// \brief What is known about the execution of a request.
enum class Execution {
  kNotRun,     ///< proved: no upstream received any byte of it
  kUnknown,    ///< an upstream may have run it in part or in whole
  kCompleted,  ///< it ran to its end
};

/// \brief The name used in caller-facing JSON: `not_run`, `unknown` or `completed`.
std::string_view ToString(Execution execution);

}  // namespace cornelrelay::core
