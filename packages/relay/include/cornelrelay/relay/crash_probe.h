#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/directory/upstream_directory.h"
#include "cornelrelay/net/http_client.h"

namespace cornelrelay::relay {

/// \brief Tells an upstream that has crashed from one that only ended a connection.
///
/// Opens connections on which nothing is sent. If the upstream's host refuses one, no process
/// listens there. A host that does not answer says nothing about the process on it.
class CrashProbe {
 public:
  CrashProbe(boost::asio::io_context& context, net::HttpClient& client,
             const directory::UpstreamDirectory& directory)
      : m_context(context), m_client(client), m_directory(directory) {}

  /// \brief Returns whether no process listens at the endpoint. Asks again after 50 ms: the kernel
  /// of a process that is just ending may still accept connections for a moment.
  boost::asio::awaitable<bool> HasEnded(core::Endpoint endpoint) const;

  /// \brief Returns whether the upstream has ended, but false for one that is leaving or has left:
  /// its end is planned.
  boost::asio::awaitable<bool> HasCrashed(core::UpstreamId upstream) const;

 private:
  boost::asio::awaitable<bool> IsRefused(const core::Endpoint& endpoint) const;

  boost::asio::io_context& m_context;
  net::HttpClient& m_client;
  const directory::UpstreamDirectory& m_directory;
};

}  // namespace cornelrelay::relay
