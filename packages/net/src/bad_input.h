#pragma once

#include <boost/system/error_code.hpp>
#include <optional>
#include <string>

#include "cornelrelay/net/http_message.h"

namespace cornelrelay::net::internal {

/// \brief An error in the JSON form of all own errors, for a request that was not run.
HttpResponse TypedError(int status, const std::string& type, const std::string& message);

/// \brief The typed error for a request that could not be parsed, or nothing when the connection
/// just ended.
std::optional<HttpResponse> BadInputResponse(const boost::system::error_code& reason);

}  // namespace cornelrelay::net::internal
