#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace cornelrelay::net {

/// \brief Immutable body of a message. Copies share the bytes, so that all attempts to send a large
/// body hold it once.
///
/// \code
/// const SharedBody body(std::move(request.body));
/// co_await exchange->SendRequest(std::move(request), body);
/// \endcode
class SharedBody {
 public:
  SharedBody() = default;
  explicit SharedBody(std::string bytes)
      : m_bytes(std::make_shared<const std::string>(std::move(bytes))) {}

  std::string_view view() const { return m_bytes ? std::string_view(*m_bytes) : ""; }
  std::size_t size() const { return view().size(); }

  friend bool operator==(const SharedBody& a, const SharedBody& b) { return a.view() == b.view(); }

 private:
  std::shared_ptr<const std::string> m_bytes;
};

}  // namespace cornelrelay::net
