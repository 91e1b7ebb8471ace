#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>

#include "cornelrelay/core/endpoint.h"

namespace cornelrelay::fakes {

/// \brief Stand-in for the platform's list of hosts, which lags.
///
/// `POST /hosts` with {"hosts": [{host, role, data_centre, control, leaving}]} sets the list;
/// `GET /hosts` returns it as it was `lag` ago.
class FakeHostList {
 public:
  FakeHostList(boost::asio::io_context& context, const core::Endpoint& listen,
               std::chrono::milliseconds lag);
  ~FakeHostList();

  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cornelrelay::fakes
