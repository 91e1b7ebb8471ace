#include "cornelrelay/net/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <set>
#include <utility>

#include "cornelrelay/net/errors.h"
#include "cornelrelay/net/rethrow_failure.h"
#include "http_session.h"
#include "session_registry.h"

namespace cornelrelay::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

/// Pause after a failed accept, e.g. when file descriptors run out, so that the loop does not spin.
constexpr std::chrono::milliseconds kAcceptBackoff{50};

std::unique_ptr<asio::ssl::context> MakeTlsContext(const std::optional<TlsFiles>& files) {
  if (!files) return nullptr;
  auto context = std::make_unique<asio::ssl::context>(asio::ssl::context::tls_server);
  context->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_sslv2 |
                       asio::ssl::context::no_sslv3 | asio::ssl::context::no_tlsv1 |
                       asio::ssl::context::no_tlsv1_1);
  error_code ec;
  context->use_certificate_chain_file(files->certificate_chain, ec);
  if (ec) throw TlsSetupFailed(files->certificate_chain, ec.message());
  context->use_private_key_file(files->private_key, asio::ssl::context::pem, ec);
  if (ec) throw TlsSetupFailed(files->private_key, ec.message());
  return context;
}

tcp::acceptor OpenAcceptor(asio::io_context& context, const core::Endpoint& endpoint) {
  error_code ec;
  const auto address = asio::ip::make_address(endpoint.address, ec);
  if (ec) throw ListenFailed(endpoint, ec.message());
  tcp::acceptor acceptor(context);
  const tcp::endpoint local(address, endpoint.port);
  if (acceptor.open(local.protocol(), ec); ec) throw ListenFailed(endpoint, ec.message());
  acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (acceptor.bind(local, ec); ec) throw ListenFailed(endpoint, ec.message());
  acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) throw ListenFailed(endpoint, ec.message());
  return acceptor;
}

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  Impl(asio::io_context& context, const core::Endpoint& endpoint, HttpServerLimits limits,
       const std::optional<TlsFiles>& tls, Handler handler, CallerHooks hooks)
      : m_context(context),
        m_acceptor(OpenAcceptor(context, endpoint)),
        m_limits(std::make_shared<HttpServerLimits>(limits)),
        m_tls(MakeTlsContext(tls)),
        m_handler(std::move(handler)),
        m_registry(std::make_shared<internal::SessionRegistry>(std::move(hooks))) {
    SetLimits(limits);
  }

  void Start() {
    asio::co_spawn(
        m_context, [self = shared_from_this()] { return self->AcceptLoop(); },
        net::RethrowFailure{});
  }

  void SetLimits(const HttpServerLimits& limits) {
    *m_limits = limits;
    m_registry->SetMemoryLimits(
        limits.memory_bytes == 0
            ? limits::CallerMemoryLimits{}
            : limits::CallerMemoryLimitsOf(limits.memory_bytes,
                                           static_cast<std::size_t>(limits.body_bytes)));
  }

  void AnnounceClosing() { m_registry->SetDraining(); }

  void StopAccepting() {
    error_code ec;
    m_acceptor.close(ec);
    m_registry->SetDraining();
    m_registry->CloseIdle();
  }

  void CloseAll() { m_registry->CloseAll(); }
  std::size_t ActiveExchanges() const { return m_registry->active_exchanges(); }

 private:
  asio::awaitable<void> AcceptLoop() {
    while (m_acceptor.is_open()) {
      error_code ec;
      tcp::socket socket =
          co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
      if (ec == asio::error::operation_aborted || !m_acceptor.is_open()) co_return;
      if (ec) {
        asio::steady_timer timer(m_context, kAcceptBackoff);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        continue;
      }
      if (!HasRoomFor(socket)) continue;
      socket.set_option(tcp::no_delay(true), ec);
      try {
        SpawnSession(std::move(socket));
      } catch (const std::exception&) {
        // Ends this connection only.
        RethrowLater(m_context, std::current_exception());
      }
    }
  }

  // A connection without room is closed at once, which frees its descriptor.
  bool HasRoomFor(const tcp::socket& socket) {
    if (m_limits->connections_per_address > 0) {
      error_code ec;
      const auto address = socket.remote_endpoint(ec).address();
      if (m_registry->CountOf(address) >= m_limits->connections_per_address) {
        m_registry->Note(CallerLimit::kConnectionsPerAddress);
        return false;
      }
    }
    if (m_registry->size() < m_limits->connections) return true;
    if (m_registry->CloseForNewConnection()) return true;
    m_registry->Note(CallerLimit::kConnections);
    return false;
  }

  void SpawnSession(tcp::socket socket) {
    if (m_tls) {
      Spawn(std::make_shared<internal::HttpSession<beast::ssl_stream<beast::tcp_stream>>>(
          beast::ssl_stream<beast::tcp_stream>(beast::tcp_stream(std::move(socket)), *m_tls),
          m_limits, m_handler, m_registry));
    } else {
      Spawn(std::make_shared<internal::HttpSession<beast::tcp_stream>>(
          beast::tcp_stream(std::move(socket)), m_limits, m_handler, m_registry));
    }
  }

  template <class Session>
  void Spawn(std::shared_ptr<Session> session) {
    // The impl is kept so that the TLS context outlives its sessions.
    asio::co_spawn(
        m_context, [session, self = shared_from_this()] { return session->Run(); },
        net::RethrowFailure{});
  }

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  std::shared_ptr<HttpServerLimits> m_limits;
  std::unique_ptr<asio::ssl::context> m_tls;
  Handler m_handler;
  std::shared_ptr<internal::SessionRegistry> m_registry;
};

HttpServer::HttpServer(asio::io_context& context, const core::Endpoint& endpoint,
                       HttpServerLimits limits, const std::optional<TlsFiles>& tls, Handler handler,
                       CallerHooks hooks)
    : m_impl(std::make_shared<Impl>(context, endpoint, limits, tls, std::move(handler),
                                    std::move(hooks))) {}

HttpServer::~HttpServer() {
  m_impl->StopAccepting();
  m_impl->CloseAll();
}

void HttpServer::Start() { m_impl->Start(); }
void HttpServer::SetLimits(const HttpServerLimits& limits) { m_impl->SetLimits(limits); }
void HttpServer::AnnounceClosing() { m_impl->AnnounceClosing(); }
void HttpServer::StopAccepting() { m_impl->StopAccepting(); }
void HttpServer::CloseAll() { m_impl->CloseAll(); }
std::size_t HttpServer::ActiveExchanges() const { return m_impl->ActiveExchanges(); }

}  // namespace cornelrelay::net
