#pragma once

#include <string>

#include "cornelrelay/core/error.h"

namespace cornelrelay::entry {

/// \brief A file named on the command line cannot be read.
class FileUnreadable : public core::Error {
 public:
  explicit FileUnreadable(const std::string& file)
      : Error("file_unreadable", "cannot read " + file) {}
};

/// \brief No operator credential was given.
class CredentialMissing : public core::Error {
 public:
  CredentialMissing()
      : Error("credential_missing",
              "give the operator credential in CORNELRELAY_CREDENTIAL or by --credential-file") {}
};

}  // namespace cornelrelay::entry
