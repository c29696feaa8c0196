#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <utility>

#include "common/endpoint.h"
#include "common/strong_type.h"

namespace calicodrift::http {

/// Chosen at random by the node that asks for a tunnel.
using TunnelId = StrongType<struct TunnelIdTag, std::uint64_t>;

/// Identifies a request over all of its exchanges; 0: one that is sent once only.
using RequestKey = StrongType<struct RequestKeyTag, std::uint64_t>;

/// One tunnel, as its proxy knows it.
struct Tunnel {
  Endpoint proxy;
  TunnelId id;
};

/// How a connection reaches its endpoint: directly, or through a tunnel that a proxy opens on
/// request (HTTP CONNECT).
struct ConnectionPath {
  /// A constructor, as g++ 12 mishandles temporaries of aggregates with destructors in coroutines.
  explicit ConnectionPath(Endpoint endpoint, std::optional<Endpoint> proxy = std::nullopt)
      : endpoint(std::move(endpoint)), proxy(std::move(proxy)) {}

  Endpoint endpoint;
  std::optional<Endpoint> proxy;

  bool direct() const { return !proxy.has_value(); }
  auto operator<=>(const ConnectionPath&) const = default;
};

}  // namespace calicodrift::http
