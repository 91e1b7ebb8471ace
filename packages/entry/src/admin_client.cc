#include "admin_client.h"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <utility>

#include "cornelrelay/core/http_status.h"
#include "cornelrelay/entry/command_errors.h"
#include "cornelrelay/entry/commands.h"
#include "cornelrelay/net/http_client.h"
#include "read_file.h"

namespace cornelrelay::entry::internal {
namespace {

constexpr std::chrono::seconds kTimeout{20};

std::string CredentialOf(const AdminAccess& access) {
  std::string credential;
  if (!access.credential_file.empty()) {
    credential = ReadFile(access.credential_file);
  } else if (const char* variable = std::getenv("CORNELRELAY_CREDENTIAL")) {
    credential = variable;
  }
  while (!credential.empty() && credential.back() == '\n') credential.pop_back();
  if (credential.empty()) throw CredentialMissing();
  return credential;
}

}  // namespace

std::shared_ptr<AdminAccess> AddAccessOptions(CLI::App& command) {
  auto access = std::make_shared<AdminAccess>();
  command.add_option("--admin", access->admin, "address:port of an entry process's admin port");
  command.add_option("--credential-file", access->credential_file,
                     "file with the operator credential; else CORNELRELAY_CREDENTIAL");
  command.add_option("--author", access->author, "operator name for the history");
  return access;
}

AdminAnswer CallAdmin(const AdminAccess& access, const std::string& method,
                      const std::string& target, const std::string& body) {
  net::HttpRequest request;
  request.method = method;
  request.target = target;
  request.headers["Authorization"] = "Bearer " + CredentialOf(access);
  request.headers["Content-Type"] = "application/json";
  request.body = body;
  boost::asio::io_context context(1);
  net::HttpClient client(context, net::HttpClientLimits{});
  auto result = boost::asio::co_spawn(
      context, client.Fetch(core::ParseEndpoint(access.admin), std::move(request), kTimeout),
      boost::asio::use_future);
  context.run();
  const net::HttpResponse response = result.get();
  AdminAnswer answer;
  answer.status = response.status;
  answer.body = nlohmann::json::parse(response.body, nullptr, false);
  return answer;
}

int PrintError(const AdminAnswer& answer) {
  std::cerr << answer.body.dump(2) << '\n';
  return answer.status == core::kStatusConflict ? kExitConflict : kExitFailure;
}

}  // namespace cornelrelay::entry::internal
