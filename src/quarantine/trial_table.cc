#include "quarantine/trial_table.h"

#include <algorithm>

namespace calicodrift::quarantine {

std::optional<ServerRun> TrialTable::begin(const RequestFingerprint& request, TrialToken token,
                                           const std::vector<ServerRun>& choices, Milliseconds term,
                                           MonotonicTime now) {
  std::erase_if(trials_, [now](const auto& entry) { return now >= entry.second.until; });
  if (trials_.contains(request)) {
    return std::nullopt;
  }
  const auto leastLoaded = std::min_element(
      choices.begin(), choices.end(),
      [this](ServerRun first, ServerRun second) { return attemptsAt(first) < attemptsAt(second); });
  const ServerRun server = leastLoaded == choices.end() ? ServerRun() : *leastLoaded;
  trials_[request] = {token, server, now + std::min(term, kMaxTerm)};
  return server;
}

std::size_t TrialTable::attemptsAt(ServerRun server) const {
  return static_cast<std::size_t>(
      std::count_if(trials_.begin(), trials_.end(),
                    [server](const auto& entry) { return entry.second.server == server; }));
}

void TrialTable::end(const RequestFingerprint& request, TrialToken token) {
  const auto found = trials_.find(request);
  if (found != trials_.end() && found->second.token == token) {
    trials_.erase(found);
  }
}

Milliseconds TrialTable::remaining(const RequestFingerprint& request, MonotonicTime now) const {
  const auto found = trials_.find(request);
  if (found == trials_.end() || now >= found->second.until) {
    return Milliseconds(0);
  }
  return std::chrono::ceil<Milliseconds>(found->second.until - now);
}

}  // namespace calicodrift::quarantine
