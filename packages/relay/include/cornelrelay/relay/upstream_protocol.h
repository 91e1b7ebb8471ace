#pragma once

#include "cornelrelay/core/time.h"
#include "cornelrelay/net/http_message.h"
#include "cornelrelay/relay/answer_head.h"
#include "cornelrelay/relay/upstream_order.h"

namespace cornelrelay::relay {

/// \brief Translates between HTTP as the upstreams speak it and the product's types.
class UpstreamProtocol {
 public:
  virtual ~UpstreamProtocol() = default;

  virtual net::HttpRequest Encode(core::Instant now, const UpstreamOrder& order) const = 0;
  virtual AnswerHead Decode(net::HttpResponseHead head) const = 0;
};

}  // namespace cornelrelay::relay
