#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "fleet/server_load.h"

namespace calicodrift::server_limits {

/// Permits that this process holds, by server, so that their issuer can be told that they are still
/// in use. Does no I/O; callers pass the time.
class HeldPermits {
 public:
  void add(fleet::ServerKey server, std::uint64_t number, MonotonicTime now);
  void remove(fleet::ServerKey server, std::uint64_t number);
  /// Numbers of the permits for the server.
  std::vector<std::uint64_t> numbersFor(fleet::ServerKey server) const;
  /// Servers with a permit that its issuer has not been told of for kRenewAfter; counts them as
  /// told.
  std::vector<fleet::ServerKey> takeDue(MonotonicTime now);
  bool empty() const { return servers_.empty(); }

  /// A third of PermitIssuer::kPermitTerm, so that one lost message is no lost permit.
  static constexpr Milliseconds kRenewAfter{500};

 private:
  using Told = std::map<std::uint64_t, MonotonicTime>;
  std::unordered_map<fleet::ServerKey, Told> servers_;
};

}  // namespace calicodrift::server_limits
