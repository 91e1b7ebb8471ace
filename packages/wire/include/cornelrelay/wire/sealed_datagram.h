#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/wire/mac_key.h"

namespace cornelrelay::wire {

inline constexpr std::size_t kMacBytes = 16;
inline constexpr std::size_t kMaxSenderId = 40;

/// \brief Authenticated envelope of an encoded message.
struct SealedDatagram {
  core::HostId sender;
  std::uint64_t incarnation = 0;  ///< start number of the sender's process
  std::uint64_t counter = 0;      ///< one higher for each message of this incarnation
  std::string payload;

  friend auto operator<=>(const SealedDatagram&, const SealedDatagram&) = default;
};

/// \brief Bytes for the network: header, payload and HMAC-SHA256 truncated to 16 bytes.
///
/// \code
/// socket.Send(Seal({self, incarnation, ++counter, Encode(message)}, key));
/// \endcode
std::string Seal(const SealedDatagram& datagram, const MacKey& key);

/// \brief Checks size and code before anything is decoded; throws MessageTooLarge, ForgedDatagram
/// or MalformedMessage. `limit` is 1,200 for datagrams and more for TCP frames.
SealedDatagram Open(std::string_view bytes, const MacKey& key, std::size_t limit);

}  // namespace cornelrelay::wire
