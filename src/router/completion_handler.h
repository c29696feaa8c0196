#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "http/server.h"
#include "openai/completion.h"
#include "router/answer_sink.h"
#include "router/caller.h"
#include "router/engine_attempt.h"
#include "router/route_context.h"

namespace calicodrift::router {

/// Serves completions: checks the request, chooses an engine, and tries again elsewhere, from the
/// next token, when an engine fails.
class CompletionHandler {
 public:
  explicit CompletionHandler(RouteContext& context) : context_(context) {}

  /// Answers the request, in every case.
  /// @param bundle stays in force for this request even when a newer one is adopted meanwhile.
  boost::asio::awaitable<void> handle(std::shared_ptr<const bundle::Bundle> bundle,
                                      openai::CompletionKind kind, const http::Request& request,
                                      http::ResponseWriter& writer);

 private:
  /// State of one request over its attempts.
  struct Job;

  /// Asks the limits; the request is refused at once where they don't allow it.
  Result<void> admit(Job& job, const bundle::Model& model);
  /// Claims a not-repeatable request, dispatches it and records how it ended.
  boost::asio::awaitable<Result<void>> dispatchClaimed(Job& job);
  boost::asio::awaitable<Result<void>> dispatchUntilDone(Job& job);
  boost::asio::awaitable<Result<void>> dispatchOnce(Job& job);
  /// Chooses the weights version that the next attempt goes to.
  void selectWeights(Job& job) const;
  bool mayRetry(const Job& job, const Error& error) const;
  /// Sends the job to `backend` and learns from how it went.
  boost::asio::awaitable<Result<void>> attemptOn(Job& job, const routing::Candidate& backend,
                                                 Endpoint endpoint);
  void learnFrom(const EngineAttempt& attempt, const routing::Candidate& backend,
                 const Result<void>& outcome);
  http::ExchangeOptions optionsFor(const Job& job) const;
  void recordCompletion(Job& job);

  RouteContext& context_;
};

}  // namespace calicodrift::router
