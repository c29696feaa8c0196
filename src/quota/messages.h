#pragma once

#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

#include "common/strong_type.h"

/// Messages with which the nodes enforce each tenant's limit together: claims and the replies to
/// them.
namespace calicodrift::quota {

/// Compact identifier of a tenant in messages: the hash of its id.
using TenantKey = StrongType<struct TenantKeyTag, std::uint64_t>;

/// Claim of the units of one request against the limit of its tenant.
struct Claim {
  TenantKey tenant;
  /// In units of the limit; granted as a whole or not at all.
  std::uint32_t units = 0;
  /// Additional units that the sender requests in advance for requests that it expects soon.
  std::uint32_t prefetch = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(tenant, units, prefetch);
  }
};

struct ClaimBatch {
  std::vector<Claim> claims;
  /// Number of nodes that the batch has passed through. Bounded, so that a cycle of nodes does not
  /// forward a claim forever.
  std::uint32_t hops = 0;
  /// True if the sender is a root: the receiver replies from its own content and forwards nothing.
  bool fromRoot = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(claims, hops, fromRoot);
  }
};

/// Reply to one claim.
struct ClaimAnswer {
  /// 0 if the claim was granted, otherwise the time in milliseconds until the limit has capacity
  /// again.
  std::uint32_t waitMs = 0;
  /// Units granted in advance beyond the claim, and their lifetime from the time the claim was
  /// sent.
  std::uint32_t prefetch = 0;
  std::uint32_t prefetchTermMs = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(waitMs, prefetch, prefetchTermMs);
  }
};

/// Answers to the claims of a batch, in the order of the claims.
struct ClaimReply {
  std::vector<ClaimAnswer> answers;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(answers);
  }
};

}  // namespace calicodrift::quota
