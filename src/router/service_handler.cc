#include "router/service_handler.h"

#include <algorithm>

#include "router/dispatch_id.h"
#include "routing/least_outstanding.h"

namespace calicodrift::router {
namespace {

using boost::asio::awaitable;

bool readOnly(const http::Request& request) {
  return request.method == "GET" || request.method == "HEAD";
}

http::Request toServiceRequest(const Caller& caller, const http::Request& request,
                               const std::string& dispatchId) {
  http::Request forwarded = request;
  forwarded.headers = {};
  for (const http::Header& header : request.headers.all()) {
    // Hop-by-hop fields and the caller's key stay here.
    const bool kept = header.name != "Authorization" && header.name != "Connection" &&
                      header.name != "Transfer-Encoding" && header.name != "Content-Length" &&
                      header.name != "Host" && header.name != "Expect";
    if (kept) {
      forwarded.headers.set(header.name, header.value);
    }
  }
  forwarded.headers.set(http::kRequestIdHeader, caller.requestId.value());
  forwarded.headers.set(http::kAttemptHeader, dispatchId);
  forwarded.headers.set("X-Tenant", caller.tenant->id.value());
  if (!caller.idempotencyKey.empty()) {
    forwarded.headers.set(http::kIdempotencyKeyHeader, caller.idempotencyKey);
  }
  return forwarded;
}

}  // namespace

awaitable<void> ServiceHandler::handle(std::shared_ptr<const bundle::Bundle> bundle,
                                       const bundle::Service& service, const http::Request& request,
                                       http::ResponseWriter& writer) {
  Result<Caller> caller = readCaller(*bundle, request, context_.settings.defaultDeadline);
  if (!caller) {
    context_.metrics.countError(caller.error().kind);
    co_await http::respond(writer, http::errorResponse(caller.error()));
    co_return;
  }
  if (!request.headers.find(http::kNotRepeatableHeader)) {
    caller.value().notRepeatable = !readOnly(request);
  }
  context_.metrics.countRequest(caller.value().tenant->id.value(), caller.value().priority);
  const Result<void> admitted =
      context_.limits->admitRequest(*caller.value().tenant, caller.value().priority);
  Result<http::Response> answer = fail(ErrorKind::kInternal, "no answer");
  if (admitted) {
    answer = co_await dispatchClaimed(service, caller.value(), request);
  } else {
    answer = admitted.error();
  }
  http::Response response =
      answer ? std::move(answer.value()) : http::errorResponse(answer.error());
  if (!answer) {
    context_.metrics.countError(answer.error().kind);
  }
  response.headers.set(http::kRequestIdHeader, caller.value().requestId.value());
  co_await http::respond(writer, std::move(response));
}

awaitable<Result<http::Response>> ServiceHandler::dispatchClaimed(const bundle::Service& service,
                                                                  const Caller& caller,
                                                                  const http::Request& request) {
  if (!caller.notRepeatable) {
    co_return co_await dispatchUntilDone(service, caller, request);
  }
  const Result<ClaimGrant> grant =
      co_await context_.claims.claim(caller.tenant->id, caller.idempotencyKey);
  if (!grant) {
    co_return grant.error();
  }
  if (grant.value().replay) {
    co_return replayResponse(*grant.value().replay);
  }
  Caller keyed = caller;
  if (keyed.idempotencyKey.empty()) {
    keyed.idempotencyKey = context_.claims.makeKey();
  }
  Result<http::Response> answer = co_await dispatchUntilDone(service, keyed, request);
  if (!answer) {
    const Error error = inDoubt(answer.error());
    context_.claims.fail(grant.value(), error);
    co_return error;
  }
  context_.claims.complete(grant.value(), answer.value());
  co_return answer;
}

awaitable<Result<http::Response>> ServiceHandler::dispatchUntilDone(const bundle::Service& service,
                                                                    const Caller& caller,
                                                                    const http::Request& request) {
  routing::Policy& policy =
      context_.policies.policyNamed(std::string(routing::LeastOutstanding::kName));
  bool mayHaveRun = false;
  for (std::uint32_t attempt = 1;; ++attempt) {
    const routing::CandidateSet& candidates = context_.backends.services(service.name);
    if (candidates.empty()) {
      const Error error = fail(ErrorKind::kNoBackend, "no usable server of '" + service.name + "'");
      co_return overAllAttempts(error, mayHaveRun);
    }
    const routing::Choice choice = policy.choose({}, candidates, monotonicNow());
    // A copy, as the set changes while the answer is awaited.
    const routing::Candidate backend = candidates[choice.index];
    Result<http::Response> answer =
        co_await dispatchOnce(backend, caller, request, Attempt(attempt));
    if (answer) {
      co_return answer;
    }
    const bool harmless =
        !caller.notRepeatable || errorRow(answer.error().kind).run == RunStatement::kNo;
    const bool timeLeft = monotonicNow() < caller.deadline;
    const bool mayRetry = harmless && timeLeft && attempt < context_.settings.maxAttempts;
    if (!mayRetry || !context_.limits->allowRetry(answer.error().kind, false)) {
      co_return overAllAttempts(answer.error(), mayHaveRun);
    }
    mayHaveRun = mayHaveRun || errorRow(answer.error().kind).run != RunStatement::kNo;
    context_.metrics.countRetry(errorRow(answer.error().kind).name);
  }
}

awaitable<Result<http::Response>> ServiceHandler::dispatchOnce(const routing::Candidate& backend,
                                                               const Caller& caller,
                                                               const http::Request& request,
                                                               Attempt attempt) {
  const std::optional<Endpoint> endpoint = context_.backends.endpointOf(backend.id);
  if (!endpoint) {
    co_return fail(ErrorKind::kNoBackend, "the chosen server has left");
  }
  const auto left = std::chrono::duration_cast<Milliseconds>(caller.deadline - monotonicNow());
  const Milliseconds bounded = std::max(left, Milliseconds(1));
  http::ExchangeOptions options;
  options.connection =
      caller.notRepeatable ? http::ConnectionUse::kFresh : http::ConnectionUse::kPooled;
  options.connectTimeout = std::min(context_.settings.connectTimeout, bounded);
  options.headerTimeout = bounded;
  options.bodyTimeout = bounded;
  options.wholeTimeout = bounded;
  const OutstandingGuard outstanding(context_.backends, backend.id, 1);
  const std::string dispatchId = makeDispatchId(attempt);
  http::Request forwarded = toServiceRequest(caller, request, dispatchId);
  Result<http::Response> answer =
      co_await context_.client.exchange(*endpoint, std::move(forwarded), options);
  if (!answer) {
    if (answer.error().kind == ErrorKind::kConnectFailed) {
      context_.backends.markUnreachable(backend.id);
    } else {
      context_.backends.recordFailure(backend.id);
    }
    co_return answer.error();
  }
  const http::HeaderList& headers = answer.value().headers;
  if (headers.get(http::kRequestIdHeader) != caller.requestId.value() ||
      headers.get(http::kAttemptHeader) != dispatchId) {
    context_.backends.recordFailure(backend.id);
    co_return fail(ErrorKind::kProtocolViolation, "the answer belongs to another request");
  }
  context_.backends.recordSuccess(backend.id);
  http::Response response{answer.value().status, {}, std::move(answer.value().body)};
  response.headers.set("Content-Type", headers.get("Content-Type"));
  response.headers.set(http::kBackendHeader, backend.id.value());
  response.headers.set(http::kRunHeader, std::string(toString(RunStatement::kYes)));
  co_return response;
}

}  // namespace calicodrift::router
