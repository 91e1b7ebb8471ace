#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <chrono>

namespace cornelrelay::net::internal {

using TlsStream = boost::beast::ssl_stream<boost::beast::tcp_stream>;

/// \return whether the stream can be used; a plain stream needs no handshake
boost::asio::awaitable<bool> ServerHandshake(boost::beast::tcp_stream& stream,
                                             std::chrono::milliseconds timeout);
boost::asio::awaitable<bool> ServerHandshake(TlsStream& stream, std::chrono::milliseconds timeout);

boost::asio::awaitable<void> CloseGracefully(boost::beast::tcp_stream& stream);
boost::asio::awaitable<void> CloseGracefully(TlsStream& stream);

}  // namespace cornelrelay::net::internal
