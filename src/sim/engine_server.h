#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "http/server.h"
#include "openai/completion.h"
#include "sim/engine_cache_feed.h"
#include "sim/engine_control.h"
#include "sim/engine_model.h"

namespace calicodrift::sim {

struct EngineServerSettings {
  EngineControlSettings identity;
  CacheFeedSettings cacheFeed;
  Milliseconds loadReportLag{0};
  std::size_t blockBytes = 2048;
  std::size_t bytesPerToken = 4;
  EngineModelSettings cost;
  /// Fault: so many last tokens of each answer are lost, though the closing count has them.
  std::size_t loseLastTokens = 0;
};

/// Stand-in of a model engine behind HTTP: the engine model in wall-clock time.
/// POST /v1/chat/completions and /v1/completions generate; GET /health reports state and load;
/// POST /admin/orders takes fenced orders; /cache/events, /kv/export and /kv/import serve the
/// cache.
/// POST /admin/drain makes it report that it is leaving. It still takes work, so that a test can
/// count what routers send to a leaving engine.
class EngineServer {
 public:
  EngineServer(boost::asio::io_context& context, EngineServerSettings settings);
  Result<Endpoint> listen(const Endpoint& endpoint);

 private:
  /// Tokens on their way from the step loop to the handler of one request.
  struct Generation {
    explicit Generation(boost::asio::io_context& context) : wake(context) {}
    boost::asio::steady_timer wake;
    std::deque<TokenEvent> tokens;
    bool callerGone = false;
  };

  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  boost::asio::awaitable<void> complete(openai::CompletionKind kind, http::Request& request,
                                        http::ResponseWriter& writer);
  boost::asio::awaitable<void> generate(const openai::CompletionRequest& completion,
                                        const http::Request& request, http::ResponseWriter& writer);
  /// Sends (or collects in `text`) the tokens of one answer until the last one or the caller's end.
  boost::asio::awaitable<void> sendTokens(const openai::CompletionRequest& completion,
                                          const http::Request& request,
                                          http::ResponseWriter& writer, Generation& generation,
                                          openai::Usage& usage, std::string& text);
  boost::asio::awaitable<TokenEvent> nextToken(Generation& generation);
  boost::asio::awaitable<void> runSteps();
  void deliver(const std::vector<TokenEvent>& tokens);
  EngineRequest toEngineRequest(const openai::CompletionRequest& completion,
                                const http::Request& request);
  /// Refuses a request that was routed by outdated beliefs; nothing ran.
  Result<void> checkExpectations(const openai::CompletionRequest& completion,
                                 const http::Request& request) const;
  http::Response withIdentity(http::Response response, const http::Request& request) const;
  http::Response health();
  /// Every path but those of completions.
  http::Response control(const http::Request& request);
  void recordLoad();

  boost::asio::io_context& context_;
  EngineServerSettings settings_;
  EngineModel model_;
  EngineControl control_;
  EngineCacheFeed cacheFeed_;
  LaggingLoad load_;
  http::Server server_;
  boost::asio::steady_timer workArrived_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Generation>> generations_;
  std::uint64_t lastId_ = 0;
  bool draining_ = false;
  /// Completions and health reports asked for since the start.
  std::uint64_t accepted_ = 0;
  std::uint64_t probes_ = 0;
  /// Time of day when work was last accepted, since 1970; 0 for never.
  Milliseconds lastAccepted_{0};
};

}  // namespace calicodrift::sim
