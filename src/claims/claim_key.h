#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/error.h"
#include "common/ids.h"

namespace calicodrift::claims {

/// Milliseconds since the Unix epoch on a node's own wall clock; compared with the timestamp in a
/// key.
using WallMilliseconds = std::uint64_t;

/// Number of claim groups. Must not change during the lifetime of a deployment, because a key must
/// always map to the same group.
inline constexpr std::size_t kGroupCount = 64;

/// Identifies one non-repeatable request: the tenant and its Idempotency-Key, a UUIDv7. Ordered by
/// timestamp, because the first 48 bits of a UUIDv7 are its milliseconds since the Unix epoch.
struct ClaimKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  /// Hash of the tenant id. A collision can only cause a request to be refused, never to run twice.
  std::uint64_t tenant = 0;

  auto operator<=>(const ClaimKey&) const = default;
  WallMilliseconds time() const;
  /// Claim group of the key, in [0, kGroupCount).
  std::size_t group() const;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(high, low, tenant);
  }
};

/// Uniquely identifies one attempt to claim a key. A lower token started earlier and wins if two
/// attempts hold votes at the same time.
struct AttemptToken {
  WallMilliseconds started = 0;
  std::uint64_t nonce = 0;

  auto operator<=>(const AttemptToken&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(started, nonce);
  }
};

/// Parses the text form of a version 7 UUID. Fails with kIdempotencyKeyInvalid for any other text.
Result<ClaimKey> parseClaimKey(const TenantId& tenant, std::string_view text);

/// Formats a UUIDv7 with the given timestamp and random bits.
std::string makeUuidV7(WallMilliseconds time, std::uint64_t randomHigh, std::uint64_t randomLow);

}  // namespace calicodrift::claims
