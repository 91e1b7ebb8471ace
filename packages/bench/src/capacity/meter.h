#pragma once

#include <cstddef>

namespace cornelrelay::bench {

/// \brief CPU time of this process in microseconds. Timing is noisy on a shared machine.
double CpuMicroseconds();

/// \brief Bytes of the heap that are in use, including the allocator's own headers.
double HeapBytes();

}  // namespace cornelrelay::bench
