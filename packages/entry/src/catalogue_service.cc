#include "cornelrelay/entry/catalogue_service.h"

#include <boost/asio/co_spawn.hpp>
#include <chrono>
#include <utility>
#include <variant>

#include "cornelrelay/core/error.h"
#include "cornelrelay/entry/catalogue_store.h"
#include "cornelrelay/net/rethrow_failure.h"
#include "cornelrelay/profile/catalogue_codec.h"

namespace cornelrelay::entry {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kPeerTimeout{900};

}  // namespace

CatalogueService::CatalogueService(asio::io_context& context, const runtime::ProcessClock& clock,
                                   runtime::StoreLink& store, net::HttpClient& client,
                                   runtime::ControlPlane& control, telemetry::JsonLog& log,
                                   std::uint64_t seed, AppliedHandler on_applied)
    : m_context(context),
      m_clock(clock),
      m_store(store),
      m_client(client),
      m_control(control),
      m_log(log),
      m_replica(profile::ReplicaOptions{}, seed),
      m_on_applied(std::move(on_applied)),
      m_timer(context, clock, [this] { OnEvent(profile::ReplicaTick{}); }) {}

void CatalogueService::Start() { OnEvent(profile::ReplicaTick{}); }

void CatalogueService::OnEvent(const profile::ReplicaEvent& event) {
  for (const auto& action : m_replica.Step(m_clock.Now(), event)) {
    std::visit([this](const auto& a) { Perform(a); }, action);
  }
  m_timer.SetAt(m_replica.NextWake());
}

void CatalogueService::Perform(const profile::ReadCatalogueKey& action) {
  m_store.Call(store::Get{profile::kCatalogueKey},
               [this, call = action.call](const store::StoreReply& reply) {
                 OnEvent(ToReplicaEvent(call, reply));
               });
}

void CatalogueService::Perform(const profile::WatchCatalogueKey& action) {
  store::Watch watch;
  watch.key = profile::kCatalogueKey;
  watch.after = action.after;
  m_store_calls[action.call] =
      m_store.Call(std::move(watch), [this, call = action.call](const store::StoreReply& reply) {
        m_store_calls.erase(call);
        OnEvent(ToReplicaEvent(call, reply));
      });
}

void CatalogueService::Perform(const profile::CancelStoreCall& action) {
  const auto found = m_store_calls.find(action.call);
  if (found == m_store_calls.end()) return;
  m_store.Cancel(found->second);
  m_store_calls.erase(found);
}

void CatalogueService::Perform(const profile::FetchFromPeer& action) {
  asio::co_spawn(
      m_context, [this, action] { return Fetch(action); }, net::RethrowFailure{});
}

void CatalogueService::Perform(const profile::ApplyCatalogue& action) {
  m_log.Info("catalogue_applied", {{"revision", action.catalogue->revision()}});
  m_control.Step(gossip::SetRevision{action.catalogue->revision()});
  m_on_applied(*action.catalogue);
}

void CatalogueService::Perform(const profile::ConfirmRevision& action) {
  wire::CatalogueConfirm confirm;
  confirm.revision = action.revision;
  for (const core::HostId& entry : m_control.NearEntries()) {
    m_control.Send(entry, wire::ControlMessage(confirm));
  }
}

void CatalogueService::Receive(const wire::ControlMessage& message) {
  if (const auto* confirm = std::get_if<wire::CatalogueConfirm>(&message)) {
    OnEvent(profile::ConfirmationHeard{confirm->revision});
  }
}

void CatalogueService::Perform(const profile::ReportMalformed& action) {
  m_log.Warning("catalogue_malformed", {{"source", action.source}, {"reason", action.reason}});
}

asio::awaitable<void> CatalogueService::Fetch(profile::FetchFromPeer action) {
  profile::ReplicaEvent result = co_await FetchResult(std::move(action));
  OnEvent(result);
}

asio::awaitable<profile::ReplicaEvent> CatalogueService::FetchResult(
    profile::FetchFromPeer action) {
  profile::PeerFetchFailed failed;
  failed.call = action.call;
  const auto endpoint = m_control.EndpointOf(action.peer);
  if (!endpoint) co_return profile::ReplicaEvent(failed);
  wire::CatalogueFetch fetch;
  fetch.revision = m_replica.revision().value_or(0);
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/catalogue";
  request.body = m_control.SealMessage(wire::ControlMessage(fetch));
  try {
    const net::HttpResponse response =
        co_await m_client.Fetch(*endpoint, std::move(request), kPeerTimeout);
    const auto opened = m_control.OpenMessage(response.body);
    const auto* transfer = std::get_if<wire::CatalogueTransfer>(&opened.second);
    if (transfer == nullptr || transfer->bytes.empty()) co_return profile::ReplicaEvent(failed);
    profile::PeerCatalogue catalogue;
    catalogue.call = action.call;
    catalogue.bytes = transfer->bytes;
    co_return profile::ReplicaEvent(std::move(catalogue));
  } catch (const core::Error&) {
  }
  co_return profile::ReplicaEvent(failed);
}

std::string CatalogueService::AnswerFetch(const std::string& sealed) {
  try {
    const auto opened = m_control.OpenMessage(sealed);
    const auto* fetch = std::get_if<wire::CatalogueFetch>(&opened.second);
    if (fetch == nullptr) return {};
    wire::CatalogueTransfer transfer;
    const auto& catalogue = m_replica.catalogue();
    if (catalogue && (catalogue->revision() > fetch->revision || fetch->revision == 0)) {
      transfer.revision = catalogue->revision();
      transfer.bytes = profile::EncodeCatalogue(*catalogue);
    }
    return m_control.SealMessage(wire::ControlMessage(transfer));
  } catch (const core::Error& error) {
    m_log.Warning("catalogue_fetch_rejected", {{"reason", error.code()}});
    return {};
  }
}

}  // namespace cornelrelay::entry
