#include "cornelrelay/profile/invalid_profile_document.h"

#include <algorithm>
#include <utility>

namespace cornelrelay::profile {
namespace {

std::string Describe(const std::string& source, std::vector<DocumentFault> faults) {
  std::sort(faults.begin(), faults.end());
  std::string text;
  for (const DocumentFault& fault : faults) {
    if (!text.empty()) text += '\n';
    text += source + ":" + std::to_string(fault.line) + ":" + std::to_string(fault.column) + ": " +
            fault.message;
  }
  return text;
}

}  // namespace

InvalidProfileDocument::InvalidProfileDocument(const std::string& source,
                                               std::vector<DocumentFault> faults)
    : core::Error("invalid_profile", Describe(source, faults)), m_faults(std::move(faults)) {
  std::sort(m_faults.begin(), m_faults.end());
}

}  // namespace cornelrelay::profile
