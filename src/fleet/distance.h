#pragma once

#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"

/// Network distance between this node and the servers of each zone.
namespace calicodrift::fleet {

/// Network distance of a zone's servers, as used to weigh routing choices.
struct ZoneDistance {
  /// Round-trip time.
  double rttMs = 0;
  /// Whether the zone is in this node's region; always true where routing does not prefer that
  /// region.
  bool nearby = true;

  bool operator==(const ZoneDistance&) const = default;
};

struct DistanceSettings {
  /// Zone of this node.
  ZoneId zone;
  /// Region of each zone. Empty: all zones are in one region.
  std::map<ZoneId, std::string> regions;
  /// Whether routing prefers servers in this node's region regardless of the RTT difference.
  bool preferOwnRegion = true;
  /// Default RTTs, used until one has been measured.
  Milliseconds sameRegionRtt{2};
  Milliseconds crossRegionRtt{60};
  /// RTTs within the region below this value count as 0: queueing delays differ by more, and an
  /// even use of all servers is worth more.
  Milliseconds floor{10};
  /// The RTT is the shortest connect time in the current and the previous window of this length.
  Milliseconds window{30'000};
};

/// Parses "zone=region" items. A zone without a region is skipped, and is thus treated as the
/// farthest.
std::map<ZoneId, std::string> parseZoneRegions(const std::vector<std::string>& items);

/// Callbacks for events that an operator should know of; each may be empty.
struct DistanceListener {
  /// Called once for each zone that has no region though others have one.
  std::function<void(const ZoneId&)> unknownZone;
  /// Called when an RTT has changed by enough to affect routing.
  std::function<void(const ZoneId&, double milliseconds)> rttChanged;
};

/// Estimates the RTT to each zone from the connect times of its servers: the minimum over a window,
/// since queueing, busy processes and lost packets only lengthen it. One connection lowers an
/// estimate; raising it takes several. Where all zones are in one region, all distances are 0. Does
/// no I/O; callers pass the time.
class Distances {
 public:
  explicit Distances(DistanceSettings settings, DistanceListener listener = {});

  /// Records that a server is listed in the zone, and reports the zone if its region is unknown.
  void addZone(const ZoneId& zone);
  /// Records the connect time of a server in the zone. Returns whether the RTT changed by enough to
  /// affect routing.
  bool observe(const ZoneId& zone, double milliseconds, MonotonicTime now);
  /// Drops expired estimates. Returns whether a distance may have changed by that. Cheap where
  /// nothing expires.
  bool dropExpired(MonotonicTime now);
  /// Distance by the measured RTT, or by the default if none was measured recently. A zone without
  /// a region is as far as the farthest one.
  ZoneDistance distanceTo(const ZoneId& zone, MonotonicTime now) const;

  static constexpr double kMaxRttMs = 1000;

 private:
  /// Connect times in one window.
  struct Samples {
    double minMs = std::numeric_limits<double>::infinity();
    std::size_t count = 0;
  };
  struct Estimate {
    MonotonicTime windowBegin{};
    Samples current;
    Samples previous;
    /// RTT as of the last sample, or of the last end of a window since then; empty if it expired.
    std::optional<double> rttMs;
    /// RTT at the last reported change.
    double reportedMs = 0;
  };

  void rollWindows(Estimate& estimate, MonotonicTime now) const;
  /// Reports a change that exceeds the thresholds. Returns whether it did.
  bool reportChange(const ZoneId& zone, Estimate& estimate, MonotonicTime now) const;
  /// Whether the zone is in the only known region.
  bool isDistanceIgnored(const ZoneId& zone) const;
  bool inOwnRegion(const ZoneId& zone) const;
  bool isUnknown(const ZoneId& zone) const;
  std::optional<double> estimatedRttMs(const ZoneId& zone, MonotonicTime now) const;
  double defaultRttMs(const ZoneId& zone) const;
  double longestRttMs(MonotonicTime now) const;

  DistanceSettings settings_;
  DistanceListener listener_;
  bool multipleRegions_;
  /// No estimate expires before this time.
  MonotonicTime nextExpiry_ = MonotonicTime::max();
  std::map<ZoneId, Estimate> estimates_;
  std::set<ZoneId> reportedUnknownZones_;
};

}  // namespace calicodrift::fleet
