#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::quarantine {

/// \brief Identifies a request across resends and entry processes; 8 bytes, so that a record holds
/// many.
///
/// \code
/// const Fingerprint print = Fingerprint::Of(account, service, body);
/// \endcode
class Fingerprint {
 public:
  constexpr Fingerprint() = default;
  constexpr explicit Fingerprint(std::uint64_t value) : m_value(value) {}

  /// \param body the body or a digest of it
  static Fingerprint Of(const core::ClientAccountId& account, const core::ServiceId& service,
                        std::string_view body);

  /// \brief Identifies a request by its account, method, target and body.
  static Fingerprint OfRequest(const core::ServiceId& service, const core::ClientAccountId& account,
                               std::string_view method, std::string_view target,
                               std::string_view body);

  /// \brief Identifies a segment of prompts by its id.
  static Fingerprint OfSegment(const core::ServiceId& service, std::string_view id);

  constexpr std::uint64_t value() const { return m_value; }
  /// \brief Tells the fingerprints of OfRequest() from those of OfSegment(). A bit of the value, as
  /// reports between processes carry nothing else.
  constexpr bool is_request() const { return (m_value & kRequestBit) != 0; }

  friend bool operator==(const Fingerprint&, const Fingerprint&) = default;
  friend std::strong_ordering operator<=>(const Fingerprint& a, const Fingerprint& b) {
    return a.m_value <=> b.m_value;
  }

 private:
  static constexpr std::uint64_t kRequestBit = 1;

  std::uint64_t m_value = 0;
};

}  // namespace cornelrelay::quarantine
