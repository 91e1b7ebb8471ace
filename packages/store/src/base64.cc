#include "cornelrelay/store/base64.h"

#include <openssl/evp.h>

#include "cornelrelay/store/malformed_store_message.h"

namespace cornelrelay::store {

std::string EncodeBase64(std::string_view bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');  // EVP_EncodeBlock adds a zero byte
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(bytes.data()),
                                   static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::string DecodeBase64(std::string_view text) {
  if (text.empty()) return {};
  // EVP_DecodeBlock skips white space at the ends and would then report a wrong size.
  const auto last = text.find_last_not_of('=');
  const std::size_t padding = last == std::string_view::npos ? text.size() : text.size() - last - 1;
  if (text.size() % 4 != 0 || padding > 2 ||
      text.find_first_of(" \t\r\n") != std::string_view::npos) {
    throw MalformedStoreMessage("invalid base64");
  }
  std::string bytes(text.size() / 4 * 3, '\0');
  const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                   reinterpret_cast<const unsigned char*>(text.data()),
                                   static_cast<int>(text.size()));
  if (size < 0) throw MalformedStoreMessage("invalid base64");
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

}  // namespace cornelrelay::store
