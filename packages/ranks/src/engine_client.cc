#include "cornelrelay/ranks/engine_client.h"

#include <utility>

#include "cornelrelay/core/http_status.h"
#include "cornelrelay/net/errors.h"

namespace cornelrelay::ranks {
namespace {

namespace asio = boost::asio;

/// An engine answers calls also during forward passes, within a few milliseconds plus a round trip.
constexpr std::chrono::milliseconds kCallTimeout{200};
/// Short, because the group may be waiting for the order. An order without an answer by then is
/// sent again.
constexpr std::chrono::milliseconds kOrderTimeout{40};
constexpr std::size_t kMaxAnswerBytes = 1'048'576;

}  // namespace

asio::awaitable<std::optional<net::HttpResponse>> EngineClient::Fetch(
    core::Endpoint engine, net::HttpRequest request, std::chrono::milliseconds timeout) {
  std::optional<net::HttpResponse> response;
  const std::string target = request.target;
  try {
    response = co_await m_client.Fetch(engine, std::move(request), timeout, kMaxAnswerBytes,
                                       net::HttpClient::ConnectionUse::kReuse);
  } catch (const core::Error& error) {
    m_log.Warning("engine_call_failed",
                  {{"engine", core::ToString(engine)}, {"call", target}, {"reason", error.what()}});
  }
  co_return response;
}

asio::awaitable<std::optional<balance::RankReport>> EngineClient::FetchReport(
    core::Endpoint engine) {
  const auto response = co_await Fetch(engine, m_protocol.MakeReportRequest(), kCallTimeout);
  std::optional<balance::RankReport> report;
  if (!response || response->status != core::kStatusOk) co_return report;
  try {
    report = m_protocol.DecodeReport(response->body);
  } catch (const core::Error& error) {
    m_log.Warning("engine_report_unreadable", {{"engine", core::ToString(engine)},
                                               {"reason", error.what()},
                                               {"body", response->body.substr(0, 400)}});
  }
  if (report) {
    co_await AddExperts(engine, *report);
  }
  co_return report;
}

asio::awaitable<void> EngineClient::AddExperts(core::Endpoint engine, balance::RankReport& report) {
  CachedExperts& cached = m_cached_experts[engine];
  const auto up_to_date = [&] {
    return !cached.experts.empty() && cached.incarnation == report.incarnation &&
           cached.epoch == report.state.epoch && cached.map == report.state.map;
  };
  if (!up_to_date()) {
    const auto response = co_await Fetch(engine, m_protocol.MakeExpertsRequest(), kCallTimeout);
    if (!response || response->status != core::kStatusOk) co_return;
    try {
      cached.experts = m_protocol.DecodeExperts(response->body);
      cached.incarnation = report.incarnation;
      cached.epoch = report.state.epoch;
      cached.map = report.state.map;
    } catch (const core::Error& error) {
      m_log.Warning("engine_experts_unreadable", {{"engine", core::ToString(engine)},
                                                  {"reason", error.what()},
                                                  {"body", response->body.substr(0, 400)}});
      co_return;
    }
  }
  report.state.experts = cached.experts;
}

asio::awaitable<std::vector<std::uint64_t>> EngineClient::FetchExpertCounts(core::Endpoint engine) {
  const auto response = co_await Fetch(engine, m_protocol.MakeExpertCountsRequest(), kCallTimeout);
  std::vector<std::uint64_t> counts;
  if (!response || response->status != core::kStatusOk) co_return counts;
  try {
    counts = m_protocol.DecodeExpertCounts(response->body);
  } catch (const core::Error& error) {
    m_log.Warning("engine_expert_counts_unreadable", {{"engine", core::ToString(engine)},
                                                      {"reason", error.what()},
                                                      {"body", response->body.substr(0, 400)}});
  }
  co_return counts;
}

asio::awaitable<balance::OrderResult> EngineClient::IssueOrder(core::Endpoint engine,
                                                               balance::RankOrder order,
                                                               std::uint64_t epoch,
                                                               balance::Fence fence) {
  if (std::holds_alternative<balance::ObserveRank>(order)) co_return balance::OrderResult::kDone;
  const auto response =
      co_await Fetch(engine, m_protocol.Encode(order, epoch, fence), kOrderTimeout);
  const auto result =
      response ? m_protocol.DecodeOrderStatus(response->status) : balance::OrderResult::kUnknown;
  m_log.Info("order_given", {{"engine", core::ToString(engine)},
                             {"order", KindName(order)},
                             {"epoch", epoch},
                             {"fence", fence},
                             {"result", ToString(result)}});
  co_return result;
}

}  // namespace cornelrelay::ranks
