#pragma once

#include <chrono>

#include "cornelrelay/store/store_client_options.h"

namespace cornelrelay::runtime {

/// \brief Options of a StoreLink whose users repeat failed calls themselves.
///
/// \param calls_per_second share of the store's rates that this process may use
/// \param watch_timeout longest wait for the next bytes of a watch
store::StoreClientOptions UnrepeatedCalls(double calls_per_second,
                                          std::chrono::milliseconds call_timeout,
                                          std::chrono::milliseconds watch_timeout);

}  // namespace cornelrelay::runtime
