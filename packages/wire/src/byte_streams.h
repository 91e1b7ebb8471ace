#pragma once

#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>

namespace cornelrelay::wire::internal {

/// \brief Appends what is written to a string, without the locale and state of a string stream.
class StringSink : public std::streambuf {
 public:
  explicit StringSink(std::string& target) : m_target(target) {}

 protected:
  std::streamsize xsputn(const char* bytes, std::streamsize count) override {  // NOLINT: std name
    m_target.append(bytes, static_cast<std::size_t>(count));
    return count;
  }
  int_type overflow(int_type byte) override {  // NOLINT: std name
    m_target.push_back(static_cast<char>(byte));
    return byte;
  }

 private:
  std::string& m_target;
};

/// \brief Reads from memory that outlives it.
class ViewSource : public std::streambuf {
 public:
  explicit ViewSource(std::string_view bytes) {
    char* begin = const_cast<char*>(bytes.data());  // NOLINT: setg takes char*, reads only
    setg(begin, begin, begin + bytes.size());
  }

  std::size_t Remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

}  // namespace cornelrelay::wire::internal
