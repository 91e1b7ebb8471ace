#pragma once

#include <utility>

#include "cornelrelay/core/error.h"
#include "cornelrelay/entry/typed_error.h"

namespace cornelrelay::entry {

/// \brief A caller's request that was refused before any decision was made about it.
class RejectedRequest : public core::Error {
 public:
  RejectedRequest(int status, const std::string& type, const std::string& message)
      : Error(type, message), m_error{status, type, message, core::Execution::kNotRun, 0} {}

  const TypedError& error() const { return m_error; }

 private:
  TypedError m_error;
};

}  // namespace cornelrelay::entry
