#pragma once

#include <string_view>

namespace calicodrift::quarantine {

/// What a request, or requests with a part of a prompt, may do next.
enum class Standing {
  /// There is no evidence against it.
  kClear,
  /// Servers crashed under it, fewer than bar it: it may be tried, with one attempt at a time in
  /// the fleet.
  kSuspect,
  /// It is not sent to any server.
  kBarred,
};

/// For logs and operators.
std::string_view toString(Standing standing);

}  // namespace calicodrift::quarantine
