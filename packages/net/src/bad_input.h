#pragma once

#include <boost/system/error_code.hpp>
#include <optional>

#include "cornelrelay/net/http_message.h"

namespace cornelrelay::net::internal {

/// \brief The typed error for a request that could not be parsed, or nothing when the connection
/// just ended.
std::optional<HttpResponse> BadInputResponse(const boost::system::error_code& reason);

}  // namespace cornelrelay::net::internal
