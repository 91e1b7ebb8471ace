#pragma once

#include "cornelrelay/core/time.h"
#include "cornelrelay/net/http_message.h"
#include "cornelrelay/relay/upstream_request.h"
#include "cornelrelay/relay/upstream_response_head.h"

namespace cornelrelay::relay {

/// \brief Translates between the upstreams' HTTP messages and the relay's types.
class UpstreamProtocol {
 public:
  virtual ~UpstreamProtocol() = default;

  /// \brief The request without its body, which is sent unchanged.
  virtual net::HttpRequest Encode(core::Instant now,
                                  const UpstreamRequest& upstream_request) const = 0;
  virtual UpstreamResponseHead Decode(net::HttpResponseHead head) const = 0;
};

}  // namespace cornelrelay::relay
