#pragma once

#include <chrono>

namespace cornelrelay::net {

/// \brief Time limits of one exchange.
///
/// Without the second limit, a peer that sends a byte now and then would keep an exchange open for
/// as long as it likes.
struct ExchangeTimeouts {
  std::chrono::milliseconds silence;  ///< for each read or write
  std::chrono::milliseconds total;    ///< from the open connection to the end of the response
};

}  // namespace cornelrelay::net
