#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "fleet/server_pool.h"
#include "server_limits/limit_table.h"

namespace calicodrift::server_limits {

/// Servers that fail if they have to refuse more requests per second than they name, and which of
/// them may get a request without a permit. Does no I/O; callers pass the time.
///
/// A run of a server that has not answered yet is presumed to be like the others of its service:
/// such a server may have just come back, without load, so that all nodes would choose it.
class RefusalLimits {
 public:
  /// Records the head of an answer; see LimitTable::recordAnswer().
  bool recordAnswer(const fleet::Server& server, LimitVersion seen, std::optional<double> named,
                    MonotonicTime now);
  /// Merges another node's record. Returns whether that changed the table.
  /// @param server the listed run; null if it is not listed.
  bool merge(const LimitRecord& record, const fleet::Server* server, MonotonicTime now);
  /// Records that the server has refused a request for lack of capacity.
  void recordRefusal(fleet::ServerKey server, MonotonicTime now);
  /// Refusals per second that the server bears; empty if it need not be spared.
  std::optional<double> limitOf(const fleet::Server& server, MonotonicTime now) const;
  /// Records the load of all servers of the service together, and the slots that they list.
  void recordServiceLoad(const std::string& service, std::size_t requests, std::size_t slots,
                         MonotonicTime now);
  /// Services whose servers may need permits.
  std::vector<std::string> services() const;
  /// Records that a request was refused a permit for a server of the service.
  void recordNoPermit(const std::string& service);
  /// Whether a request to the server needs a permit: not while the server and its service have had
  /// far fewer requests than slots for a while, and it has neither refused any nor appeared lately.
  bool needsPermit(const fleet::Server& server, const fleet::KnownLoad& load, MonotonicTime now);
  bool any(MonotonicTime now) const { return now < anyUntil_; }
  LimitVersion versionOf(fleet::ServerKey server) const { return table_.versionOf(server); }
  const LimitTable& table() const { return table_; }
  /// Removes runs that are gone; see LimitTable::removeUnlisted().
  void removeUnlisted(const std::function<bool(fleet::ServerKey)>& isListed, MonotonicTime now);

  /// How long a service's servers are presumed to name a limit after the last one did.
  static constexpr Milliseconds kServiceMemory{30'000};
  /// After a refusal, requests need permits for so long.
  static constexpr Milliseconds kAfterRefusal{10'000};
  /// Service and server have to be far from full for so long, as the load drops for a moment when
  /// nodes are killed, and returns with their callers.
  static constexpr Milliseconds kCalmTime{10'000};
  /// A server that this node has not known for longer may be one that others choose as well.
  static constexpr Milliseconds kNewServer{2000};
  /// Load reports that are older say too little.
  static constexpr Milliseconds kMaxReportAge{1000};
  /// Part of the slots that the known load may take, so that there is room for what other nodes
  /// send until the next report.
  static constexpr std::size_t kFreePartOfSlots = 4;

 private:
  struct ServiceLimit {
    double refusals = 0;
    MonotonicTime until{};
    /// Since when the service has been seen with far fewer requests than slots, and when it was
    /// last looked at.
    std::optional<MonotonicTime> farFromFullSince;
    MonotonicTime lookedAt{};
  };
  struct Known {
    MonotonicTime since{};
    std::optional<MonotonicTime> refusedAt;
  };

  void noteService(const std::string& service, double refusals, MonotonicTime now);

  LimitTable table_;
  std::unordered_map<std::string, ServiceLimit> services_;
  std::unordered_map<fleet::ServerKey, Known> known_;
  MonotonicTime anyUntil_{};
};

}  // namespace calicodrift::server_limits
