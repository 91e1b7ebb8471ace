#pragma once

// toml++ 3.3 asserts that a key starts with a valid character before it reports that it does not,
// so
// `[.a]` ended the process. Without the assertion it reports a parse error with its place.
#define TOML_ASSERT(expression) static_cast<void>(0)

#include <toml++/toml.h>
