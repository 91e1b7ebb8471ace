#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <optional>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/ranks/group_reply.h"

namespace cornelrelay::ranks {

/// \brief A call to several agents at once that is in progress.
///
/// \code
/// const auto call = agents.StartGroupCall(groups, message, timeout);
/// const GroupReply reply = co_await call->Replies();
/// \endcode
class GroupCall {
 public:
  /// \param pending number of agents that are called
  GroupCall(boost::asio::io_context& context, std::size_t pending)
      : m_done(context), m_pending(pending) {
    m_done.expires_at(boost::asio::steady_timer::time_point::max());
  }

  /// \brief Records the end of one of the calls.
  /// \param reply none if the agent did not answer in time
  void End(const core::Endpoint& agent, std::optional<wire::RankReply> reply);

  /// \brief Returns when all calls have ended.
  boost::asio::awaitable<GroupReply> Replies();

 private:
  boost::asio::steady_timer m_done;
  std::size_t m_pending;
  GroupReply m_reply;
};

}  // namespace cornelrelay::ranks
