#include "routing/least_outstanding.h"
#include "routing/nested_prefix_affinity.h"
#include "routing/policy.h"
#include "routing/prefix_hash_bounded_load.h"
#include "routing/prefix_home.h"
#include "routing/prefix_index_with_load.h"
#include "routing/round_robin.h"

namespace calicodrift::routing {

std::unique_ptr<Policy> makePolicy(std::string_view name, std::uint64_t seed) {
  if (name == RoundRobin::kName) {
    return std::make_unique<RoundRobin>();
  }
  if (name == LeastOutstanding::kName) {
    return std::make_unique<LeastOutstanding>(seed);
  }
  if (name == PrefixHashBoundedLoad::kName) {
    return std::make_unique<PrefixHashBoundedLoad>();
  }
  if (name == PrefixHome::kName) {
    return std::make_unique<PrefixHome>();
  }
  if (name == PrefixIndexWithLoad::kName) {
    return std::make_unique<PrefixIndexWithLoad>(seed);
  }
  if (name == NestedPrefixAffinity::kName) {
    return std::make_unique<NestedPrefixAffinity>(seed);
  }
  return nullptr;
}

const std::vector<std::string_view>& policyNames() {
  static const std::vector<std::string_view> names{
      RoundRobin::kName, LeastOutstanding::kName,    PrefixHashBoundedLoad::kName,
      PrefixHome::kName, PrefixIndexWithLoad::kName, NestedPrefixAffinity::kName};
  return names;
}

}  // namespace calicodrift::routing
