#include "read_file.h"

#include <fstream>
#include <iterator>

#include "cornelrelay/entry/command_errors.h"

namespace cornelrelay::entry::internal {

std::string ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw FileUnreadable(file);
  return std::string(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
}

}  // namespace cornelrelay::entry::internal
