#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

#include "common/error.h"
#include "http/server.h"
#include "http/sse.h"
#include "openai/completion.h"
#include "router/caller.h"

namespace calicodrift::router {

/// Where the tokens of one answer go: to the caller as they come, or into one body.
/// Invariant: tokens reach the caller once each and in order of their index, as `expectedIndex()`
/// is the only index that is taken.
class AnswerSink {
 public:
  AnswerSink(const Caller& caller, const openai::CompletionRequest& completion,
             http::ResponseWriter& writer);

  /// Index of the next token; also where a resumed attempt starts.
  std::size_t expectedIndex() const { return nextIndex_; }
  /// Whether a token was taken from any engine.
  bool hasTokens() const { return nextIndex_ > caller_.resumeFrom; }
  void setBackend(const BackendId& backend) { backend_ = backend; }
  /// Version that the answer's head names to the caller.
  void setWeights(WeightsVersion weights) { weights_ = weights; }

  /// Takes the token at expectedIndex(). Fails with kCallerGone.
  boost::asio::awaitable<Result<void>> takeToken(const std::string& data);
  void takeUsage(const openai::Usage& usage);
  /// The answer is complete. Fails with kCallerGone.
  boost::asio::awaitable<Result<void>> finish();
  /// Called once, when the first token comes.
  void onFirstToken(std::function<void()> listener) { firstTokenListener_ = std::move(listener); }
  /// No engine can complete the answer: an error answer, or an error event in a begun stream.
  boost::asio::awaitable<void> finishWithError(const Error& error);
  const openai::Usage& usage() const { return usage_; }
  /// When the first token was written to the caller (or taken, for an answer in one body).
  std::optional<MonotonicTime> firstTokenTime() const { return firstTokenTime_; }

 private:
  void countToken();
  boost::asio::awaitable<Result<void>> ensureStarted();
  http::Response withIdentity(http::Response response) const;

  const Caller& caller_;
  const openai::CompletionRequest& completion_;
  http::ResponseWriter& writer_;
  BackendId backend_;
  WeightsVersion weights_;
  std::size_t nextIndex_;
  std::string text_;
  openai::Usage usage_;
  std::optional<MonotonicTime> firstTokenTime_;
  std::function<void()> firstTokenListener_;
};

}  // namespace calicodrift::router
