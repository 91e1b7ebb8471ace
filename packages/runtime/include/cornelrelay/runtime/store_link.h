#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/wake_timer.h"
#include "cornelrelay/store/store_client.h"
#include "cornelrelay/store/store_codec.h"

namespace cornelrelay::runtime {

/// \brief Runs a StoreClient over HTTP and hands each reply to its caller.
///
/// \code
/// store.Call(store::Get{"key"}, [](const store::StoreReply& reply) { ... });
/// \endcode
class StoreLink : public std::enable_shared_from_this<StoreLink> {
 public:
  using ReplyHandler = std::function<void(const store::StoreReply&)>;

  StoreLink(boost::asio::io_context& context, const ProcessClock& clock, net::HttpClient& client,
            const store::StoreCodec& codec, core::Endpoint store,
            const store::StoreClientOptions& options, std::uint64_t seed);

  store::StoreCallId Call(store::StoreRequest request, ReplyHandler on_reply);
  void Cancel(store::StoreCallId call);

  const store::StoreClient& client() const { return m_machine; }
  std::uint64_t transmissions() const { return m_transmissions; }

 private:
  void Step(const store::StoreClientEvent& event);
  void Transmit(const store::TransmitCall& call);
  boost::asio::awaitable<void> Run(store::TransmitCall call);
  boost::asio::awaitable<store::StoreReply> Exchange(const store::StoreRequest& request);
  boost::asio::awaitable<store::StoreReply> ReadWatch(const store::Watch& watch,
                                                      net::HttpExchange& exchange);
  void Deliver(const store::DeliverReply& delivery);

  boost::asio::io_context& m_context;
  const ProcessClock& m_clock;
  net::HttpClient& m_http;
  const store::StoreCodec& m_codec;
  core::Endpoint m_store;
  store::StoreClientOptions m_options;
  store::StoreClient m_machine;
  std::map<store::StoreCallId, ReplyHandler> m_handlers;
  store::StoreCallId m_next_call = 1;
  std::uint64_t m_transmissions = 0;
  WakeTimer m_timer;
};

}  // namespace cornelrelay::runtime
