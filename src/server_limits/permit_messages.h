#pragma once

#include <cereal/types/vector.hpp>
#include <compare>
#include <cstdint>
#include <vector>

namespace calicodrift::server_limits {

/// A permit to have one request in flight at a server that fails if it refuses many. Identified by
/// the process that holds it and a number that this process does not use again.
struct Permit {
  std::uint64_t holder = 0;
  std::uint64_t number = 0;

  auto operator<=>(const Permit&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(holder, number);
  }
};

enum class PermitOperation : std::uint8_t {
  /// The message is not about permits.
  kNone = 0,
  kAcquire = 1,
  /// The request has ended at the server.
  kRelease = 2,
  /// The server refused the request for lack of capacity.
  kRefused = 3,
  /// No server got the request.
  kReturn = 4,
  /// Tells all permits that the holder has for the server.
  kRenew = 5,
};

/// Part of a UnitRequest that concerns permits.
struct PermitRequest {
  PermitOperation operation = PermitOperation::kNone;
  /// With kRenew, only the holder is set.
  Permit permit;
  /// Refusals per second that the server bears.
  double refusalLimit = 0;
  /// Requests that the server works on at a time, as listed; 0: unknown.
  std::uint32_t slots = 0;
  /// Numbers of all permits of the holder; kRenew only.
  std::vector<std::uint64_t> held;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(operation, permit, refusalLimit, slots, held);
  }
};

}  // namespace calicodrift::server_limits
