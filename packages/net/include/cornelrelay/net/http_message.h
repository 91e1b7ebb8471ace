#pragma once

#include <string>

#include "cornelrelay/net/http_headers.h"

namespace cornelrelay::net {

/// \brief A whole HTTP request.
struct HttpRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;

  friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};

/// \brief Status line and header fields of a response whose body is read in pieces.
struct HttpResponseHead {
  int status = 0;
  HttpHeaders headers;

  friend bool operator==(const HttpResponseHead&, const HttpResponseHead&) = default;
};

/// \brief A whole HTTP response.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;

  friend bool operator==(const HttpResponse&, const HttpResponse&) = default;
};

}  // namespace cornelrelay::net
