#pragma once

#include <map>
#include <string>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/entry/caller_request.h"
#include "cornelrelay/net/http_message.h"
#include "cornelrelay/settings/account_settings.h"
#include "cornelrelay/settings/credential_digest.h"
#include "cornelrelay/settings/service_settings.h"

namespace cornelrelay::entry {

/// \brief Turns an HTTP request into a CallerRequest.
///
/// \code
/// const CallerRequest request = parser.Parse(id, std::move(http));  // throws RejectedRequest
/// \endcode
class CallerRequestParser {
 public:
  CallerRequestParser(const std::vector<settings::AccountSettings>& accounts,
                      std::vector<settings::ServiceSettings> services);

  /// \throws RejectedRequest
  CallerRequest Parse(const core::RequestId& id, net::HttpRequest http) const;

 private:
  core::ClientAccountId Authenticate(const net::HttpRequest& http) const;
  void ParseModelCall(const net::HttpRequest& http, CallerRequest& request) const;
  void ParsePlainCall(const net::HttpRequest& http, CallerRequest& request) const;

  std::map<settings::CredentialDigest, core::ClientAccountId> m_accounts;
  std::map<std::string, core::ServiceId> m_models;
  std::map<std::string, core::ServiceId> m_plain;
};

}  // namespace cornelrelay::entry
