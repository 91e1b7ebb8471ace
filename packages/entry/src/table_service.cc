#include "cornelrelay/entry/table_service.h"

#include <boost/asio/co_spawn.hpp>
#include <chrono>
#include <utility>
#include <variant>

#include "cornelrelay/core/error.h"
#include "cornelrelay/net/rethrow_failure.h"
#include "cornelrelay/runtime/pause.h"

namespace cornelrelay::entry {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kTimeout{2000};
constexpr std::chrono::milliseconds kRetry{1000};
/// Later the rounds have brought most records anyway.
constexpr int kTries = 10;
/// Spreads the far part of a mass restart over the time that SnapshotPart allows.
constexpr std::uint64_t kFarSpreadMs = 120'000;

}  // namespace

TableService::TableService(asio::io_context& context, net::HttpClient& client,
                           runtime::ControlPlane& control, std::uint64_t seed)
    : m_context(context), m_client(client), m_control(control), m_random(seed) {}

void TableService::Start() {
  asio::co_spawn(
      m_context, [this] { return Run(); }, net::RethrowFailure{});
}

asio::awaitable<void> TableService::Run() {
  co_await FetchPart(gossip::SnapshotPart::kNear);
  co_await runtime::Pause(m_context, std::chrono::milliseconds(m_random.Below(kFarSpreadMs)));
  co_await FetchPart(gossip::SnapshotPart::kFar);
}

asio::awaitable<void> TableService::FetchPart(gossip::SnapshotPart part) {
  for (int i = 0; i < kTries; ++i) {
    co_await runtime::Pause(m_context, kRetry);
    const std::optional<core::Endpoint> peer = ChoosePeer();
    if (!peer) continue;
    const bool fetched = co_await FetchFrom(*peer, part);
    if (fetched) co_return;
  }
}

std::optional<core::Endpoint> TableService::ChoosePeer() {
  const std::vector<core::HostId> peers = m_control.NearEntries();
  if (peers.empty()) return std::nullopt;
  return m_control.EndpointOf(peers[m_random.Below(peers.size())]);
}

asio::awaitable<bool> TableService::FetchFrom(core::Endpoint peer, gossip::SnapshotPart part) {
  wire::TableFetch fetch;
  fetch.part = part;
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/table";
  request.body = m_control.SealMessage(wire::ControlMessage(fetch));
  try {
    const net::HttpResponse response =
        co_await m_client.Fetch(std::move(peer), std::move(request), kTimeout);
    auto opened = m_control.OpenMessage(response.body);
    auto* table = std::get_if<wire::TableTransfer>(&opened.second);
    if (table == nullptr) co_return false;
    gossip::SnapshotReceived snapshot;
    snapshot.records = std::move(table->records);
    m_control.Step(snapshot);
    co_return true;
  } catch (const core::Error&) {
  }
  co_return false;
}

std::string TableService::AnswerFetch(const std::string& sealed) {
  try {
    const auto opened = m_control.OpenMessage(sealed);
    const auto* fetch = std::get_if<wire::TableFetch>(&opened.second);
    if (fetch == nullptr) return {};
    return m_control.SealMessage(
        wire::ControlMessage(wire::TableTransfer{m_control.Snapshot(fetch->part)}));
  } catch (const core::Error&) {
    return {};
  }
}

}  // namespace cornelrelay::entry
