#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/request/injected_fault.h"
#include "cornelrelay/request/stream_verdict.h"

namespace cornelrelay::request {

/// \brief Checks a whole (not streamed) chat completion: its length against the announced one, its
/// JSON `id` against the attempt, and a finish_reason in every choice. Gives End, Truncated,
/// Foreign or Malformed. For a status other than 200 use CheckPlainAnswer: such answers have no
/// such body.
///
/// \code
/// const StreamVerdict verdict = CheckModelAnswer(attempt, head.content_length, body);
/// \endcode
StreamVerdict CheckModelAnswer(const core::AttemptId& attempt,
                               std::optional<std::uint64_t> announced_length, std::string_view body,
                               InjectedFault fault = InjectedFault::kNone);

/// \brief Checks the answer of a plain service, whose body is opaque: length, and the echoed
/// `X-Request-Id` when the service echoes it.
StreamVerdict CheckPlainAnswer(const core::AttemptId& attempt,
                               std::optional<std::uint64_t> announced_length,
                               std::uint64_t received_length,
                               std::optional<std::string_view> echoed_id,
                               InjectedFault fault = InjectedFault::kNone);

}  // namespace cornelrelay::request
