#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/profile/catalogue.h"
#include "cornelrelay/profile/catalogue_replica.h"
#include "cornelrelay/runtime/control_plane.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/store_link.h"
#include "cornelrelay/runtime/wake_timer.h"
#include "cornelrelay/telemetry/json_log.h"

namespace cornelrelay::entry {

/// \brief Keeps this process's catalogue up to date from the store and from peers.
///
/// \code
/// CatalogueService catalogues(context, clock, store, client, control, log, seed, on_applied);
/// catalogues.Start();
/// \endcode
class CatalogueService {
 public:
  using AppliedHandler = std::function<void(const profile::Catalogue&)>;

  CatalogueService(boost::asio::io_context& context, const runtime::ProcessClock& clock,
                   runtime::StoreLink& store, net::HttpClient& client,
                   runtime::ControlPlane& control, telemetry::JsonLog& log, std::uint64_t seed,
                   AppliedHandler on_applied);

  void Start();
  void OnEvent(const profile::ReplicaEvent& event);

  /// \brief Takes a confirmation of a watcher; ignores all other messages.
  void Receive(const wire::ControlMessage& message);

  const profile::CatalogueReplica& replica() const { return m_replica; }

  /// \brief The sealed answer to a peer's sealed CatalogueFetch; empty when it cannot be opened.
  std::string AnswerFetch(const std::string& sealed);

 private:
  void Perform(const profile::ReadCatalogueKey& action);
  void Perform(const profile::WatchCatalogueKey& action);
  void Perform(const profile::CancelStoreCall& action);
  void Perform(const profile::FetchFromPeer& action);
  void Perform(const profile::ApplyCatalogue& action);
  void Perform(const profile::ConfirmRevision& action);
  void Perform(const profile::ReportMalformed& action);
  boost::asio::awaitable<void> Fetch(profile::FetchFromPeer action);
  boost::asio::awaitable<profile::ReplicaEvent> FetchResult(profile::FetchFromPeer action);

  boost::asio::io_context& m_context;
  const runtime::ProcessClock& m_clock;
  runtime::StoreLink& m_store;
  net::HttpClient& m_client;
  runtime::ControlPlane& m_control;
  telemetry::JsonLog& m_log;
  profile::CatalogueReplica m_replica;
  AppliedHandler m_on_applied;
  std::map<profile::CallNumber, store::StoreCallId> m_store_calls;
  runtime::WakeTimer m_timer;
};

}  // namespace cornelrelay::entry
