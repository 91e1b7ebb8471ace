#include "cornelrelay/net/udp_channel.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <utility>

#include "cornelrelay/net/errors.h"

namespace cornelrelay::net {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

}  // namespace

class UdpChannel::Impl : public std::enable_shared_from_this<UdpChannel::Impl> {
 public:
  Impl(asio::io_context& context, const core::Endpoint& endpoint, Handler handler)
      : m_socket(context), m_handler(std::move(handler)) {
    error_code ec;
    const auto address = asio::ip::make_address(endpoint.address, ec);
    if (ec) throw ListenFailed(endpoint, ec.message());
    const udp::endpoint local(address, endpoint.port);
    if (m_socket.open(local.protocol(), ec); ec) throw ListenFailed(endpoint, ec.message());
    if (m_socket.bind(local, ec); ec) throw ListenFailed(endpoint, ec.message());
    m_socket.non_blocking(true, ec);
  }

  void Receive() {
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_from,
        [self = shared_from_this()](const error_code& ec, std::size_t count) {
          if (ec == asio::error::operation_aborted || !self->m_socket.is_open()) return;
          const core::Endpoint from{self->m_from.address().to_string(), self->m_from.port()};
          std::string datagram(self->m_buffer.data(), ec ? 0 : count);
          // First, as a handler that throws must not end the reception.
          self->Receive();
          if (!ec) self->Deliver(from, std::move(datagram));
        });
  }

  void Close() {
    error_code ec;
    m_socket.close(ec);
  }

  void Send(const core::Endpoint& to, const std::string& bytes) {
    error_code ec;
    const auto address = asio::ip::make_address(to.address, ec);
    if (!ec) m_socket.send_to(asio::buffer(bytes), udp::endpoint(address, to.port), 0, ec);
    if (ec) {
      ++m_send_failures;
    } else {
      m_bytes_sent += bytes.size();
    }
  }

  std::uint64_t m_bytes_sent = 0;
  std::uint64_t m_bytes_received = 0;
  std::uint64_t m_send_failures = 0;

 private:
  void Deliver(const core::Endpoint& from, std::string datagram) {
    m_bytes_received += datagram.size();
    m_handler(from, std::move(datagram));
  }

  udp::socket m_socket;
  Handler m_handler;
  udp::endpoint m_from;
  std::array<char, kMaxDatagramBytes> m_buffer{};
};

UdpChannel::UdpChannel(asio::io_context& context, const core::Endpoint& endpoint, Handler handler)
    : m_impl(std::make_shared<Impl>(context, endpoint, std::move(handler))) {}

UdpChannel::~UdpChannel() { m_impl->Close(); }

void UdpChannel::Start() { m_impl->Receive(); }
void UdpChannel::Close() { m_impl->Close(); }

void UdpChannel::Send(const core::Endpoint& to, const std::string& bytes) {
  m_impl->Send(to, bytes);
}

std::uint64_t UdpChannel::bytes_sent() const { return m_impl->m_bytes_sent; }
std::uint64_t UdpChannel::bytes_received() const { return m_impl->m_bytes_received; }
std::uint64_t UdpChannel::send_failures() const { return m_impl->m_send_failures; }

}  // namespace cornelrelay::net
