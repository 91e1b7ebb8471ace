#pragma once

#include <string>
#include <string_view>

#include "fields.h"

namespace cornelrelay::wire::internal {

/// \param code writes the fields of a message to an archive, and reads them from one
template <class Message, class Code>
std::string EncodeMessage(const Message& message, Code code) {
  std::string bytes;
  Writer writer(bytes);
  code(writer, message);
  return bytes;
}

/// \throws MalformedMessage also if bytes are left over
template <class Message, class Code>
Message DecodeMessage(std::string_view bytes, Code code) {
  try {
    Message message;
    Reader reader(bytes);
    code(reader, message);
    if (reader.source.Remaining() != 0) throw MalformedMessage();
    return message;
  } catch (const cereal::Exception&) {
    throw MalformedMessage();  // cereal reports a short read this way
  }
}

}  // namespace cornelrelay::wire::internal
