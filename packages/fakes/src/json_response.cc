#include "cornelrelay/fakes/json_response.h"

#include <nlohmann/json.hpp>

namespace cornelrelay::fakes {

net::HttpResponse JsonResponse(int status, const nlohmann::json& body) {
  net::HttpResponse response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.body = body.dump();
  return response;
}

}  // namespace cornelrelay::fakes
