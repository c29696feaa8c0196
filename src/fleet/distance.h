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

/// How far the servers of each zone are from this node.
namespace calicodrift::fleet {

/// How far a zone's servers are, as a choice weighs it.
struct Way {
  /// There and back.
  double milliseconds = 0;
  /// In this node's region, where choices prefer that.
  bool nearby = true;

  bool operator==(const Way&) const = default;
};

struct DistanceSettings {
  /// Where this node stands.
  ZoneId zone;
  /// Region of each zone. Empty: all zones are one region.
  std::map<ZoneId, std::string> regions;
  /// Whether choices prefer the own region by itself, and not only by its shorter way.
  bool preferOwnRegion = true;
  /// Expected before anything was learnt, there and back.
  Milliseconds sameRegionWay{2};
  Milliseconds otherRegionWay{60};
  /// Ways inside the region that are shorter count as none: queues differ by more, and an even use
  /// of all servers is worth more.
  Milliseconds floor{10};
  /// The least time of a connection in one or two of these is the way.
  Milliseconds window{30'000};
};

/// A table from "zone=region" items. A zone without a region is left out, and so the farthest.
std::map<ZoneId, std::string> parseZoneRegions(const std::vector<std::string>& items);

/// Told of what an operator should know; each may be empty.
struct DistanceListener {
  /// Once for each zone that has no region though others have one.
  std::function<void(const ZoneId&)> unknownZone;
  /// A way changed by so much that choices change.
  std::function<void(const ZoneId&, double milliseconds)> wayChanged;
};

/// Learns the way to each zone from the time that connections to its servers take: the least of a
/// window, as queues, busy processes and lost packets only lengthen it. One connection lowers a
/// way; it takes several to raise it. Where all zones lie in one region no way counts. No I/O;
/// calls are told the time.
class Distances {
 public:
  explicit Distances(DistanceSettings settings, DistanceListener listener = {});

  /// A server stands in the zone.
  void noteZone(const ZoneId& zone);
  /// A connection to a server of the zone took so long. Returns whether the way changed by so much
  /// that choices change.
  bool observe(const ZoneId& zone, double milliseconds, MonotonicTime now);
  /// Ends what was learnt too long ago. Returns whether a way may have changed by that. Cheap where
  /// nothing ends.
  bool dropExpired(MonotonicTime now);
  /// The way as learnt, or as expected where nothing was learnt of late. A zone without a region
  /// is as far as the farthest.
  Way wayTo(const ZoneId& zone, MonotonicTime now) const;

  static constexpr double kLongestWayMs = 1000;

 private:
  /// The connections of one window.
  struct Samples {
    double leastMs = std::numeric_limits<double>::infinity();
    std::size_t count = 0;
  };
  struct Learnt {
    MonotonicTime windowBegin{};
    Samples running;
    Samples previous;
    /// As of the last connection, or of the end of a window since then.
    std::optional<double> wayMs;
    /// What the last change was told for.
    double toldMs = 0;
  };

  void rollWindows(Learnt& learnt, MonotonicTime now) const;
  /// Tells a change that is large enough. Returns whether it was.
  bool noteChange(const ZoneId& zone, Learnt& learnt, MonotonicTime now) const;
  /// The zone lies in the only region that there is.
  bool countsForNothing(const ZoneId& zone) const;
  bool inOwnRegion(const ZoneId& zone) const;
  bool isUnknown(const ZoneId& zone) const;
  std::optional<double> learntAt(const ZoneId& zone, MonotonicTime now) const;
  double expected(const ZoneId& zone) const;
  double farthest(MonotonicTime now) const;

  DistanceSettings settings_;
  DistanceListener listener_;
  bool hasRegions_;
  /// Nothing that was learnt ends before.
  MonotonicTime nextExpiry_ = MonotonicTime::max();
  std::map<ZoneId, Learnt> learnt_;
  std::set<ZoneId> toldUnknown_;
};

}  // namespace calicodrift::fleet
