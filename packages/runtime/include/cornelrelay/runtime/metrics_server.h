#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/net/http_message.h"
#include "cornelrelay/net/http_server.h"
#include "cornelrelay/net/response_stream.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::runtime {

/// \brief The metrics in the text exposition format.
net::HttpResponse MetricsAnswer(const telemetry::MetricRegistry& metrics,
                                const ProcessClock& clock);

/// \brief Answers every request on an endpoint with the metrics of the process.
class MetricsServer {
 public:
  MetricsServer(boost::asio::io_context& context, const ProcessClock& clock,
                const core::Endpoint& endpoint, const telemetry::MetricRegistry& metrics);

  void Start() { m_server.Start(); }

 private:
  boost::asio::awaitable<void> Serve(net::ResponseStream& response) const;

  const ProcessClock& m_clock;
  const telemetry::MetricRegistry& m_metrics;
  net::HttpServer m_server;
};

}  // namespace cornelrelay::runtime
