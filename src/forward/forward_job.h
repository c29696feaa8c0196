#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "forward/answer_relay.h"
#include "forward/forwarder.h"
#include "forward/prompt_blocks.h"
#include "forward/server_attempt.h"
#include "forward/tenant_limit.h"

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
  bool streaming() const { return grant.route->kind == routes::RouteKind::kStreaming; }
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
  BackendId lastServer;
  /// For how long newer weights had been named when the last server began; nothing where it had the
  /// newest.
  std::optional<Milliseconds> begunOutdatedFor;
  unsigned status = 0;
};

}  // namespace calicodrift::forward
