#pragma once

#include "cornelrelay/core/ids.h"
#include "cornelrelay/net/http_message.h"
#include "cornelrelay/relay/failure.h"
#include "cornelrelay/relay/relay_request.h"

namespace cornelrelay::relay {

/// \brief Translates between the callers' HTTP messages and the relay's types.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  /// \brief Decodes a caller's request.
  /// \throws MalformedRequest
  virtual RelayRequest Decode(net::HttpRequest request) const = 0;

  /// \brief Encodes the error response to a request that ends without an upstream's response.
  /// \param id empty if the request has no readable id
  virtual net::HttpResponse Encode(const Failure& failure, const core::RequestId& id) const = 0;
};

}  // namespace cornelrelay::relay
