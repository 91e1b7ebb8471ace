#include "stream_ends.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cornelrelay::net::internal {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

constexpr std::chrono::seconds kTlsCloseTimeout{2};
/// Longest wait for a peer to close its side after the own one is closed.
constexpr std::chrono::seconds kLingerTimeout{1};
/// Unread bytes that are discarded while waiting.
constexpr std::size_t kLingerBytes = 1'048'576;

}  // namespace

asio::awaitable<bool> ServerHandshake(beast::tcp_stream&, std::chrono::milliseconds) {
  co_return true;
}

asio::awaitable<bool> ServerHandshake(TlsStream& stream, std::chrono::milliseconds timeout) {
  beast::get_lowest_layer(stream).expires_after(timeout);
  error_code ec;
  co_await stream.async_handshake(asio::ssl::stream_base::server,
                                  asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec;
}

asio::awaitable<void> CloseGracefully(beast::tcp_stream& stream) {
  error_code ec;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  // Closing with unread bytes resets the connection, and the reset can overtake the last response.
  stream.expires_after(kLingerTimeout);
  std::array<char, 4096> discarded{};
  for (std::size_t total = 0; !ec && total < kLingerBytes;) {
    total += co_await stream.async_read_some(asio::buffer(discarded),
                                             asio::redirect_error(asio::use_awaitable, ec));
  }
}

asio::awaitable<void> CloseGracefully(TlsStream& stream) {
  beast::get_lowest_layer(stream).expires_after(kTlsCloseTimeout);
  error_code ec;
  co_await stream.async_shutdown(asio::redirect_error(asio::use_awaitable, ec));
  beast::get_lowest_layer(stream).socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

}  // namespace cornelrelay::net::internal
