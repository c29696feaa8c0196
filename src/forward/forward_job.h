#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "common/hashing.h"
#include "forward/answer_relay.h"
#include "forward/forwarder.h"
#include "forward/prompt_blocks.h"
#include "forward/server_attempt.h"
#include "forward/tenant_limit.h"
#include "quarantine/fingerprint.h"

// Internal to src/forward: only forwarder*.cc include this file.
namespace calicodrift::forward {

/// One request over its dispatches. Shared with the timer and the caller's connection, which may
/// end it from outside.
struct Forwarder::Job {
  Job(Request givenRequest, Grant givenGrant, http::ResponseWriter& writer,
      const boost::asio::any_io_executor& executor)
      : request(std::move(givenRequest)),
        grant(std::move(givenGrant)),
        writer(writer),
        relay(writer, request.resumeAfter),
        routeRequest(toRouteRequest(request, grant)),
        limitUse(request, grant.tenant),
        timer(executor) {
    const Milliseconds allowed =
        std::min(grant.route->timeout, request.patience.value_or(grant.route->timeout));
    end = request.received + allowed;
  }

  /// Whether another server may go on where this one fails.
  bool mayMoveOn() const {
    return grant.route->idempotent() && attempts.mayHaveRun + 1 < grant.route->maxAttempts;
  }
  service_rollout::RouteKey routeKey() const {
    return service_rollout::RouteKey(hashBytes(grant.route->name));
  }
  bool streaming() const { return grant.route->kind == routes::RouteKind::kStreaming; }
  /// Reads the body at the first call only.
  const quarantine::RequestFingerprint& fingerprint() {
    if (!knownFingerprint) {
      const TenantId tenant = grant.tenant != nullptr ? grant.tenant->id : TenantId();
      knownFingerprint = quarantine::fingerprintOf({tenant, request.message.method, request.host,
                                                    request.message.target, request.message.body});
    }
    return *knownFingerprint;
  }
  /// Ends the dispatch that is under way.
  void cancelAttempt() {
    if (attempt) {
      attempt->cancel();
    }
  }

  Request request;
  Grant grant;
  http::ResponseWriter& writer;
  AnswerRelay relay;
  routing::RouteRequest routeRequest;
  TenantLimitUse limitUse;
  std::string service;
  MonotonicTime end;
  boost::asio::steady_timer timer;
  bool expired = false;
  AttemptCount attempts;
  std::shared_ptr<ServerAttempt> attempt;
  /// A server's own failure, delivered where no other server does better.
  std::optional<http::Response> keptFailure;
  std::optional<quarantine::RequestFingerprint> knownFingerprint;
  /// Leave for the dispatch that comes or is under way.
  quarantine::Trial trial;
  /// The last dispatch's server answered with a failure of its own, which was kept.
  bool ranToItsEnd = false;
  BackendId lastServer;
  /// For how long newer weights had been named when the last server began; nothing where it had the
  /// newest.
  std::optional<Milliseconds> begunOutdatedFor;
  unsigned status = 0;
};

/// A server that was chosen for one dispatch, and what was known of it then.
struct Forwarder::Chosen {
  fleet::Server server;
  routing::Candidate candidate;
  /// Another server that is believed to hold the prompt's common part.
  std::optional<routing::Candidate> holder;
  std::string_view reason;
  /// How many it was chosen from.
  std::size_t candidates = 0;
  /// Prompt tokens of the request to prefill there.
  std::size_t uncached = 0;
  service_rollout::Track track = service_rollout::Track::kStable;
  /// Under way for its service; 0: none.
  service_rollout::OrderKey order;
  bool tellsSpeed = false;
  /// A unit of the server's limit was taken for the dispatch.
  bool tookUnit = false;
  /// Servers that were chosen before it and had no unit.
  std::size_t atLimits = 0;

  /// Prompt tokens that wait there with the request's own.
  std::size_t waitingTokens() const { return routing::prefillTokensAt(candidate) + uncached; }
};

}  // namespace calicodrift::forward
