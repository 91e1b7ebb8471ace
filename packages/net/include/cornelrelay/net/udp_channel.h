#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cornelrelay/core/endpoint.h"

namespace cornelrelay::net {

/// \brief Longest datagram over IPv4, in bytes: 65,535 less the headers of IP and UDP.
inline constexpr std::size_t kMaxDatagramBytes = 65'507;

/// \brief A bound UDP socket: calls the handler for each datagram, sends without waiting.
///
/// \code
/// UdpChannel channel(context, endpoint, [](const core::Endpoint& from, std::string bytes) { ...
/// }); channel.Start(); channel.Send(peer, bytes); \endcode
class UdpChannel {
 public:
  using Handler = std::function<void(const core::Endpoint& from, std::string bytes)>;

  /// \throws ListenFailed
  UdpChannel(boost::asio::io_context& context, const core::Endpoint& endpoint, Handler handler);
  ~UdpChannel();
  UdpChannel(const UdpChannel&) = delete;
  UdpChannel& operator=(const UdpChannel&) = delete;

  void Start();
  void Close();

  /// \brief Drops the datagram when the socket buffer is full; every user of UDP here repeats.
  void Send(const core::Endpoint& to, const std::string& bytes);

  std::uint64_t bytes_sent() const;
  std::uint64_t bytes_received() const;
  std::uint64_t send_failures() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cornelrelay::net
