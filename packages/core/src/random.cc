#include "cornelrelay/core/random.h"

#include <cassert>

namespace cornelrelay::core {

Random::result_type Random::operator()() {
  m_state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t z = m_state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

std::uint64_t Random::Below(std::uint64_t bound) {
  assert(bound > 0);
  return (*this)() % bound;
}

double Random::Unit() {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>((*this)() >> 11) * kScale;
}

}  // namespace cornelrelay::core
