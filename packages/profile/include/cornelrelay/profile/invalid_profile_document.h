#pragma once

#include <string>
#include <vector>

#include "cornelrelay/core/error.h"
#include "cornelrelay/profile/document_fault.h"

namespace cornelrelay::profile {

/// \brief A profile document has faults; `what()` lists all of them, one a line.
class InvalidProfileDocument : public core::Error {
 public:
  InvalidProfileDocument(const std::string& source, std::vector<DocumentFault> faults);

  /// \brief Ordered by line and column.
  const std::vector<DocumentFault>& faults() const { return m_faults; }

 private:
  std::vector<DocumentFault> m_faults;
};

}  // namespace cornelrelay::profile
