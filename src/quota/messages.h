#pragma once

#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

#include "common/strong_type.h"

/// How the nodes keep each tenant's limit together: what a node asks another for, and its answer.
namespace calicodrift::quota {

/// Names a tenant between nodes in few bytes: the hash of its id.
using TenantKey = StrongType<struct TenantKeyTag, std::uint64_t>;

/// One request that wants to pass under its tenant's limit.
struct Claim {
  TenantKey tenant;
  /// In the limit's unit; granted as a whole or not at all.
  std::uint32_t units = 0;
  /// What the asker would take beyond that for requests that it expects soon.
  std::uint32_t ahead = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(tenant, units, ahead);
  }
};

struct ClaimBatch {
  std::vector<Claim> claims;
  /// Nodes that the batch has come through. Bounded, so that no circle of nodes asks for ever.
  std::uint32_t hops = 0;
  /// The sender is a root: the receiver answers from what it has and asks nobody.
  bool fromRoot = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(claims, hops, fromRoot);
  }
};

/// The answer to one claim.
struct ClaimAnswer {
  /// 0: granted; else until the tenant's limit has room again.
  std::uint32_t waitMs = 0;
  /// Granted beyond the claim, and how long that is good, from when the claim was sent.
  std::uint32_t ahead = 0;
  std::uint32_t aheadTermMs = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(waitMs, ahead, aheadTermMs);
  }
};

/// One answer for each claim of the batch, in its order.
struct ClaimReply {
  std::vector<ClaimAnswer> answers;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(answers);
  }
};

}  // namespace calicodrift::quota
