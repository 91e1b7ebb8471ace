#pragma once

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "cornelrelay/core/endpoint.h"

namespace CLI {  // NOLINT(readability-identifier-naming): the name of the library
class App;
}

namespace cornelrelay::entry::internal {

/// \brief Where and as whom an operator command calls the admin API.
struct AdminAccess {
  std::string admin = "127.0.0.1:8081";
  std::string credential_file;
  std::string author;
};

/// \brief Status and JSON body of an answer of the admin API.
struct AdminAnswer {
  int status = 0;
  nlohmann::json body;
};

/// \brief Adds --admin and --credential-file to a command.
std::shared_ptr<AdminAccess> AddAccessOptions(CLI::App& command);

/// \brief Makes one blocking call.
/// \throws net::ConnectFailed, net::ExchangeBroken, CredentialMissing, FileUnreadable
AdminAnswer CallAdmin(const AdminAccess& access, const std::string& method,
                      const std::string& target, const std::string& body = {});

/// \brief Prints an error answer and returns the exit code.
int PrintError(const AdminAnswer& answer);

}  // namespace cornelrelay::entry::internal
