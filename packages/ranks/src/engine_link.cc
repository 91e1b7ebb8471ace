#include "cornelrelay/ranks/engine_link.h"

#include <utility>

#include "cornelrelay/core/http_status.h"
#include "cornelrelay/net/errors.h"

namespace cornelrelay::ranks {
namespace {

namespace asio = boost::asio;

/// An engine answers beside its passes, within a few milliseconds and a round trip.
constexpr std::chrono::milliseconds kCallTimeout{200};
/// An order that got no answer by now is given again; the group may wait for it.
constexpr std::chrono::milliseconds kOrderTimeout{40};
constexpr std::size_t kMaxAnswerBytes = 1'048'576;

}  // namespace

asio::awaitable<std::optional<net::HttpResponse>> EngineLink::Fetch(
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

asio::awaitable<std::optional<balance::RankReport>> EngineLink::Report(core::Endpoint engine) {
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

asio::awaitable<void> EngineLink::AddExperts(core::Endpoint engine, balance::RankReport& report) {
  KnownExperts& known = m_known[engine];
  const auto current = [&] {
    return !known.experts.empty() && known.incarnation == report.incarnation &&
           known.epoch == report.state.epoch && known.map == report.state.map;
  };
  if (!current()) {
    const auto response = co_await Fetch(engine, m_protocol.MakeExpertsRequest(), kCallTimeout);
    if (!response || response->status != core::kStatusOk) co_return;
    try {
      known.experts = m_protocol.DecodeExperts(response->body);
      known.incarnation = report.incarnation;
      known.epoch = report.state.epoch;
      known.map = report.state.map;
    } catch (const core::Error& error) {
      m_log.Warning("engine_experts_unreadable", {{"engine", core::ToString(engine)},
                                                  {"reason", error.what()},
                                                  {"body", response->body.substr(0, 400)}});
      co_return;
    }
  }
  report.state.experts = known.experts;
}

asio::awaitable<std::vector<std::uint64_t>> EngineLink::Picks(core::Endpoint engine) {
  const auto response = co_await Fetch(engine, m_protocol.MakeExpertCountsRequest(), kCallTimeout);
  std::vector<std::uint64_t> picks;
  if (!response || response->status != core::kStatusOk) co_return picks;
  try {
    picks = m_protocol.DecodeExpertCounts(response->body);
  } catch (const core::Error& error) {
    m_log.Warning("engine_picks_unreadable", {{"engine", core::ToString(engine)},
                                              {"reason", error.what()},
                                              {"body", response->body.substr(0, 400)}});
  }
  co_return picks;
}

asio::awaitable<balance::OrderResult> EngineLink::Order(core::Endpoint engine,
                                                        balance::RankOrder order,
                                                        std::uint64_t epoch, balance::Fence fence) {
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
