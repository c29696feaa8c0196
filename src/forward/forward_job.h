#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "common/hashing.h"
#include "forward/abandonable_wait.h"
#include "forward/answer_relay.h"
#include "forward/cache_scope.h"
#include "forward/dispatch_wait.h"
#include "forward/forwarder.h"
#include "forward/prompt_blocks.h"
#include "forward/server_attempt.h"
#include "forward/tenant_limit.h"
#include "quarantine/fingerprint.h"
#include "stream_versions/messages.h"

// Internal to src/forward: only forwarder*.cc include this file.
namespace calicodrift::forward {

/// One request across its dispatches. Shared with the timer and the caller's connection, either of
/// which may end it.
struct Forwarder::Job : std::enable_shared_from_this<Job> {
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

  /// Whether the request may go to another server if the current dispatch fails.
  bool mayFailOver() const {
    return grant.route->idempotent() && attempts.mayHaveRun + 1 < grant.route->maxAttempts;
  }
  service_rollout::RouteKey routeKey() const {
    return service_rollout::RouteKey(hashBytes(grant.route->name));
  }
  /// Whether another server may go on with the stream, within this answer or for a caller who comes
  /// back.
  bool isResumable() const { return streaming() && grant.route->idempotent(); }
  /// Identifies the stream for nodes that callers come back to.
  stream_versions::StreamKey streamKey() const {
    const std::string tenant = grant.tenant != nullptr ? grant.tenant->id.value() : std::string();
    const RequestId& attempt = request.resumes.value_or(request.id);
    return stream_versions::StreamKey(hashTexts({tenant, service, attempt.value()}, 0).low);
  }
  bool streaming() const { return grant.route->kind == routes::RouteKind::kStreaming; }
  /// Hashes the body on the first call only.
  const quarantine::RequestFingerprint& fingerprint() {
    if (!cachedFingerprint) {
      const TenantId tenant = grant.tenant != nullptr ? grant.tenant->id : TenantId();
      cachedFingerprint = quarantine::fingerprintOf({tenant, request.message.method, request.host,
                                                     request.message.target, request.message.body});
    }
    return *cachedFingerprint;
  }
  /// Fingerprints of the prompt's parts, computed on the first call only.
  const std::vector<quarantine::PartFingerprint>& parts() {
    if (cachedParts.empty()) {
      const TenantId isolatedTenant = isolationOf(grant).tenant;
      for (const PromptPart& part : request.prompt) {
        cachedParts.push_back(quarantine::fingerprintOf(
            quarantine::PartIdentity{isolatedTenant, request.model, part.id}));
      }
    }
    return cachedParts;
  }
  quarantine::RequestTraits traits() { return {fingerprint(), parts()}; }
  /// Ends the dispatch in progress, or what the request waits for.
  void interrupt() {
    waits.interrupt();
    if (attempt) {
      attempt->cancel();
    }
  }
  /// Whether nobody waits for the answer any more, so that no server should get the request.
  bool isOver() const { return expired || writer.callerGone(); }

  Request request;
  Grant grant;
  http::ResponseWriter& writer;
  AnswerRelay relay;
  routing::RouteRequest routeRequest;
  TenantLimitUse limitUse;
  std::string service;
  /// Software version that began the stream; empty until its first event has arrived.
  std::optional<SoftwareVersion> streamVersion;
  MonotonicTime end;
  boost::asio::steady_timer timer;
  bool expired = false;
  /// Whether it expired because this node stops.
  bool endedByStop = false;
  WaitInterrupter waits;
  AttemptCount attempts;
  /// Whether the last dispatch was sent, in part at least.
  bool handedOver = false;
  std::shared_ptr<ServerAttempt> attempt;
  /// A server's 5xx answer, delivered if no other server succeeds.
  std::optional<http::Response> keptFailure;
  std::optional<quarantine::RequestFingerprint> cachedFingerprint;
  std::vector<quarantine::PartFingerprint> cachedParts;
  /// What the job waits for now, and what it waited for when its caller's close was reported.
  DispatchWait wait = DispatchWait::kNone;
  std::optional<DispatchWait> callerLeftIn;
  /// When it was last checked that the request may be sent.
  MonotonicTime checkedAt{};
  /// Quarantine permission for the next dispatch or the one in progress.
  quarantine::Trial trial;
  /// Whether a retry was granted before the present dispatch was given up.
  bool failoverGranted = false;
  /// Whether this node gave up a server that had not failed.
  bool gaveUpServer = false;
  /// Whether the last dispatch ended with a server's 5xx answer, which was kept.
  bool ranToServerError = false;
  BackendId lastServer;
  /// When the present dispatch began.
  MonotonicTime dispatchedAt{};
  /// When the first bytes of the present dispatch's answer arrived.
  std::optional<MonotonicTime> begunAt;
  /// Whether that answer has gone on for long enough to show that the prompt does not crash
  /// servers.
  bool sustained = false;
  /// How long newer weights had been named when the last server began; empty if that server had the
  /// newest.
  std::optional<Milliseconds> outdatedAtStart;
  unsigned status = 0;
  /// How the body of the last answer ended; empty if it broke off.
  std::optional<http::BodyEnd> bodyEnd;
};

/// The server chosen for one dispatch, and its state at that time.
struct Forwarder::ChosenServer {
  fleet::Server server;
  routing::Candidate candidate;
  /// Another server that is believed to hold the prompt's common prefix.
  std::optional<routing::Candidate> holder;
  std::string_view reason;
  /// Number of servers it was chosen from.
  std::size_t candidates = 0;
  /// Prompt tokens of the request to prefill on this server.
  std::size_t uncachedTokens = 0;
  service_rollout::Track track = service_rollout::Track::kStable;
  /// Rollout order of the service in progress; 0 if there is none.
  service_rollout::OrderKey order;
  bool latencyRepresentative = false;
  /// Whether the dispatch consumed a unit of the server's request limit.
  bool usedLimitUnit = false;
  /// When that unit was asked for.
  MonotonicTime unitAskedAt{};
  /// Whether the dispatch may go to a server that needs permits, and its permit; see
  /// server_limits::PermitResult.
  bool permitted = false;
  std::optional<std::uint64_t> permit;
  /// Servers that were chosen before this one and had no unit or permit left.
  std::size_t atLimitCount = 0;

  /// Prompt tokens queued on the server, including the request's own.
  std::size_t waitingTokens() const { return routing::prefillTokensAt(candidate) + uncachedTokens; }
};

}  // namespace calicodrift::forward
