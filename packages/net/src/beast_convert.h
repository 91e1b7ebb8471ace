#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <string>

#include "cornelrelay/net/http_headers.h"

namespace cornelrelay::net::internal {

inline HttpHeaders ToHeaders(const boost::beast::http::fields& fields) {
  HttpHeaders headers;
  for (const auto& field : fields) {
    const auto [found, added] =
        headers.try_emplace(std::string(field.name_string()), field.value());
    if (!added) found->second.append(", ").append(field.value());
  }
  return headers;
}

template <class Message>
void CopyHeaders(const HttpHeaders& headers, Message& message) {
  for (const auto& [name, value] : headers) message.set(name, value);
}

}  // namespace cornelrelay::net::internal
