#include "cornelrelay/settings/credential_digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace cornelrelay::settings {

CredentialDigest CredentialDigest::Of(std::string_view credential) {
  static_assert(sizeof(Bytes) == SHA256_DIGEST_LENGTH);
  CredentialDigest digest;
  SHA256(reinterpret_cast<const unsigned char*>(credential.data()), credential.size(),
         digest.m_bytes.data());
  return digest;
}

bool CredentialDigest::Matches(std::string_view credential) const {
  const CredentialDigest other = Of(credential);
  return CRYPTO_memcmp(m_bytes.data(), other.m_bytes.data(), m_bytes.size()) == 0;
}

}  // namespace cornelrelay::settings
