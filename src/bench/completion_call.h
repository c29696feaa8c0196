#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <string>

#include "common/endpoint.h"
#include "common/error.h"
#include "http/client.h"

namespace calicodrift::bench {

/// One completion as a caller sends it.
struct CompletionCall {
  std::string model;
  std::string prompt;
  std::size_t maxTokens = 1;
  bool stream = false;
  std::string apiKey;
  /// Empty: the router names the request.
  std::string requestId;
};

/// The HTTP form of a call. The prompt must need no escaping in JSON.
http::Request toHttpRequest(const CompletionCall& call);

/// Sends an unstreamed call and checks that the answer is the stand-in's whole answer to exactly
/// this prompt. Fails with kProtocolViolation where it is not, and with the exchange's error.
boost::asio::awaitable<Result<void>> callAndCheck(http::Client& client, Endpoint endpoint,
                                                  CompletionCall call);

}  // namespace calicodrift::bench
