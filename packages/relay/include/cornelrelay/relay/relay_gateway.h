#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "cornelrelay/core/random.h"
#include "cornelrelay/net/http_message.h"
#include "cornelrelay/net/response_stream.h"
#include "cornelrelay/relay/fleet_view.h"
#include "cornelrelay/relay/relay_services.h"
#include "cornelrelay/relay/relay_task.h"

namespace cornelrelay::relay {

/// \brief Receives callers' requests, determines their route and account, and runs a RelayTask for
/// each.
class RelayGateway {
 public:
  RelayGateway(RelayServices services, const FleetView& fleet, std::string id_prefix,
               std::uint64_t seed);

  boost::asio::awaitable<void> Serve(net::HttpRequest http, net::ResponseStream& response);

  /// \brief Whether a request whose body has not been read belongs to an account, or needs none.
  bool HasAccount(const net::HttpRequest& head) const;

  /// \brief Ends all requests with an error because the time limit of the graceful shutdown has
  /// passed.
  void AbortAll();
  /// \brief Ends the requests without output that may no longer run.
  void EndQuarantined();
  /// \brief Ends the requests that wait for an upstream and can no longer end before the limit of
  /// the graceful shutdown.
  void EndUnstartable();
  /// \brief Number of requests in progress.
  std::size_t active() const { return m_tasks.size(); }

 private:
  /// \param body_fits whether the memory for bodies has room for that of the request
  std::variant<RoutedRequest, Failure> Admit(RelayRequest request, bool body_fits);
  boost::asio::awaitable<void> Refuse(Failure failure, core::RequestId id,
                                      net::ResponseStream& response);
  /// \brief Answers a request that a fault of this program has ended.
  boost::asio::awaitable<void> AnswerFailed(core::RequestId id, net::ResponseStream& response);

  RelayServices m_services;
  const FleetView& m_fleet;
  std::string m_id_prefix;  ///< prefix of the internal request ids; unique to this run
  core::Random m_random;
  std::uint64_t m_last_id = 0;
  std::set<RelayTask*> m_tasks;
};

}  // namespace cornelrelay::relay
