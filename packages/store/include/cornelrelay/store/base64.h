#pragma once

#include <string>
#include <string_view>

namespace cornelrelay::store {

/// \brief Standard base64 with padding, as the JSON gateway uses it for keys and values.
std::string EncodeBase64(std::string_view bytes);

/// \brief Inverse of EncodeBase64; throws MalformedStoreMessage.
std::string DecodeBase64(std::string_view text);

}  // namespace cornelrelay::store
