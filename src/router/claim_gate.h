#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "claims/claim_node.h"
#include "claims/object_view_store.h"
#include "router/caller.h"
#include "router/node_settings.h"

namespace calicodrift::router {

/// Leave to dispatch one not-repeatable request, or the answer that it had before.
struct ClaimGrant {
  /// Nothing where the caller sent no key, so that no other router can meet the request.
  std::optional<claims::ClaimKey> key;
  claims::AttemptToken token;
  /// Set where the request ran before: it must not be dispatched.
  std::optional<claims::StoredOutcome> replay;
};

/// Whether a retry of the request gets the answer itself.
enum class KeepBody { kIfShort, kNo };

/// Through here goes every not-repeatable request, before its dispatch and after its answer.
/// Invariant: a key is dispatched by one attempt of one router only; see docs/design/at-most-once.
class ClaimGate {
 public:
  ClaimGate(const boost::asio::any_io_executor& executor, const NodeSettings& settings,
            http::Client& client, peer::Transport& transport, prometheus::Registry& registry);

  /// Joins the claims of the fleet, once the transport listens.
  void start(const peer::PeerDirectory& directory);
  /// A key for a request that came without one.
  std::string makeKey();
  /// Returns within the claim time-out. Fails with kIdempotencyKeyInvalid, kIdempotencyKeyTooOld,
  /// kDuplicateRequest, kAlreadyCompleted, kOverloaded or kClaimUnavailable; never dispatched then.
  boost::asio::awaitable<Result<ClaimGrant>> claim(TenantId tenant, std::string idempotencyKey);
  /// The granted request was answered by its back end.
  void complete(const ClaimGrant& grant, const http::Response& answer,
                KeepBody keepBody = KeepBody::kIfShort);
  /// The granted request ended without an answer. Only an error that says `run: no` frees the key.
  void fail(const ClaimGrant& grant, const Error& error);

 private:
  boost::asio::awaitable<void> tickForever();

  boost::asio::any_io_executor executor_;
  const NodeSettings& settings_;
  peer::Transport& transport_;
  claims::ClaimMetrics metrics_;
  claims::ObjectViewStore store_;
  std::mt19937_64 random_;
  std::unique_ptr<claims::ClaimNode> node_;
};

/// The answer of an earlier attempt, marked as a replay.
http::Response replayResponse(const claims::StoredOutcome& outcome);

/// An error of a dispatched not-repeatable request as its caller should read it: where it may have
/// run, that the outcome is unknown, and not how the answer broke off.
Error inDoubt(const Error& error);

}  // namespace calicodrift::router
