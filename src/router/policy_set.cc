#include "router/policy_set.h"

#include "routing/prefix_hash_bounded_load.h"

namespace calicodrift::router {
namespace {

constexpr std::uint64_t kFullShare = 100;

bool matches(const bundle::PolicyRule& rule, const routing::RouteRequest& request) {
  return (!rule.tenant || *rule.tenant == request.tenant) &&
         (!rule.model || *rule.model == request.model) &&
         (!rule.priority || *rule.priority == request.priority);
}

/// Equal for all turns of a conversation: they share the first block.
std::uint64_t conversationHash(const routing::RouteRequest& request) {
  const std::uint64_t first = request.blocks.empty() ? 0 : request.blocks.front().value();
  return hashBytes(request.tenant.value(), first);
}

const std::string& armOf(const bundle::PolicyRule& rule, std::uint64_t hash) {
  std::uint64_t position = hash % kFullShare;
  for (const bundle::PolicyArm& arm : rule.arms) {
    const auto share = static_cast<std::uint64_t>(arm.share);
    if (position < share) {
      return arm.policy;
    }
    position -= share;
  }
  return rule.arms.back().policy;
}

}  // namespace

routing::Policy& PolicySet::policyFor(const bundle::Bundle& bundle,
                                      const routing::RouteRequest& request) {
  for (const bundle::PolicyRule& rule : bundle.policies) {
    if (matches(rule, request)) {
      return policyNamed(armOf(rule, conversationHash(request)));
    }
  }
  return policyNamed(std::string(routing::PrefixHashBoundedLoad::kName));
}

void PolicySet::backendLost(const BackendId& backend) {
  for (auto& entry : policies_) {
    entry.second->onBackendLost(backend);
  }
}

routing::Policy& PolicySet::policyNamed(const std::string& name) {
  std::unique_ptr<routing::Policy>& policy = policies_[name];
  if (!policy) {
    policy = routing::makePolicy(name, seed_);
  }
  if (!policy) {
    // A bundle from a newer release may name a policy that this one lacks.
    policy = routing::makePolicy(routing::PrefixHashBoundedLoad::kName, seed_);
  }
  return *policy;
}

}  // namespace calicodrift::router
