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

/// The configuration that requests are served by: routes, services, tenants and limits. A table is
/// immutable; a newer configuration is another table that replaces it as a whole.
namespace calicodrift::routes {

/// What may be repeated.
enum class RouteKind {
  /// May run more than once.
  kSafe,
  /// Runs at most once for each caller's request.
  kUnsafe,
  /// A series of events; runs at most once unless it is resumable.
  kStreaming,
};

struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  /// Starts and ends with a slash.
  std::string pathPrefix;
  RouteKind kind = RouteKind::kUnsafe;
  /// Longest time for which a request is held.
  Milliseconds timeout{0};
  /// Time within which an answer (a stream's first event) is wanted.
  Milliseconds targetLatency{0};
  /// Longest pause between two events of a stream that is still in time; 0: it does not matter.
  Milliseconds longestPause{0};
  /// 0 is the most urgent.
  unsigned priority = 0;
  /// At least one.
  std::vector<WeightedService> services;
  /// Servers that one request may be sent to.
  std::size_t maxAttempts = 1;
  /// Needs no key.
  bool isPublic = false;
  /// A broken stream may go on at another server.
  bool resumable = false;

  bool idempotent() const {
    return kind == RouteKind::kSafe || (kind == RouteKind::kStreaming && resumable);
  }
};

/// Model servers' traits that routing needs.
struct EngineTraits {
  std::size_t slots = 0;
  std::size_t cacheTokens = 0;
  std::vector<ModelId> models;
};

/// A store of kept cache that model servers can save to and fetch from.
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
  /// Set for a store of kept cache; no request is routed to it.
  std::optional<CacheStore> cacheStore;
};

/// What a tenant's limit counts.
enum class LimitUnit { kRequests, kTokens };

/// A tenant's limit over all nodes together.
struct RateLimit {
  LimitUnit unit = LimitUnit::kRequests;
  double unitsPerSecond = 0;
  /// On top of that, at once.
  double burst = 0;
  /// In tokens: what a request counts that states none.
  double unstatedTokens = 0;
};

struct Tenant {
  TenantId id;
  /// Goes before the route's priority where set.
  std::optional<unsigned> priority;
  /// Shares no cached prompt part with any other tenant.
  bool isolated = false;
  /// Nothing: it has no limit.
  std::optional<RateLimit> limit;
  std::vector<std::string> apiKeys;
};

/// Bounds on what callers send.
struct CallerLimits {
  std::size_t maxHeaderBytes = 16'384;
  std::size_t maxBodyBytes = 4'194'304;
  Milliseconds headerTimeout{3000};
  Milliseconds idleTimeout{15000};
};

/// The parts of a table before it is indexed.
struct RouteTableContent {
  ConfigVersion version;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Tenant> tenants;
  CallerLimits limits;
};

class RouteTable {
 public:
  explicit RouteTable(RouteTableContent content);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  ConfigVersion version() const { return content_.version; }
  /// The route of the host with the longest prefix that begins the path, or null.
  const Route* findRoute(std::string_view host, std::string_view path) const;
  /// The tenant that holds the key, or null.
  const Tenant* findTenant(std::string_view apiKey) const;
  const Service* findService(std::string_view name) const;
  /// Whether requests to routes that aren't public need a key.
  bool needsKeys() const { return !content_.tenants.empty(); }
  const CallerLimits& limits() const { return content_.limits; }
  const std::vector<Service>& services() const { return content_.services; }
  const std::vector<Tenant>& tenants() const { return content_.tenants; }
  /// The stores of kept cache.
  std::vector<const CacheStore*> cacheStores() const;
  /// The shortest of the pauses that streams of the service's routes may make; 0: none matters.
  Milliseconds pauseBoundOf(std::string_view service) const;
  std::size_t routeCount() const { return content_.routes.size(); }

 private:
  /// Lets texts be looked up by string_view.
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };
  template <typename Value>
  using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

  RouteTableContent content_;
  /// Routes of each host by their prefix.
  TextMap<TextMap<const Route*>> routesByHost_;
  TextMap<const Tenant*> tenantsByKey_;
  TextMap<const Service*> servicesByName_;
};

}  // namespace calicodrift::routes
