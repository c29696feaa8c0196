#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/ids.h"

/// Requests that crash the servers that run them ("queries of death"): which requests are suspected
/// of it, and which are kept from the servers by all nodes.
namespace calicodrift::quarantine {

/// What identifies two attempts as the same work. Headers are left out, since callers vary them
/// without changing the work.
struct RequestIdentity {
  /// Empty for public routes.
  TenantId tenant;
  std::string_view method;
  std::string_view host;
  /// Path and query.
  std::string_view target;
  std::string_view body;
};

/// Identifies a request across all its attempts at any node, without revealing its content.
///
/// The tenant's hash is stored beside the digest and seeds it: the digest is not
/// collision-resistant against an adversary, so a tenant can only produce collisions with its own
/// requests.
struct RequestFingerprint {
  std::uint64_t tenant = 0;
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const RequestFingerprint&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(tenant, high, low);
  }
};

/// Reads the body once: 8 µs for 64 KB (quarantine_test, fingerprintCosts).
RequestFingerprint fingerprintOf(const RequestIdentity& identity);

/// 64 bits of the digest, which tell requests apart within the evidence against one part.
std::uint64_t shortDigest(const RequestFingerprint& fingerprint);

/// 48 hexadecimal digits, for logs, operators and the store.
std::string toString(const RequestFingerprint& fingerprint);
/// Empty if the text is not a fingerprint.
std::optional<RequestFingerprint> parseFingerprint(std::string_view text);

/// What identifies a part of prompts. Callers share parts as they share cache, so the evidence of
/// one caller holds for all that could have sent the part.
struct PartIdentity {
  /// The tenant if it shares no parts with others; empty otherwise.
  TenantId isolatedTenant;
  /// A part crashes the engine that reads it, whichever service the route sends it to.
  ModelId model;
  std::string_view id;
};

/// Identifies a part of prompts across requests, without revealing its id.
struct PartFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const PartFingerprint&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(high, low);
  }
};

PartFingerprint fingerprintOf(const PartIdentity& identity);

/// 32 hexadecimal digits, for logs, operators and the store.
std::string toString(const PartFingerprint& fingerprint);
/// Empty if the text is not a fingerprint of a part.
std::optional<PartFingerprint> parsePartFingerprint(std::string_view text);

}  // namespace calicodrift::quarantine
