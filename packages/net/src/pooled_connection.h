#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <utility>

namespace cornelrelay::net::internal {

/// \brief A connection with the bytes already read from it.
struct PooledConnection {
  using TimePoint = std::chrono::steady_clock::time_point;

  /// \param max_buffered limit of the bytes that are read ahead
  PooledConnection(boost::beast::tcp_stream s, std::size_t max_buffered)
      : stream(std::move(s)), buffer(max_buffered) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  TimePoint idle_since{};
  TimePoint usable_until{};
};

using ConnectionPtr = std::unique_ptr<PooledConnection>;

}  // namespace cornelrelay::net::internal
