#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace cornelrelay::settings {

/// \brief SHA-256 of an API key or operator credential. Only the digest is kept, so that no log or
/// dump can contain the credential itself.
///
/// \code
/// const auto account = accounts_by_key.find(CredentialDigest::Of(bearer_token));
/// \endcode
class CredentialDigest {
 public:
  using Bytes = std::array<std::uint8_t, 32>;

  CredentialDigest() = default;
  explicit CredentialDigest(const Bytes& bytes) : m_bytes(bytes) {}
  static CredentialDigest Of(std::string_view credential);

  /// \brief Compares in constant time.
  bool Matches(std::string_view credential) const;

  // clang-tidy 14 takes the 0 in the generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const CredentialDigest&, const CredentialDigest&) = default;
  friend bool operator==(const CredentialDigest&, const CredentialDigest&) = default;

 private:
  Bytes m_bytes{};
};

}  // namespace cornelrelay::settings
