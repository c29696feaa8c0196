#pragma once

#include <map>
#include <string>

#include "common/clock.h"
#include "fleet/server_load.h"

namespace calicodrift::exchange {

/// A node's latest load reports: of its children, each with all below it, and of all nodes
/// elsewhere, as its parent or the other roots tell it.
/// What is not renewed within the term counts no longer, so that the load of a node that died goes
/// with it.
class LoadTable {
 public:
  explicit LoadTable(Milliseconds term) : term_(term) {}

  void setNode(const std::string& node, fleet::ServerLoads loads, MonotonicTime now);
  void setGroup(const std::string& relay, fleet::ServerLoads loads, MonotonicTime now);

  /// Load of this relay's followers, without `except`.
  fleet::ServerLoads followers(const std::string& except, MonotonicTime now) const;
  /// Load of the other relays' groups.
  fleet::ServerLoads groups(MonotonicTime now) const;
  /// Forgets the group that this relay told of.
  void forgetGroup(const std::string& relay) { groups_.erase(relay); }
  /// Forgets what has run out.
  void expire(MonotonicTime now);

 private:
  struct Report {
    fleet::ServerLoads loads;
    MonotonicTime at{};
  };
  using Reports = std::map<std::string, Report>;

  fleet::ServerLoads sum(const Reports& reports, const std::string& except,
                         MonotonicTime now) const;

  Milliseconds term_;
  Reports nodes_;
  Reports groups_;
};

/// Adds `more` to `sum`.
void addLoads(fleet::ServerLoads& sum, const fleet::ServerLoads& more);

}  // namespace calicodrift::exchange
