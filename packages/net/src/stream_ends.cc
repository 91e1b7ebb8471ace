#include "stream_ends.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cornelrelay::net::internal {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

constexpr std::chrono::seconds kTlsCloseTimeout{2};

}  // namespace

asio::awaitable<bool> ServerHandshake(beast::tcp_stream&, std::chrono::seconds) { co_return true; }

asio::awaitable<bool> ServerHandshake(TlsStream& stream, std::chrono::seconds timeout) {
  beast::get_lowest_layer(stream).expires_after(timeout);
  error_code ec;
  co_await stream.async_handshake(asio::ssl::stream_base::server,
                                  asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec;
}

asio::awaitable<void> CloseGracefully(beast::tcp_stream& stream) {
  error_code ec;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  co_return;
}

asio::awaitable<void> CloseGracefully(TlsStream& stream) {
  beast::get_lowest_layer(stream).expires_after(kTlsCloseTimeout);
  error_code ec;
  co_await stream.async_shutdown(asio::redirect_error(asio::use_awaitable, ec));
  beast::get_lowest_layer(stream).socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

}  // namespace cornelrelay::net::internal
