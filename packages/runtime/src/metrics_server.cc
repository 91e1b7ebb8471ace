#include "cornelrelay/runtime/metrics_server.h"

#include <optional>
#include <utility>

namespace cornelrelay::runtime {

net::HttpResponse MetricsAnswer(const telemetry::MetricRegistry& metrics,
                                const ProcessClock& clock) {
  net::HttpResponse answer;
  answer.headers["Content-Type"] = "text/plain; version=0.0.4";
  answer.body = metrics.Render(clock.Now());
  return answer;
}

MetricsServer::MetricsServer(boost::asio::io_context& context, const ProcessClock& clock,
                             const core::Endpoint& endpoint,
                             const telemetry::MetricRegistry& metrics)
    : m_clock(clock),
      m_metrics(metrics),
      m_server(context, endpoint, net::HttpServerLimits{}, std::nullopt,
               [this](const net::HttpRequest&, net::ResponseStream& response) {
                 return Serve(response);
               }) {}

boost::asio::awaitable<void> MetricsServer::Serve(net::ResponseStream& response) const {
  net::HttpResponse answer = MetricsAnswer(m_metrics, m_clock);
  co_await response.SendWhole(std::move(answer));
}

}  // namespace cornelrelay::runtime
