#include "exchange/messages.h"

#include <algorithm>
#include <limits>

namespace calicodrift::exchange {
namespace {

template <typename Field>
Field capped(std::size_t value) {
  return static_cast<Field>(std::min<std::size_t>(value, std::numeric_limits<Field>::max()));
}

}  // namespace

std::vector<NamedWeightsEntry> toEntries(const std::vector<fleet::NamedWeights>& named) {
  std::vector<NamedWeightsEntry> entries;
  entries.reserve(named.size());
  for (const fleet::NamedWeights& one : named) {
    NamedWeightsEntry entry{one.model.value(), one.floor.value(), one.coveredFrom.value(), {}};
    for (const fleet::WeightsNaming& naming : one.namings) {
      entry.namings.push_back(
          {naming.weights.value(),
           capped<std::uint32_t>(static_cast<std::size_t>(naming.age.count()))});
    }
    entries.push_back(std::move(entry));
  }
  return entries;
}

std::vector<fleet::NamedWeights> toNamedWeights(const std::vector<NamedWeightsEntry>& entries) {
  std::vector<fleet::NamedWeights> named;
  named.reserve(entries.size());
  for (const NamedWeightsEntry& entry : entries) {
    fleet::NamedWeights one{
        ModelId(entry.model), WeightsVersion(entry.floor), WeightsVersion(entry.coveredFrom), {}};
    for (const NamingEntry& naming : entry.namings) {
      one.namings.push_back({WeightsVersion(naming.weights), Milliseconds(naming.ageMs)});
    }
    named.push_back(std::move(one));
  }
  return named;
}

std::vector<LoadEntry> toEntries(const fleet::ServerLoads& loads) {
  std::vector<LoadEntry> entries;
  entries.reserve(loads.size());
  for (const auto& [server, load] : loads) {
    if (load == fleet::ServerLoad{}) {
      continue;
    }
    LoadEntry entry;
    entry.server = server.value();
    entry.requests = capped<std::uint16_t>(load.requests);
    entry.unreachableFrom = capped<std::uint16_t>(load.unreachableFrom);
    entry.tokens = capped<std::uint32_t>(load.tokens);
    entry.prefillTokens = capped<std::uint32_t>(load.prefillTokens);
    entry.loadingWeights = load.loading.value();
    entries.push_back(entry);
  }
  return entries;
}

std::vector<LoadEntry> heaviest(std::vector<LoadEntry> entries, std::size_t most) {
  if (entries.size() <= most) {
    return entries;
  }
  const auto weigh = [](const LoadEntry& entry) {
    /// A running request delays others about as much as these prompt tokens; see
    /// routing::queueDelayMs().
    constexpr std::uint64_t kTokensOfARequest = 120;
    const bool first = entry.unreachableFrom > 0 || entry.loadingWeights > 0;
    return std::pair(first, entry.prefillTokens + kTokensOfARequest * entry.requests);
  };
  const auto end = entries.begin() + static_cast<std::ptrdiff_t>(most);
  std::nth_element(
      entries.begin(), end, entries.end(),
      [&weigh](const LoadEntry& one, const LoadEntry& two) { return weigh(one) > weigh(two); });
  entries.resize(most);
  return entries;
}

fleet::ServerLoads toLoads(const std::vector<LoadEntry>& entries) {
  fleet::ServerLoads loads;
  for (const LoadEntry& entry : entries) {
    loads[fleet::ServerKey(entry.server)] +=
        fleet::ServerLoad{entry.requests, entry.tokens, entry.prefillTokens, entry.unreachableFrom,
                          WeightsVersion(entry.loadingWeights)};
  }
  return loads;
}

}  // namespace calicodrift::exchange
