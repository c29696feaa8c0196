#pragma once

#include <map>
#include <optional>
#include <string>

#include "common/clock.h"
#include "service_rollout/observations.h"

namespace calicodrift::exchange {

/// Latest observation reports received by a node: from its children, each covering its whole
/// subtree, and for all nodes elsewhere from its parent or, without a parent, from the other roots.
/// A report that is not renewed within the term is ignored.
///
/// Invariant: no observation is counted twice as long as each node has one parent. A parent's
/// report already includes the groups of the other roots, so those count only while there is no
/// parent. A child that changed its parent is counted under both until the term of the old report
/// ends.
class ObservationTable {
 public:
  explicit ObservationTable(Milliseconds term) : term_(term) {}

  void setChild(const std::string& node, service_rollout::ObservationTable seen, MonotonicTime now);
  /// Sets the report of this node's parent, which covers all nodes outside this node's subtree.
  void setParent(service_rollout::ObservationTable seen, MonotonicTime now);
  /// Removes the parent's report; called when the node becomes a root.
  void removeParent() { parent_.reset(); }
  /// Sets the report of another root, which covers its whole tree.
  void setGroup(const std::string& root, service_rollout::ObservationTable seen, MonotonicTime now);

  /// Sum of the observations of all nodes below this one, excluding the child `except`.
  service_rollout::ObservationTable children(const std::string& except, MonotonicTime now) const;
  /// Sum of the observations of all nodes outside this node's subtree.
  service_rollout::ObservationTable outsideSubtree(MonotonicTime now) const;
  /// True if any current report contains an order.
  bool hasOrders(MonotonicTime now) const;
  /// Removes expired reports.
  void expire(MonotonicTime now);

 private:
  struct Report {
    service_rollout::ObservationTable seen;
    MonotonicTime at{};
  };
  using Reports = std::map<std::string, Report>;

  bool isCurrent(const Report& report, MonotonicTime now) const { return now - report.at <= term_; }
  static void add(service_rollout::ObservationTable& sum, const Report& report, MonotonicTime now);

  Milliseconds term_;
  Reports children_;
  Reports groups_;
  std::optional<Report> parent_;
};

}  // namespace calicodrift::exchange
