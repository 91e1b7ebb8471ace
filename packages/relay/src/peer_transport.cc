#include "cornelrelay/relay/peer_transport.h"

#include <boost/asio/co_spawn.hpp>
#include <charconv>
#include <utility>
#include <variant>

#include "cornelrelay/core/error.h"
#include "cornelrelay/core/http_status.h"
#include "cornelrelay/net/errors.h"
#include "cornelrelay/net/rethrow_failure.h"
#include "cornelrelay/runtime/process_setup.h"
#include "cornelrelay/wire/malformed_message.h"
#include "cornelrelay/wire/message_too_large.h"

namespace cornelrelay::relay {
namespace {

namespace asio = boost::asio;

/// Followed by the era, the revision and the configuration version that the caller knows, separated
/// by dots.
constexpr std::string_view kItemsPath = "/items?since=";
constexpr std::chrono::milliseconds kFetchTimeout{500};
/// Enough for all items of a large fleet: 1,000 registrations and a configuration with thousands of
/// routes.
constexpr std::size_t kMaxTransferBytes = 8'388'608;

peers::PeerTableConfig PeerTableConfigOf(core::HostId self, core::DataCentreId data_centre,
                                         std::uint64_t seed) {
  peers::PeerTableConfig config;
  config.self = std::move(self);
  config.data_centre = std::move(data_centre);
  config.seed = seed;
  return config;
}

/// What a peer that fetches items knows already.
struct KnownItems {
  store::StoreVersion version;
  std::uint64_t configuration_version = 0;
};

std::string FetchTarget(const peers::FetchItems& fetch) {
  return std::string(kItemsPath) + std::to_string(fetch.since.era) + '.' +
         std::to_string(fetch.since.revision) + '.' + std::to_string(fetch.configuration_version);
}

/// Takes a number and the separator after it, if there is one, off the front of the text.
template <class T>
bool TakeNumber(std::string_view& text, T& number) {
  const auto [rest, status] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (status != std::errc()) return false;
  text.remove_prefix(static_cast<std::size_t>(rest - text.data()));
  if (text.empty()) return true;
  if (text.front() != '.') return false;
  text.remove_prefix(1);
  return true;
}

std::optional<KnownItems> ParseFetchTarget(std::string_view target) {
  if (!target.starts_with(kItemsPath)) return std::nullopt;
  target.remove_prefix(kItemsPath.size());
  KnownItems known;
  const bool complete = TakeNumber(target, known.version.era) &&
                        TakeNumber(target, known.version.revision) &&
                        TakeNumber(target, known.configuration_version) && target.empty();
  return complete ? std::optional(known) : std::nullopt;
}

}  // namespace

PeerTransport::PeerTransport(asio::io_context& context, const runtime::ProcessClock& clock,
                             net::HttpClient& client, core::HostId self,
                             core::DataCentreId data_centre, core::Endpoint endpoint,
                             std::uint64_t seed, telemetry::JsonLog& log,
                             telemetry::MetricRegistry& metrics, Callbacks callbacks)
    : m_context(context),
      m_clock(clock),
      m_client(client),
      m_self(std::move(self)),
      m_data_centre(std::move(data_centre)),
      m_endpoint(std::move(endpoint)),
      m_incarnation(runtime::IncarnationAt(clock)),
      m_log(log),
      m_metrics(metrics),
      m_callbacks(std::move(callbacks)),
      m_table(PeerTableConfigOf(m_self, m_data_centre, seed)),
      m_channel(context, m_endpoint,
                [this](const core::Endpoint&, const std::string& bytes) { Receive(bytes); }),
      m_server(context, m_endpoint, net::HttpServerLimits{}, std::nullopt,
               [this](net::HttpRequest request, net::ResponseStream& response) {
                 return Serve(std::move(request), response);
               }),
      m_timer(context, clock, [this] { Step(peers::PeerTick{}); }) {}

void PeerTransport::Start() {
  m_channel.Start();
  m_server.Start();
  Step(peers::PeerTick{});
}

void PeerTransport::Step(const peers::PeerEvent& event) {
  const std::uint64_t before = m_table.version();
  for (const auto& action : m_table.Step(m_clock.Now(), event)) {
    std::visit([this](const auto& a) { Perform(a); }, action);
  }
  m_timer.SetAt(m_table.NextWake());
  if (m_table.version() != before || std::holds_alternative<peers::PeerTick>(event)) {
    m_callbacks.on_peers();
  }
}

void PeerTransport::Receive(const std::string& bytes) {
  try {
    const peers::PeerStatus status = wire::DecodePeerStatus(bytes);
    Step(peers::PeerStatusReceived{status});
    m_callbacks.on_status_received(status);
  } catch (const core::Error& error) {
    m_metrics.GetCounter("cornelrelay_bad_datagrams_total", "Datagrams that could not be read.")
        .Add();
    m_log.Debug("datagram_unreadable", {{"reason", error.code()}});
  }
}

void PeerTransport::Perform(const peers::SendStatus& action) {
  peers::PeerStatus status;
  status.host = m_self;
  status.endpoint = m_endpoint;
  status.incarnation = m_incarnation;
  status.sequence = ++m_sequence;
  status.data_centre = m_data_centre;
  m_callbacks.fill_status(status);
  const wire::EncodedStatus encoded = wire::EncodeWithin(std::move(status), net::kMaxDatagramBytes);
  if (encoded.omitted > 0) {
    m_log.Warning("status_shortened",
                  {{"omitted", encoded.omitted}, {"bytes", encoded.bytes.size()}});
  }
  for (const core::Endpoint& peer : action.to) m_channel.Send(peer, encoded.bytes);
  m_metrics.GetCounter("cornelrelay_bulletins_total", "Bulletins sent to peers.")
      .Add(action.to.size());
}

void PeerTransport::Perform(const peers::FetchItems& action) {
  m_log.Info("items_fetched_from_peer", {{"peer", action.host},
                                         {"era", action.since.era},
                                         {"since", action.since.revision},
                                         {"configuration", action.configuration_version}});
  asio::co_spawn(
      m_context, [this, action] { return Fetch(action); }, net::RethrowFailure{});
}

void PeerTransport::Perform(const peers::PeerAppeared& action) {
  m_log.Info("peer_appeared", {{"peer", action.host}, {"incarnation", action.incarnation}});
}

void PeerTransport::Perform(const peers::PeerSilent& action) {
  m_log.Warning("peer_silent", {{"peer", action.host}});
}

asio::awaitable<void> PeerTransport::Fetch(peers::FetchItems action) {
  net::HttpRequest request;
  request.method = "GET";
  request.target = FetchTarget(action);
  std::string failure;
  try {
    const net::HttpResponse response = co_await m_client.Fetch(action.endpoint, std::move(request),
                                                               kFetchTimeout, kMaxTransferBytes);
    if (response.status == core::kStatusOk) {
      m_callbacks.on_items_received(wire::DecodeItemsTransfer(response.body));
    } else {
      failure = "status " + std::to_string(response.status);
    }
  } catch (const core::Error& error) {
    failure = error.what();
  }
  if (!failure.empty()) {
    m_log.Warning("peer_fetch_failed", {{"peer", action.host}, {"reason", failure}});
  }
  Step(peers::FetchEnded{failure.empty()});
}

asio::awaitable<void> PeerTransport::Serve(net::HttpRequest request,
                                           net::ResponseStream& response) {
  net::HttpResponse answer;
  const auto known = ParseFetchTarget(request.target);
  if (known) {
    try {
      answer.body =
          wire::Encode(m_callbacks.items_since(known->version, known->configuration_version));
    } catch (const core::Error& error) {
      m_log.Error("items_not_encoded", {{"reason", error.what()}});
      answer.status = core::kStatusInternalError;
    }
  } else {
    answer.status = core::kStatusBadRequest;
  }
  co_await response.SendWhole(std::move(answer));
}

}  // namespace cornelrelay::relay
