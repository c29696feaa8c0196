#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"

namespace calicodrift::server_paths {

struct PathTableSettings {
  /// Interval between two probes of a lost direct path.
  Milliseconds probeInterval{250};
  /// A loss makes the paths to all other servers suspect for this long.
  Milliseconds suspicionTime{3000};
  /// A direct path that is lost again within this time after its return is flapping.
  Milliseconds stableTime{10'000};
  /// A flapping path stays lost for at least this long, doubled with each further loss.
  Milliseconds firstHoldOff{500};
  Milliseconds maxHoldOff{8000};
};

/// Which servers this node cannot reach directly although other nodes reach them. Does no I/O and
/// reads no clock: callers pass the time.
///
/// Invariant: a path is lost only by recordLost(), whose caller has a second witness, so a server
/// that has ended is never taken for a lost path.
class PathTable {
 public:
  explicit PathTable(PathTableSettings settings) : settings_(settings) {}

  bool isLost(const Endpoint& server) const;
  /// Records that the direct path failed while another node reached the server. Returns whether the
  /// path was in use until now.
  bool recordLost(const Endpoint& server, MonotonicTime now);
  /// Records that the direct path works. Returns whether it is used again from now on: a flapping
  /// path is held off for a time.
  bool recordWorking(const Endpoint& server, MonotonicTime now);
  /// Lost paths to probe now, at most `most` of them; the next call returns them again after the
  /// probe interval. After a return all lost paths are due, as they have often been lost together.
  std::vector<Endpoint> takeDueProbes(std::size_t most, MonotonicTime now);
  /// Beginning of the losses, if the latest one is recent: direct connections that have not been
  /// used since then may be cut, too.
  std::optional<MonotonicTime> suspectSince(MonotonicTime now) const;
  std::size_t lostCount() const { return lostCount_; }
  /// Removes servers that do not satisfy `listed`.
  void retain(const std::function<bool(const Endpoint&)>& listed);

 private:
  struct Entry {
    bool lost = false;
    MonotonicTime nextProbe{};
    MonotonicTime heldOffUntil{};
    MonotonicTime regainedAt{};
    /// Losses within the stable time after a return, in a row.
    std::size_t flaps = 0;
  };

  Milliseconds holdOff(std::size_t flaps) const;

  PathTableSettings settings_;
  std::map<Endpoint, Entry> entries_;
  std::size_t lostCount_ = 0;
  MonotonicTime firstLossAt_{};
  MonotonicTime lastLossAt_{};
};

}  // namespace calicodrift::server_paths
