#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/net/http_message.h"

namespace cornelrelay::fakes {

net::HttpResponse JsonResponse(int status, const nlohmann::json& body);

}  // namespace cornelrelay::fakes
