#include "quarantine/trial_table.h"

#include <algorithm>

namespace calicodrift::quarantine {

std::optional<ServerRun> TrialTable::begin(const Traits& traits, TrialToken token,
                                           const std::vector<ServerRun>& choices, Milliseconds term,
                                           MonotonicTime now) {
  std::erase_if(trials_, [now](const auto& entry) { return now >= entry.second.until; });
  if (std::any_of(traits.all.begin(), traits.all.end(),
                  [this](const Trait& trait) { return trials_.contains(trait); })) {
    return std::nullopt;
  }
  const auto leastLoaded = std::min_element(
      choices.begin(), choices.end(),
      [this](ServerRun first, ServerRun second) { return attemptsAt(first) < attemptsAt(second); });
  const ServerRun server = leastLoaded == choices.end() ? ServerRun() : *leastLoaded;
  for (const Trait& trait : traits.all) {
    trials_[trait] = {token, server, now + std::min(term, kMaxTerm)};
  }
  return server;
}

std::size_t TrialTable::attemptsAt(ServerRun server) const {
  return static_cast<std::size_t>(
      std::count_if(trials_.begin(), trials_.end(),
                    [server](const auto& entry) { return entry.second.server == server; }));
}

void TrialTable::end(const Traits& traits, TrialToken token) {
  for (const Trait& trait : traits.all) {
    const auto found = trials_.find(trait);
    if (found != trials_.end() && found->second.token == token) {
      trials_.erase(found);
    }
  }
}

Milliseconds TrialTable::remaining(const Traits& traits, MonotonicTime now) const {
  Milliseconds longest{0};
  for (const Trait& trait : traits.all) {
    const auto found = trials_.find(trait);
    if (found != trials_.end() && now < found->second.until) {
      longest = std::max(longest, std::chrono::ceil<Milliseconds>(found->second.until - now));
    }
  }
  return longest;
}

}  // namespace calicodrift::quarantine
