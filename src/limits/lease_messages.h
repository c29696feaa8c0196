#pragma once

#include <cstdint>
#include <variant>

/// What nodes say to the owner of a tenant's rate, and its answer. Tenants and nodes are named by
/// 64-bit hashes to keep the messages short.
namespace calicodrift::limits {

/// "Lease me a share of this tenant's rate", and "I still hold this share".
struct ShareRequest {
  std::uint64_t tenant = 0;
  std::uint64_t node = 0;
  std::uint64_t incarnation = 0;
  /// Rises with each request of this node incarnation for this tenant.
  std::uint32_t number = 0;
  /// Requests a second of the unexpired share that the node uses now; 0 for none.
  float heldRate = 0;
  /// Milliseconds until that share expires.
  std::uint32_t heldMs = 0;
  /// Requests a second that arrive at the node for this tenant.
  float demand = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(tenant, node, incarnation, number, heldRate, heldMs, demand);
  }
};

struct ShareGrant {
  std::uint64_t tenant = 0;
  /// Number of the request that this answers.
  std::uint32_t number = 0;
  /// Requests a second.
  float rate = 0;
  /// The owner is new and can't hand out a share yet: use the even part.
  bool waiting = false;
  /// Milliseconds of the lease, counted by the node from when it sent the request.
  std::uint32_t termMs = 0;
  /// Milliseconds after which the node should renew.
  std::uint32_t renewMs = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(tenant, number, rate, waiting, termMs, renewMs);
  }
};

using LeaseMessage = std::variant<ShareRequest, ShareGrant>;

}  // namespace calicodrift::limits
