#pragma once

/// Status codes that the project's modules read or send by name.
namespace calicodrift::http {

inline constexpr unsigned kStatusOk = 200;
inline constexpr unsigned kStatusAccepted = 202;
inline constexpr unsigned kStatusBadRequest = 400;
inline constexpr unsigned kStatusForbidden = 403;
inline constexpr unsigned kStatusNotFound = 404;
inline constexpr unsigned kStatusConflict = 409;
inline constexpr unsigned kStatusGone = 410;
inline constexpr unsigned kStatusPreconditionFailed = 412;
inline constexpr unsigned kStatusMisdirected = 421;
inline constexpr unsigned kStatusTooManyRequests = 429;
inline constexpr unsigned kStatusBadGateway = 502;
inline constexpr unsigned kStatusUnavailable = 503;

/// Whether the status is one of success (2xx).
constexpr bool isSuccess(unsigned status) {
  return status >= 200 && status < 300;
}

}  // namespace calicodrift::http
