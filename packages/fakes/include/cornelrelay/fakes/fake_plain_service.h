#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "cornelrelay/core/endpoint.h"

namespace cornelrelay::fakes {

struct PlainServiceOptions {
  std::string id;
  core::Endpoint listen;
  std::chrono::milliseconds work_time{5};
  std::string ledger_file;  ///< each executed POST appends its Idempotency-Key; empty = none
};

/// \brief Stand-in for a plain service whose POST calls have an effect each time they run.
class FakePlainService {
 public:
  FakePlainService(boost::asio::io_context& context, PlainServiceOptions options);
  ~FakePlainService();

  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cornelrelay::fakes
