#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/request/injected_fault.h"
#include "cornelrelay/request/stream_verdict.h"

namespace cornelrelay::request {

/// \brief Checks a non-streamed chat completion: the body length must equal `content_length`
/// (bytes) if given, the JSON `id` must be the attempt id, and every choice must have a
/// finish_reason. Returns End, Truncated, Foreign or Malformed. Use CheckPlainAnswer for a status
/// other than 200, because the body is then not a chat completion.
///
/// \code
/// const StreamVerdict verdict = CheckModelAnswer(attempt, head.content_length, body);
/// \endcode
StreamVerdict CheckModelAnswer(const core::AttemptId& attempt,
                               std::optional<std::uint64_t> content_length, std::string_view body,
                               InjectedFault fault = InjectedFault::kNone);

/// \brief Checks an answer whose body is opaque: the received length must equal `content_length`
/// (both in bytes), and an echoed `X-Request-Id` must be the attempt id. Either check is skipped if
/// the answer lacks the header. Returns End, Truncated, Foreign or Malformed.
StreamVerdict CheckPlainAnswer(const core::AttemptId& attempt,
                               std::optional<std::uint64_t> content_length,
                               std::uint64_t received_length,
                               std::optional<std::string_view> echoed_id,
                               InjectedFault fault = InjectedFault::kNone);

}  // namespace cornelrelay::request
