#pragma once

#include <map>
#include <set>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"

namespace calicodrift::weights {

struct LoadScheduleSettings {
  /// Time between a server's announcement and its order to load. Other nodes learn of the
  /// announcement within two exchange intervals, and requests running on the server can finish in
  /// the meantime.
  Milliseconds lead{500};
  /// Load time estimate until the first load was observed.
  Milliseconds firstLoadTime{800};
};

/// A server that may be ordered to load.
struct DueServer {
  BackendId id;
  /// Whether it receives no new requests anyway, so that its order needs no prior announcement.
  bool idle = false;
  /// Whether it may be ordered already now, not only at the end of the lead.
  bool settled = true;
};

/// Schedules announcements of servers and the earliest time of their orders to load, so that no
/// node sends requests to a server that would refuse them. Servers are announced while others still
/// load, early enough that the next order need not wait. Performs no I/O; the caller passes the
/// time.
///
/// Invariant: at most `maxLoads` servers are announced in addition to those that load, and a server
/// that receives requests is not ordered before the lead after its announcement has passed.
class LoadSchedule {
 public:
  explicit LoadSchedule(LoadScheduleSettings settings)
      : settings_(settings), loadTime_(settings.firstLoadTime) {}

  /// Discards all state except the load time estimate. Called when another node becomes the order
  /// sender.
  void clear();
  /// @param due the servers to load next, in order of priority.
  /// @param maxLoads maximum number of concurrent loads.
  void update(const std::vector<DueServer>& due, std::size_t maxLoads, MonotonicTime now);
  bool mayOrder(const BackendId& server, MonotonicTime now) const;
  /// Records that an order was sent.
  void onOrdered(const BackendId& server, MonotonicTime now);
  /// Records a load that no tracked order accounts for: an earlier order reached the server late.
  /// Its duration is not used for the load time estimate.
  void onLoadObserved(const BackendId& server, MonotonicTime now);
  bool isOrdered(const BackendId& server) const { return ordered_.contains(server); }
  /// Whether the server is announced or ordered.
  bool isReserved(const BackendId& server) const {
    return announced_.contains(server) || ordered_.contains(server);
  }
  /// Records that the server has the ordered weights.
  void onLoaded(const BackendId& server, MonotonicTime now);
  /// Records that the server's order is no longer considered in progress, or that the server was
  /// removed.
  void onGone(const BackendId& server);
  /// Servers that were ordered and don't have the ordered weights yet.
  std::vector<BackendId> ordered() const;
  /// Servers that should receive no new requests: those announced and those loading.
  std::set<BackendId> reserved() const;
  /// Moving average of the time from an order to its result.
  Milliseconds loadTime() const { return loadTime_; }

 private:
  struct Load {
    /// When the order was sent, or when the load was first observed.
    MonotonicTime since;
    /// Whether the time from `since` to the result is the duration of a load.
    bool measured = true;
  };

  /// Number of further servers that may be announced.
  std::size_t freeSlots(std::size_t maxLoads, MonotonicTime now) const;

  LoadScheduleSettings settings_;
  Milliseconds loadTime_;
  /// Earliest time at which each announced server may be ordered.
  std::map<BackendId, MonotonicTime> announced_;
  std::map<BackendId, Load> ordered_;
};

}  // namespace calicodrift::weights
