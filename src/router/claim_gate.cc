#include "router/claim_gate.h"

#include <boost/asio.hpp>

namespace calicodrift::router {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using claims::ClaimResult;
using claims::ClaimVerdict;
constexpr Milliseconds kTickInterval{20};
constexpr Milliseconds kUnavailableRetryAfter{1000};
constexpr std::size_t kMaxContentTypeBytes = 100;

claims::ClaimSettings claimSettings(const NodeSettings& settings) {
  claims::ClaimSettings claims;
  claims.maxClockSkew = settings.claimClockBound;
  claims.retention = settings.claimRetention;
  claims.claimTimeout = settings.claimTimeout;
  claims.maxRecords = static_cast<std::size_t>(settings.claimMaxRecords);
  claims.viewChangeDelay = settings.claimViewChangeDelay;
  return claims;
}

claims::ClockReading clockReadingNow() {
  const auto wall = std::chrono::duration_cast<Milliseconds>(wallNow().time_since_epoch());
  return {monotonicNow(), static_cast<std::uint64_t>(wall.count())};
}

std::uint64_t randomSeed() {
  std::random_device device;
  constexpr unsigned kHalfBits = 32;
  return (std::uint64_t{device()} << kHalfBits) | device();
}

Error refusalOf(const ClaimResult& result) {
  switch (result.verdict) {
    case ClaimVerdict::kInProgress:
      return calicodrift::fail(ErrorKind::kDuplicateRequest,
                               "another attempt with this Idempotency-Key may be running");
    case ClaimVerdict::kCompleted:
      return calicodrift::fail(
          ErrorKind::kAlreadyCompleted,
          "an earlier attempt with this Idempotency-Key was answered with status " +
              std::to_string(result.outcome ? result.outcome->status : 0) +
              "; the answer's body was not kept");
    case ClaimVerdict::kKeyTooOld:
      return calicodrift::fail(ErrorKind::kIdempotencyKeyTooOld,
                               "the Idempotency-Key is older than claims are remembered");
    case ClaimVerdict::kKeyFromFuture:
      return calicodrift::fail(ErrorKind::kIdempotencyKeyInvalid,
                               "the time in the Idempotency-Key is in the future");
    case ClaimVerdict::kMemoryFull:
      return Error{ErrorKind::kOverloaded, "the memory for claims is full", kUnavailableRetryAfter};
    case ClaimVerdict::kGranted:
    case ClaimVerdict::kUnavailable:
      break;
  }
  return Error{ErrorKind::kClaimUnavailable, "no majority of the claim's replicas could vote",
               kUnavailableRetryAfter};
}

/// Waits for the verdict of one claim.
awaitable<ClaimResult> verdictOf(asio::any_io_executor executor, claims::ClaimNode& node,
                                 claims::ClaimKey key) {
  auto start = [executor, &node, key](auto handler) {
    auto shared = std::make_shared<decltype(handler)>(std::move(handler));
    node.claim(key, [executor, shared](const ClaimResult& result) {
      asio::post(executor, [shared, result] { (*shared)(result); });
    });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(ClaimResult)>(
      std::move(start), asio::use_awaitable);
}

}  // namespace

ClaimGate::ClaimGate(const asio::any_io_executor& executor, const NodeSettings& settings,
                     http::Client& client, peer::Transport& transport,
                     prometheus::Registry& registry)
    : executor_(executor),
      settings_(settings),
      transport_(transport),
      metrics_(registry),
      store_(executor, client, settings.objectApi),
      random_(randomSeed()) {}

void ClaimGate::start(const peer::PeerDirectory& directory) {
  node_ = std::make_unique<claims::ClaimNode>(claimSettings(settings_), transport_, directory,
                                              store_, metrics_, clockReadingNow, random_());
  asio::co_spawn(executor_, tickForever(), asio::detached);
}

awaitable<void> ClaimGate::tickForever() {
  asio::steady_timer timer(executor_);
  for (;;) {
    node_->tick();
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

std::string ClaimGate::makeKey() {
  const std::uint64_t high = random_();
  return claims::makeUuidV7(clockReadingNow().wall, high, random_());
}

awaitable<Result<ClaimGrant>> ClaimGate::claim(TenantId tenant, std::string idempotencyKey) {
  ClaimGrant grant;
  if (idempotencyKey.empty()) {
    co_return grant;
  }
  const Result<claims::ClaimKey> key = claims::parseClaimKey(tenant, idempotencyKey);
  if (!key) {
    co_return key.error();
  }
  const ClaimResult result = co_await verdictOf(executor_, *node_, key.value());
  grant.key = key.value();
  grant.token = result.token;
  if (result.verdict == ClaimVerdict::kGranted) {
    co_return grant;
  }
  if (result.verdict == ClaimVerdict::kCompleted && result.outcome && result.outcome->bodyStored) {
    grant.replay = result.outcome;
    co_return grant;
  }
  co_return refusalOf(result);
}

void ClaimGate::complete(const ClaimGrant& grant, const http::Response& answer, KeepBody keepBody) {
  if (!grant.key) {
    return;
  }
  claims::StoredOutcome outcome;
  outcome.status = answer.status;
  outcome.contentType = answer.headers.get("Content-Type");
  outcome.bodyStored = keepBody == KeepBody::kIfShort &&
                       answer.body.size() <= claims::kMaxStoredBodyBytes &&
                       outcome.contentType.size() <= kMaxContentTypeBytes;
  if (outcome.bodyStored) {
    outcome.body = answer.body;
  } else {
    outcome.contentType.clear();
  }
  node_->complete(*grant.key, grant.token, std::move(outcome));
}

void ClaimGate::fail(const ClaimGrant& grant, const Error& error) {
  if (grant.key && errorRow(error.kind).run == RunStatement::kNo) {
    node_->release(*grant.key, grant.token);
  }
}

http::Response replayResponse(const claims::StoredOutcome& outcome) {
  http::Response response{outcome.status, {}, outcome.body};
  response.headers.set("Content-Type", outcome.contentType);
  response.headers.set(http::kRunHeader, std::string(toString(RunStatement::kYes)));
  response.headers.set(http::kReplayHeader, "true");
  return response;
}

Error inDoubt(const Error& error) {
  const bool precise =
      errorRow(error.kind).run == RunStatement::kNo || error.kind == ErrorKind::kCallerGone;
  if (precise) {
    return error;
  }
  return calicodrift::fail(ErrorKind::kOutcomeUnknown, error.detail);
}

}  // namespace calicodrift::router
