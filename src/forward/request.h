#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"
#include "http/message.h"
#include "routes/route_table.h"

/// The data path between callers and servers, whatever either of them speaks: protocols are ports
/// (protocol.h), and what is decided here depends on the neutral request alone.
namespace calicodrift::forward {

/// Position of an event in a stream; rises within it.
using EventNumber = StrongType<struct EventNumberTag, std::uint64_t>;

/// One part of a prompt. Requests whose prompts begin with the same parts can share cache.
struct PromptPart {
  std::string id;
  std::size_t tokens = 0;
};

/// A caller's request as the caller protocol read it.
struct Request {
  RequestId id;
  std::string host;
  /// Method, target, end-to-end headers and body, as they go to a server.
  http::Request message;
  std::string apiKey;
  /// When its first byte came.
  MonotonicTime received{};
  /// How long the caller waits; nothing where it doesn't say.
  std::optional<Milliseconds> patience;
  /// Empty for requests without a model.
  ModelId model;
  std::vector<PromptPart> prompt;
  /// Whether the caller says how many tokens the request takes.
  bool statesTokens = false;
  std::size_t promptTokens = 0;
  std::size_t outputTokens = 0;
  /// Last event that the caller has of the stream to go on with.
  std::optional<EventNumber> resumeAfter;
};

/// What the configuration says of a request.
struct Grant {
  std::shared_ptr<const routes::RouteTable> table;
  const routes::Route* route = nullptr;
  /// Null for public routes and configurations without tenants.
  const routes::Tenant* tenant = nullptr;

  unsigned priority() const {
    return tenant != nullptr ? tenant->priority.value_or(route->priority) : route->priority;
  }
};

}  // namespace calicodrift::forward
