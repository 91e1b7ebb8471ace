#pragma once

namespace cornelrelay::core {

// Statuses of HTTP that decide something here (RFC 9110, section 15).
inline constexpr int kStatusOk = 200;
inline constexpr int kStatusAccepted = 202;
inline constexpr int kFirstRedirectStatus = 300;
inline constexpr int kFirstClientErrorStatus = 400;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusRequestTimeout = 408;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusGone = 410;
inline constexpr int kStatusPreconditionFailed = 412;
inline constexpr int kStatusMisdirected = 421;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kFirstServerErrorStatus = 500;
inline constexpr int kStatusInternalError = 500;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

/// \brief Whether callers take the status as a guarantee that the request has not run and never
/// will.
constexpr bool PromisesNotRun(int status) {
  return status == kStatusRequestTimeout || status == kStatusMisdirected ||
         status == kStatusTooManyRequests || status == kStatusUnavailable;
}

}  // namespace cornelrelay::core
