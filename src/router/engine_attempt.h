#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "http/client.h"
#include "router/answer_sink.h"
#include "router/caller.h"
#include "routing/policy.h"

namespace calicodrift::router {

/// Everything that one dispatch to an engine needs.
struct EngineDispatch {
  const Caller& caller;
  /// "/v1/chat/completions" or "/v1/completions".
  std::string path;
  const std::string& body;
  const routing::Candidate& backend;
  Endpoint endpoint;
  Attempt attempt;
  http::ExchangeOptions options;
};

/// One dispatch of a completion to an engine: sends it with the expected incarnation and weights,
/// and feeds the answer's tokens into a sink. Each token is matched by request, attempt and index.
class EngineAttempt {
 public:
  EngineAttempt(http::Client& client, AnswerSink& sink) : client_(client), sink_(sink) {}

  /// Errors whose row says `run: no` mean that this engine did not start the request; kCallerGone
  /// that nobody waits any more; all others that it may have run there.
  boost::asio::awaitable<Result<void>> run(const EngineDispatch& dispatch);
  /// Closes the exchange: the engine stops generating. Safe at any time.
  void cancel();

 private:
  boost::asio::awaitable<Result<void>> readAnswer(const EngineDispatch& dispatch);
  /// True once the closing event came.
  boost::asio::awaitable<Result<bool>> takeEvent(const EngineDispatch& dispatch,
                                                 const http::SseEvent& event);

  http::Client& client_;
  AnswerSink& sink_;
  std::unique_ptr<http::ResponseStream> stream_;
  bool cancelled_ = false;
};

}  // namespace calicodrift::router
