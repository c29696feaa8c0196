#include "forward/prompt_blocks.h"

#include "common/hashing.h"
#include "forward/cache_scope.h"

namespace calicodrift::forward {
namespace {

/// Parts of at least this length, and remainders of parts, get a block of their own; shorter ones
/// join the next block.
constexpr std::size_t kMinBlockTokens = 16;

Priority toPriority(unsigned rank) {
  if (rank == 0) {
    return Priority::kHigh;
  }
  return rank == 1 ? Priority::kNormal : Priority::kLow;
}

/// Chains the hashes of a prompt's blocks. The last part is specific to the request, not shared.
void chainPrompt(const std::vector<PromptPart>& prompt, std::uint64_t seed,
                 routing::RouteRequest& route) {
  std::uint64_t chain = seed;
  std::size_t tokens = 0;
  for (const PromptPart& part : prompt) {
    route.sharedBlocks = route.blocks.size();
    route.sharedTokens = tokens;
    tokens += part.tokens;
    const std::uint64_t partHash = hashBytes(part.id);
    std::size_t left = part.tokens;
    std::uint64_t index = 0;
    chain = hashPair(chain, partHash);
    while (left >= kMinBlockTokens) {
      chain = hashPair(chain, index);
      route.blocks.emplace_back(chain);
      left -= std::min(left, kRoutingBlockTokens);
      ++index;
    }
  }
}

}  // namespace

routing::RouteRequest toRouteRequest(const Request& request, const Grant& grant) {
  routing::RouteRequest route;
  if (grant.tenant != nullptr) {
    route.tenant = grant.tenant->id;
  }
  route.model = request.model;
  route.priority = toPriority(grant.priority());
  const CacheIsolation isolation = isolationOf(grant);
  const bool isolated = !isolation.tenant.value().empty();
  const std::uint64_t seed = isolated ? hashBytes(isolation.tenant.value()) : isolation.sharedKey;
  chainPrompt(request.prompt, seed, route);
  route.promptTokens = request.promptTokens;
  route.outputTokens = request.outputTokens;
  route.blockTokens = kRoutingBlockTokens;
  return route;
}

}  // namespace calicodrift::forward
