#include "cornelrelay/ranks/group_call.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cassert>
#include <utility>

namespace cornelrelay::ranks {

namespace asio = boost::asio;

void GroupCall::End(const core::Endpoint& agent, std::optional<wire::RankReply> reply) {
  assert(m_pending > 0);
  if (reply) m_reply.Add(agent, std::move(*reply));
  if (--m_pending == 0) m_done.cancel();
}

asio::awaitable<GroupReply> GroupCall::Replies() {
  while (m_pending > 0) {
    boost::system::error_code ec;
    co_await m_done.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return std::move(m_reply);
}

}  // namespace cornelrelay::ranks
