#pragma once

#include <boost/outcome.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace calicodrift {

/// Every way in which an operation can fail. The list is closed: a new kind needs a row in
/// `kErrorTable`, which a static_assert checks.
enum class ErrorKind : unsigned {
  kMalformedRequest,
  kUnauthenticated,
  kUnknownModel,
  kUnknownRoute,
  kMethodNotAllowed,
  kBodyTooLarge,
  kHeaderTooLarge,
  kPromptTooLong,
  kRequestTimeout,
  kTooManyConnections,
  kRateLimited,
  kOverloaded,
  kDeadlineUnreachable,
  kNoBackend,
  kNoConfiguration,
  kDraining,
  kRequestBarred,
  kTrialUnderWay,
  kConnectFailed,
  kBackendRefused,
  kOtherWeights,
  kServerWithdrawn,
  kStreamVersionGone,
  kStreamVersionUnproven,
  kIdempotencyKeyInvalid,
  kIdempotencyKeyTooOld,
  kDuplicateRequest,
  kAlreadyCompleted,
  kClaimUnavailable,
  kOutcomeUnknown,
  kDeadlineExceeded,
  kStreamBroken,
  kWeightsOutdated,
  kCallerGone,
  kSettingsInvalid,
  kBundleInvalid,
  kSignatureInvalid,
  kVersionConflict,
  kStoreUnavailable,
  kNotFound,
  kFenced,
  kProtocolViolation,
  kInternal,
  kCount,
};

/// What an answer says of the request's execution. `kNo` is a promise: no back end started it.
enum class RunStatement { kNo, kMaybe, kYes };

/// What a caller should do after an error.
enum class RetryAdvice { kNever, kAfterDelay, kWithSameKey };

/// One row of the table from kind to answer.
struct ErrorRow {
  ErrorKind kind;
  /// Stable name in answers, logs and counters.
  std::string_view name;
  unsigned httpStatus;
  RunStatement run;
  RetryAdvice retry;
  /// What the reader of the answer should do.
  std::string_view remedy;
};

const ErrorRow& errorRow(ErrorKind kind);
std::string_view toString(RunStatement run);
std::string_view toString(RetryAdvice advice);

/// A Markdown table of every kind with its answer and what to do, for the reference page.
std::string errorReferenceTable();

/// A failure with its kind and a detail for people. `retryAfter` is set where the time is known.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;
  std::optional<std::chrono::milliseconds> retryAfter{};
  /// Stable name of the cause, for counters; empty where the kind says enough.
  std::string_view reason{};
};

template <typename Value>
using Result = boost::outcome_v2::unchecked<Value, Error>;

/// Shorthand for `return fail(kind, "detail")` in a function that returns a Result.
inline Error fail(ErrorKind kind, std::string detail) {
  return Error{kind, std::move(detail)};
}

}  // namespace calicodrift
