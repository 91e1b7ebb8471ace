#pragma once

#include <boost/asio/awaitable.hpp>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/directory/upstream_directory.h"
#include "cornelrelay/net/http_client.h"

namespace cornelrelay::relay {

/// \brief Tells an upstream that has crashed from one that only ended a connection.
///
/// Opens a connection on which nothing is sent. If the upstream's host refuses it, no process
/// listens there. A host that does not answer says nothing about the process on it.
class CrashProbe {
 public:
  CrashProbe(net::HttpClient& client, const directory::UpstreamDirectory& directory)
      : m_client(client), m_directory(directory) {}

  /// \brief Returns false also for an upstream that is leaving or has left: its end is planned.
  boost::asio::awaitable<bool> HasCrashed(core::UpstreamId upstream) const;

 private:
  net::HttpClient& m_client;
  const directory::UpstreamDirectory& m_directory;
};

}  // namespace cornelrelay::relay
