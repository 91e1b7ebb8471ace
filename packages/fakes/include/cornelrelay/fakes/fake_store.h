#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "cornelrelay/core/endpoint.h"

namespace cornelrelay::fakes {

/// \brief Stand-in for the platform's key-value service behind the etcd v3 JSON gateway.
///
/// `POST /faults` takes {"outage": bool, "delay_ms": n, "lose_answers": n}: the answers of that
/// many following writes are lost after they took effect. `GET /calls` counts the calls.
class FakeStore {
 public:
  FakeStore(boost::asio::io_context& context, const core::Endpoint& listen);
  ~FakeStore();

  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cornelrelay::fakes
