#pragma once

#include <map>
#include <optional>
#include <string>

#include "common/clock.h"
#include "service_rollout/observations.h"

namespace calicodrift::exchange {

/// A node's latest reports of observations: of its children, each with all below it, and of all
/// nodes elsewhere, as its parent tells it or else as the other roots do. What is not renewed
/// within the term counts no longer.
///
/// Invariant: no answer is counted twice, as far as each node has one parent: what a parent tells
/// already holds the other roots' groups, so that these count only while there is no parent. A
/// child that changed its parent is counted under both until the term of the old one has ended.
class ObservationTable {
 public:
  explicit ObservationTable(Milliseconds term) : term_(term) {}

  void setChild(const std::string& node, service_rollout::ObservationTable seen, MonotonicTime now);
  /// All that the node's parent knows of others.
  void setParent(service_rollout::ObservationTable seen, MonotonicTime now);
  /// The node is a root now.
  void forgetParent() { parent_.reset(); }
  /// Of another root and all below it.
  void setGroup(const std::string& root, service_rollout::ObservationTable seen, MonotonicTime now);

  /// What all below this node saw, without the child `except`.
  service_rollout::ObservationTable children(const std::string& except, MonotonicTime now) const;
  /// What all nodes saw that are not below this one.
  service_rollout::ObservationTable elsewhere(MonotonicTime now) const;
  /// Whether any order is told of.
  bool any(MonotonicTime now) const;
  /// Forgets what has run out.
  void expire(MonotonicTime now);

 private:
  struct Report {
    service_rollout::ObservationTable seen;
    MonotonicTime at{};
  };
  using Reports = std::map<std::string, Report>;

  bool counts(const Report& report, MonotonicTime now) const { return now - report.at <= term_; }
  static void add(service_rollout::ObservationTable& sum, const Report& report, MonotonicTime now);

  Milliseconds term_;
  Reports children_;
  Reports groups_;
  std::optional<Report> parent_;
};

}  // namespace calicodrift::exchange
