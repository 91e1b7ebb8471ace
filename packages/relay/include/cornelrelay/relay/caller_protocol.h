#pragma once

#include "cornelrelay/core/ids.h"
#include "cornelrelay/net/http_message.h"
#include "cornelrelay/relay/failure.h"
#include "cornelrelay/relay/relay_request.h"

namespace cornelrelay::relay {

/// \brief Translates between HTTP as the callers speak it and the product's types.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  /// \throws MalformedRequest
  virtual RelayRequest Decode(net::HttpRequest request) const = 0;

  /// \brief The answer to a request that ends without an upstream's.
  /// \param id empty if the request has none that can be read
  virtual net::HttpResponse Encode(const Failure& failure, const core::RequestId& id) const = 0;
};

}  // namespace cornelrelay::relay
