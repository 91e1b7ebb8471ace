#include "cornelrelay/wire/mac_key.h"

#include <openssl/crypto.h>

#include <utility>

#include "cornelrelay/wire/weak_key.h"

namespace cornelrelay::wire {
namespace {

constexpr std::size_t kMinimumBytes = 16;

}  // namespace

MacKey::MacKey(std::string bytes) : m_bytes(std::move(bytes)) {
  if (m_bytes.size() < kMinimumBytes) throw WeakKey();
}

MacKey::~MacKey() { OPENSSL_cleanse(m_bytes.data(), m_bytes.size()); }

}  // namespace cornelrelay::wire
