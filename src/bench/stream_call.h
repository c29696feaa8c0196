#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "bench/completion_call.h"
#include "common/endpoint.h"
#include "common/error.h"
#include "http/client.h"

namespace calicodrift::bench {

/// What a caller holds of one streamed answer, over all its connections.
struct StreamState {
  std::string text;
  /// Id of the last event that carried a token; what to send as Last-Event-ID.
  std::string lastEventId;
  /// Index of the next token.
  std::size_t nextIndex = 0;
  /// The end mark was read.
  bool closed = false;
  /// An event came out of order, twice, or after a gap.
  bool outOfOrder = false;
};

/// How one connection's part of a streamed answer ended.
struct StreamPart {
  /// 0 where no answer's header came.
  unsigned status = 0;
  http::HeaderList headers;
  /// Body of an answer that is no stream, or data of an error event.
  std::string errorBody;
  /// Why the connection ended before the end mark.
  std::optional<Error> failure;
};

/// Opens a stream (with Last-Event-ID where `state` holds tokens) and reads it to its end. Tokens
/// are taken into `state` in order only.
boost::asio::awaitable<StreamPart> readStream(http::Client& client, Endpoint endpoint,
                                              CompletionCall call, StreamState& state,
                                              http::ExchangeOptions options = {});

/// Whether the caller holds the whole answer to exactly this prompt, each token once and in order.
bool holdsWholeAnswer(const CompletionCall& call, const StreamState& state);

}  // namespace calicodrift::bench
