#include "router/version_rule.h"

#include <charconv>
#include <optional>

#include "common/hashing.h"

namespace calicodrift::router {
namespace {

/// The version other than the desired one that most engines hold; the newer one of equals.
std::optional<WeightsVersion> mostWidespreadOther(const VersionCounts& usable,
                                                  WeightsVersion desired) {
  std::optional<WeightsVersion> best;
  std::size_t most = 0;
  for (const auto& [version, count] : usable) {
    if (version != desired && count >= most && count > 0) {
      best = version;
      most = count;
    }
  }
  return best;
}

}  // namespace

WeightsVersion chooseWeights(const VersionCounts& usable, const VersionQuery& query) {
  constexpr std::uint64_t kPercent = 100;
  constexpr std::uint64_t kSteps = 10'000;
  const auto found = usable.find(query.desired);
  const std::size_t ready = found == usable.end() ? 0 : found->second;
  const std::optional<WeightsVersion> other = mostWidespreadOther(usable, query.desired);
  if (!other || (ready > 0 && query.seen == query.desired)) {
    return query.desired;
  }
  std::size_t total = 0;
  for (const auto& entry : usable) {
    total += entry.second;
  }
  const std::uint64_t enough = total * static_cast<std::uint64_t>(query.enoughPercent);
  const bool carriesAll = ready > 0 && ready * kPercent >= enough;
  const std::uint64_t position = query.conversation % kSteps;
  const bool moved = carriesAll || position * enough < ready * kPercent * kSteps;
  return moved && ready > 0 ? query.desired : *other;
}

VersionQuery readVersionQuery(const http::Request& request, std::string_view prompt,
                              WeightsVersion desired, std::int64_t enoughPercent) {
  VersionQuery query;
  query.desired = desired;
  query.enoughPercent = enoughPercent;
  const std::string conversation = request.headers.get(kConversationHeader);
  query.conversation = conversation.empty() ? hashBytes(prompt) : hashBytes(conversation);
  const std::string seen = request.headers.get(kSeenWeightsHeader);
  std::uint64_t version = 0;
  const auto parsed = std::from_chars(seen.data(), seen.data() + seen.size(), version);
  if (parsed.ec == std::errc{}) {
    query.seen = WeightsVersion(version);
  }
  return query;
}

}  // namespace calicodrift::router
