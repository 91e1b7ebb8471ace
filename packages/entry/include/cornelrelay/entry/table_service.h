#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/random.h"
#include "cornelrelay/gossip/snapshot_part.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/runtime/control_plane.h"

namespace cornelrelay::entry {

/// \brief Fetches the gossip table from a peer when this process starts, and serves it to others.
///
/// Gossip rounds alone would take minutes for thousands of records.
/// \code
/// TableService tables(context, client, control, seed);
/// tables.Start();
/// \endcode
class TableService {
 public:
  TableService(boost::asio::io_context& context, net::HttpClient& client,
               runtime::ControlPlane& control, std::uint64_t seed);

  void Start();

  /// \brief The sealed answer to a sealed TableFetch; empty when it cannot be opened.
  std::string AnswerFetch(const std::string& sealed);

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> FetchPart(gossip::SnapshotPart part);
  boost::asio::awaitable<bool> FetchFrom(core::Endpoint peer, gossip::SnapshotPart part);
  std::optional<core::Endpoint> ChoosePeer();

  boost::asio::io_context& m_context;
  net::HttpClient& m_client;
  runtime::ControlPlane& m_control;
  core::Random m_random;
};

}  // namespace cornelrelay::entry
