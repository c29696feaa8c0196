#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
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
  /// From makeDispatchId().
  std::string dispatchId;
  http::ExchangeOptions options;
  /// Longest wait for the first token; prefill and queueing take their time.
  Milliseconds firstTokenTimeout;
  /// Longest wait between two tokens.
  Milliseconds tokenTimeout;
};

/// Who an engine said it was when it answered.
struct EngineIdentity {
  Incarnation incarnation;
  WeightsVersion weights;
};

/// One dispatch of a completion to an engine: sends it with the expected incarnation and weights,
/// and feeds the answer's tokens into a sink. Each token is matched by request, dispatch and index,
/// and the engine's closing count must equal the tokens that came.
class EngineAttempt {
 public:
  EngineAttempt(http::Client& client, AnswerSink& sink) : client_(client), sink_(sink) {}

  /// Errors whose row says `run: no` mean that this engine did not start the request; kCallerGone
  /// that nobody waits any more; all others that it may have run there.
  boost::asio::awaitable<Result<void>> run(const EngineDispatch& dispatch);
  /// Closes the exchange: the engine stops generating. Safe at any time.
  void cancel() { canceller_.cancel(); }
  /// The identity that the engine's answer gave; nothing if no answer came.
  const std::optional<EngineIdentity>& identity() const { return identity_; }
  /// Whether the engine that answered has the incarnation and weights that it was chosen for.
  bool isAsExpected(const routing::Candidate& backend) const {
    return identity_ && identity_->incarnation == backend.incarnation &&
           identity_->weights == backend.weights;
  }

 private:
  boost::asio::awaitable<Result<void>> readAnswer(const EngineDispatch& dispatch);
  /// True once the closing event came.
  boost::asio::awaitable<Result<bool>> takeEvent(const EngineDispatch& dispatch,
                                                 const http::SseEvent& event);
  Result<void> checkClosingCount() const;
  void readIdentity();

  http::Client& client_;
  AnswerSink& sink_;
  std::unique_ptr<http::ResponseStream> stream_;
  http::ExchangeCanceller canceller_;
  std::optional<EngineIdentity> identity_;
  /// Index of the first token that this attempt asks for.
  std::size_t firstIndex_ = 0;
  std::optional<std::size_t> closingCount_;
};

}  // namespace calicodrift::router
