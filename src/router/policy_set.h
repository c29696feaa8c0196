#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "bundle/bundle.h"
#include "router/decision_log.h"
#include "routing/policy.h"

namespace calicodrift::router {

/// The policies in use, one instance a name, and the bundle's assignment of requests to them.
class PolicySet {
 public:
  explicit PolicySet(std::uint64_t seed) : seed_(seed) {}

  /// The policy for a request: the first rule of the bundle that matches, then one of its arms by a
  /// stable hash of the conversation, so that a conversation stays on its arm on every router.
  routing::Policy& policyFor(const bundle::Bundle& bundle, const routing::RouteRequest& request);
  /// The policy of this name, or the default where the name is unknown to this release.
  routing::Policy& policyNamed(const std::string& name);
  /// Tells every policy that a back end's cache can't be relied on any more.
  void backendLost(const BackendId& backend);
  DecisionLog& decisions() { return decisions_; }
  ArmStatistics& arms() { return arms_; }

 private:
  std::uint64_t seed_;
  std::map<std::string, std::unique_ptr<routing::Policy>> policies_;
  DecisionLog decisions_;
  ArmStatistics arms_;
};

}  // namespace calicodrift::router
