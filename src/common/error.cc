#include "common/error.h"

#include <array>

namespace calicodrift {
namespace {

using enum ErrorKind;
constexpr auto kNoRun = RunStatement::kNo;
constexpr auto kMayRun = RunStatement::kMaybe;
constexpr auto kDidRun = RunStatement::kYes;
constexpr auto kNever = RetryAdvice::kNever;
constexpr auto kLater = RetryAdvice::kAfterDelay;
constexpr auto kSameKey = RetryAdvice::kWithSameKey;
constexpr std::size_t kKindCount = static_cast<std::size_t>(kCount);

// Ordered as the enum, so that a lookup is an index; errorTableIsOrdered() keeps it so.
constexpr std::array<ErrorRow, kKindCount> kErrorTable{{
    {kMalformedRequest, "malformed_request", 400, kNoRun, kNever,
     "correct the request as the detail says"},
    {kUnauthenticated, "unauthenticated", 401, kNoRun, kNever,
     "send 'Authorization: Bearer KEY' with a key of a tenant in the bundle"},
    {kUnknownModel, "unknown_model", 404, kNoRun, kNever, "choose a model from GET /v1/models"},
    {kUnknownRoute, "unknown_route", 404, kNoRun, kNever,
     "use /v1/... or a service path of the bundle"},
    {kMethodNotAllowed, "method_not_allowed", 405, kNoRun, kNever, "use the method of this path"},
    {kBodyTooLarge, "body_too_large", 413, kNoRun, kNever,
     "send a smaller body (setting max-body-bytes)"},
    {kHeaderTooLarge, "header_too_large", 431, kNoRun, kNever,
     "send smaller headers (setting max-header-bytes)"},
    {kPromptTooLong, "prompt_too_long", 400, kNoRun, kNever, "shorten the prompt"},
    {kRequestTimeout, "request_timeout", 408, kNoRun, kLater, "send the request faster"},
    {kTooManyConnections, "too_many_connections", 503, kNoRun, kLater, "use another router"},
    {kRateLimited, "rate_limited", 429, kNoRun, kLater, "slow down; see Retry-After"},
    {kOverloaded, "overloaded", 503, kNoRun, kLater, "try again after Retry-After"},
    {kDeadlineUnreachable, "deadline_unreachable", 503, kNoRun, kLater,
     "allow more time or try after Retry-After"},
    {kNoBackend, "no_backend", 503, kNoRun, kLater, "try again after Retry-After"},
    {kNoConfiguration, "no_configuration", 503, kNoRun, kLater,
     "try again: this router has no signed bundle yet"},
    {kDraining, "draining", 503, kNoRun, kLater, "use another router: this one is stopping"},
    {kRequestBarred, "request_barred", 503, kNoRun, kNever,
     "several servers have ended under this request: don't repeat it; an operator can lift the "
     "bar"},
    {kTrialUnderWay, "trial_under_way", 503, kNoRun, kLater,
     "servers have ended under this request, and another attempt of it is under way; try again "
     "after Retry-After"},
    {kConnectFailed, "connect_failed", 502, kNoRun, kLater, "try again after Retry-After"},
    {kBackendRefused, "backend_refused", 503, kNoRun, kLater, "try again after Retry-After"},
    {kOtherWeights, "other_weights", 503, kNoRun, kLater,
     "the server has other weights than were expected; try again after Retry-After"},
    {kServerWithdrawn, "server_withdrawn", 503, kNoRun, kLater,
     "the server may get no requests any more, and got none; try again after Retry-After"},
    {kStreamVersionGone, "stream_version_gone", 503, kNoRun, kNever,
     "the stream can't go on: begin it anew, without Last-Event-Id"},
    {kStreamVersionUnproven, "stream_version_unproven", 503, kNoRun, kLater,
     "this router can't tell for now where the stream goes on; try again after Retry-After"},
    {kIdempotencyKeyInvalid, "idempotency_key_invalid", 400, kNoRun, kNever,
     "send a UUIDv7 made now as Idempotency-Key"},
    {kIdempotencyKeyTooOld, "idempotency_key_too_old", 409, kMayRun, kNever,
     "look up whether the earlier attempt took effect"},
    {kDuplicateRequest, "duplicate_request", 409, kMayRun, kNever,
     "another attempt with this key holds the claim; look up its effect"},
    {kAlreadyCompleted, "already_completed", 409, kDidRun, kNever,
     "none: the request ran; look up its effect if the answer is needed"},
    {kClaimUnavailable, "claim_unavailable", 503, kMayRun, kSameKey,
     "this attempt did not run, an earlier one may have; try the same key after Retry-After"},
    {kOutcomeUnknown, "outcome_unknown", 502, kMayRun, kSameKey,
     "the request may have run; repeat only with the same key"},
    {kDeadlineExceeded, "deadline_exceeded", 504, kMayRun, kSameKey,
     "the request may have run; repeat only with the same key"},
    {kStreamBroken, "stream_broken", 502, kMayRun, kSameKey,
     "resume with Last-Event-ID through any router"},
    {kWeightsOutdated, "weights_outdated", 502, kMayRun, kSameKey,
     "newer weights were named while the request waited at a server; repeat with the same key"},
    {kCallerGone, "caller_gone", 499, kMayRun, kNever, "none: the caller left"},
    {kSettingsInvalid, "settings_invalid", 500, kNoRun, kNever, "correct the named setting"},
    {kBundleInvalid, "bundle_invalid", 422, kNoRun, kNever, "correct the bundle at the named path"},
    {kSignatureInvalid, "signature_invalid", 403, kNoRun, kNever,
     "have the bundle signed by enough trusted signers"},
    {kVersionConflict, "version_conflict", 409, kNoRun, kNever,
     "read the newer version, redo the change on it, submit again"},
    {kStoreUnavailable, "store_unavailable", 503, kNoRun, kLater, "try again when the store is up"},
    {kNotFound, "not_found", 404, kNoRun, kNever, "check the name"},
    {kFenced, "fenced", 412, kNoRun, kNever, "a newer lease holder exists: stop acting"},
    {kProtocolViolation, "protocol_violation", 502, kMayRun, kNever,
     "the peer broke the protocol; see the detail"},
    {kInternal, "internal", 500, kMayRun, kNever, "report this with the router's log"},
}};

constexpr bool errorTableIsOrdered() {
  for (std::size_t index = 0; index < kKindCount; ++index) {
    if (static_cast<std::size_t>(kErrorTable[index].kind) != index) {
      return false;
    }
  }
  return true;
}
static_assert(errorTableIsOrdered(), "kErrorTable must list every ErrorKind in order");

}  // namespace

const ErrorRow& errorRow(ErrorKind kind) {
  return kErrorTable.at(static_cast<std::size_t>(kind));
}

std::string_view toString(RunStatement run) {
  switch (run) {
    case RunStatement::kNo:
      return "no";
    case RunStatement::kMaybe:
      return "maybe";
    case RunStatement::kYes:
      return "yes";
  }
  return "maybe";
}

std::string_view toString(RetryAdvice advice) {
  switch (advice) {
    case RetryAdvice::kNever:
      return "never";
    case RetryAdvice::kAfterDelay:
      return "after_delay";
    case RetryAdvice::kWithSameKey:
      return "with_same_key";
  }
  return "never";
}

std::string errorReferenceTable() {
  std::string table = "| kind | status | run | retry | what to do |\n|---|---|---|---|---|\n";
  for (const ErrorRow& row : kErrorTable) {
    table += "| `" + std::string(row.name) + "` | " + std::to_string(row.httpStatus) + " | ";
    table += std::string(toString(row.run)) + " | " + std::string(toString(row.retry)) + " | ";
    table += std::string(row.remedy) + " |\n";
  }
  return table;
}

}  // namespace calicodrift
