#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "cornelrelay/core/endpoint.h"

namespace cornelrelay::net::testing {

/// \brief One accepted connection of a RawServer.
class RawConnection {
 public:
  RawConnection(int fd, int listener) : m_fd(fd), m_listener(listener) {}
  ~RawConnection() { close(m_fd); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// \brief Sends bytes of no particular protocol; returns false once the peer has closed.
  bool Send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t count = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count <= 0) return false;
      m_sent += static_cast<std::size_t>(count);
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }
  /// \brief Sends the bytes again and again until the peer closes.
  void SendForever(const std::string& bytes) {
    while (Send(bytes)) {
    }
  }
  /// \brief Reads what has arrived, at least one byte; returns the result of recv(2).
  ssize_t Receive(std::string& bytes) {
    char buffer[16384];
    const ssize_t count = recv(m_fd, buffer, sizeof(buffer), 0);
    if (count > 0) bytes.assign(buffer, static_cast<std::size_t>(count));
    return count;
  }
  /// \brief Has the connection reset when it is closed.
  void ResetOnClose() {
    const linger none{1, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
  }
  /// \brief Ends the connection as after a complete response, before it is closed.
  void EndSending() { shutdown(m_fd, SHUT_WR); }
  /// \brief Has the server refuse further connections.
  void StopListening() { shutdown(m_listener, SHUT_RDWR); }
  std::size_t sent() const { return m_sent; }

 private:
  int m_fd;
  int m_listener;
  std::size_t m_sent = 0;
};

/// \brief A loopback server on a thread of its own that handles one connection after another.
class RawServer {
 public:
  using Handler = std::function<void(RawConnection&)>;

  /// \param receive_buffer size of the kernel's buffer for unread bytes of a connection, if not the
  /// default
  explicit RawServer(Handler handler, std::optional<int> receive_buffer = std::nullopt)
      : m_handler(std::move(handler)) {
    m_listener = socket(AF_INET, SOCK_STREAM, 0);
    if (receive_buffer) {
      setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &*receive_buffer, sizeof(*receive_buffer));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_endpoint = {"127.0.0.1", ntohs(address.sin_port)};
    listen(m_listener, 16);
    m_thread = std::thread([this] { Run(); });
  }
  ~RawServer() {
    m_stopping = true;
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    close(m_listener);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  const core::Endpoint& endpoint() const { return m_endpoint; }
  /// \brief Bytes that were sent on all connections that have ended.
  std::size_t sent() const { return m_sent; }

 private:
  void Run() {
    while (!m_stopping) {
      const int fd = accept(m_listener, nullptr, nullptr);
      if (fd < 0) return;
      RawConnection connection(fd, m_listener);
      m_handler(connection);
      m_sent += connection.sent();
    }
  }

  Handler m_handler;
  int m_listener = -1;
  core::Endpoint m_endpoint;
  std::atomic<bool> m_stopping{false};
  std::atomic<std::size_t> m_sent{0};
  std::thread m_thread;
};

}  // namespace cornelrelay::net::testing
