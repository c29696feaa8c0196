#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"
#include "http/message.h"
#include "routes/route_table.h"

/// The data path between callers and servers, independent of their protocols: these are interfaces
/// (protocol.h), and decisions here depend only on the neutral request.
namespace calicodrift::forward {

/// Position of an event in a stream; increases within a stream.
using EventNumber = StrongType<struct EventNumberTag, std::uint64_t>;

/// One part of a prompt. Requests whose prompts begin with the same parts can share cache.
struct PromptPart {
  std::string id;
  std::size_t tokens = 0;
};

/// A caller's request as parsed by the caller protocol.
struct Request {
  RequestId id;
  std::string host;
  /// Method, target, end-to-end headers and body, as forwarded to a server.
  http::Request message;
  std::string apiKey;
  /// Arrival time of its first byte.
  MonotonicTime received{};
  /// How long the caller waits; empty if the request doesn't say.
  std::optional<Milliseconds> patience;
  /// Empty for requests without a model.
  ModelId model;
  std::vector<PromptPart> prompt;
  /// Whether the request states its token counts.
  bool hasTokenCounts = false;
  std::size_t promptTokens = 0;
  std::size_t outputTokens = 0;
  /// Last event of the stream that the caller already has, if it resumes one.
  std::optional<EventNumber> resumeAfter;
  /// The caller's attempt that brought the first event of that stream, if it names one.
  std::optional<RequestId> resumes;
};

/// With whom a request shares cached parts of prompts.
struct CacheIsolation {
  /// Set for an isolated tenant, which shares them with nobody.
  TenantId tenant;
  /// Otherwise, which tenants it doesn't share them with; see routes::RouteTable::isolationKey().
  std::uint64_t sharedKey = 0;

  bool operator==(const CacheIsolation&) const = default;
};

/// The configuration's entries that apply to a request.
struct Grant {
  std::shared_ptr<const routes::RouteTable> table;
  const routes::Route* route = nullptr;
  /// Null for public routes and configurations without tenants.
  const routes::Tenant* tenant = nullptr;
  /// If set, goes before what the table tells: by a newer configuration, or by a key that a request
  /// to a public route carries.
  std::optional<CacheIsolation> isolation = std::nullopt;

  unsigned priority() const {
    return tenant != nullptr ? tenant->priority.value_or(route->priority) : route->priority;
  }
};

}  // namespace calicodrift::forward
