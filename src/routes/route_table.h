#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"
#include "common/ids.h"

/// The configuration for serving requests: routes, services, tenants and limits. A table is
/// immutable; a newer configuration is a new table that replaces it completely.
namespace calicodrift::routes {

/// Determines whether requests of a route may be repeated.
enum class RouteKind {
  /// May run more than once.
  kSafe,
  /// Runs at most once for each caller's request.
  kUnsafe,
  /// A stream of events; runs at most once unless it is resumable.
  kStreaming,
};

struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  /// Starts and ends with a slash.
  std::string pathPrefix;
  RouteKind kind = RouteKind::kUnsafe;
  /// Maximum time until a request is complete.
  Milliseconds timeout{0};
  /// Target time for an answer, or for the first event of a stream.
  Milliseconds targetLatency{0};
  /// Longest pause between two events for a stream to count as timely; 0 if there is no bound.
  Milliseconds maxEventPause{0};
  /// 0 is the most urgent.
  unsigned priority = 0;
  /// Contains at least one service.
  std::vector<WeightedService> services;
  /// Maximum number of servers that one request may run on.
  std::size_t maxAttempts = 1;
  /// Whether requests need no API key.
  bool isPublic = false;
  /// Whether a broken stream may be resumed on another server.
  bool resumable = false;

  bool idempotent() const {
    return kind == RouteKind::kSafe || (kind == RouteKind::kStreaming && resumable);
  }
};

/// Properties of model servers that routing needs.
struct EngineTraits {
  std::size_t slots = 0;
  std::size_t cacheTokens = 0;
  std::vector<ModelId> models;
};

/// A cache store that model servers can save to and fetch from.
struct CacheStore {
  Endpoint endpoint;
  ZoneId zone;
};

struct Service {
  std::string name;
  std::string healthPath;
  std::size_t maxConnections = 0;
  /// Set for services of model servers.
  std::optional<EngineTraits> engine;
  /// Set for a cache store; no request is routed to it.
  std::optional<CacheStore> cacheStore;
};

/// The unit that a tenant's limit counts.
enum class LimitUnit { kRequests, kTokens };

/// A tenant's rate limit, which applies to all nodes together.
struct RateLimit {
  LimitUnit unit = LimitUnit::kRequests;
  double unitsPerSecond = 0;
  /// Units allowed at once in addition to the rate.
  double burst = 0;
  /// Tokens charged for a request that doesn't state its token counts.
  double defaultTokens = 0;
};

struct Tenant {
  TenantId id;
  /// Overrides the route's priority if set.
  std::optional<unsigned> priority;
  /// Whether the tenant shares no cached prompt parts with other tenants.
  bool isolated = false;
  /// Empty if the tenant has no limit.
  std::optional<RateLimit> limit;
  std::vector<std::string> apiKeys;
};

/// Limits on the requests of callers.
struct CallerLimits {
  std::size_t maxHeaderBytes = 16'384;
  std::size_t maxBodyBytes = 4'194'304;
  Milliseconds headerTimeout{3000};
  Milliseconds idleTimeout{15000};
};

/// The content of a table before it is indexed.
struct RouteTableContent {
  ConfigVersion version;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Tenant> tenants;
  /// Whether the configuration has a list of tenants, even if it is empty: then nobody has a key.
  bool hasTenantList = false;
  CallerLimits limits;
};

class RouteTable {
 public:
  explicit RouteTable(RouteTableContent content);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  ConfigVersion version() const { return content_.version; }
  /// Returns the route of the host with the longest prefix of the path, or null.
  const Route* findRoute(std::string_view host, std::string_view path) const;
  /// Returns the tenant that owns the key, or null.
  const Tenant* findTenant(std::string_view apiKey) const;
  const Service* findService(std::string_view name) const;
  /// Whether requests to routes that aren't public need a key.
  bool needsKeys() const { return content_.hasTenantList || !content_.tenants.empty(); }
  /// Identifies the set of isolated tenants; 0 if there are none. What was cached for the others
  /// under one key was made by tenants that are not isolated under it, so that a tenant which
  /// becomes isolated leaves nothing behind that others use.
  std::uint64_t isolationKey() const { return isolationKey_; }
  const CallerLimits& limits() const { return content_.limits; }
  const std::vector<Service>& services() const { return content_.services; }
  const std::vector<Tenant>& tenants() const { return content_.tenants; }
  /// Returns all cache stores.
  std::vector<const CacheStore*> cacheStores() const;
  /// Returns the shortest allowed pause of streams on the service's routes; 0 if there is no bound.
  Milliseconds maxStreamPauseOf(std::string_view service) const;
  std::size_t routeCount() const { return content_.routes.size(); }

 private:
  /// Allows lookups of std::string keys by string_view.
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };
  template <typename Value>
  using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

  RouteTableContent content_;
  std::uint64_t isolationKey_ = 0;
  /// The routes of each host by path prefix.
  TextMap<TextMap<const Route*>> routesByHost_;
  TextMap<const Tenant*> tenantsByKey_;
  TextMap<const Service*> servicesByName_;
};

}  // namespace calicodrift::routes
