#include "stream_versions/keeper_ranking.h"

#include <algorithm>
#include <utility>

#include "common/hashing.h"

namespace calicodrift::stream_versions {

std::vector<Endpoint> rankedKeepers(const std::vector<Endpoint>& keepers, StreamKey stream,
                                    std::size_t count) {
  std::vector<std::pair<std::uint64_t, const Endpoint*>> ranked;
  ranked.reserve(keepers.size());
  for (const Endpoint& keeper : keepers) {
    const std::uint64_t place = hashBytes(keeper.address, keeper.port);
    ranked.emplace_back(hashPair(stream.value(), place), &keeper);
  }
  const auto wanted = static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
  std::partial_sort(ranked.begin(), ranked.begin() + wanted, ranked.end());
  std::vector<Endpoint> chosen;
  for (auto item = ranked.begin(); item != ranked.begin() + wanted; ++item) {
    chosen.push_back(*item->second);
  }
  return chosen;
}

}  // namespace calicodrift::stream_versions
