#include "router/decision_log.h"

#include <boost/json.hpp>

namespace calicodrift::router {
namespace {

namespace json = boost::json;

json::object toJsonObject(const Decision& decision) {
  return {{"request_id", decision.request.value()},
          {"attempt", decision.attempt.value()},
          {"policy", decision.policy},
          {"reason", decision.reason},
          {"backend", decision.backend.id.value()},
          {"incarnation", decision.backend.incarnation.value()},
          {"weights_version", decision.backend.weights.value()},
          {"prompt_blocks", decision.blocks},
          {"expected_cached_blocks", decision.expectedCachedBlocks},
          {"candidates", decision.candidates},
          {"outstanding", decision.backend.outstanding},
          {"reported_requests", decision.backend.reportedRequests},
          {"reported_prefill_tokens", decision.backend.reportedPrefillTokens}};
}

json::object toJsonObject(const RunningStatistics& statistics) {
  return {{"count", statistics.count}, {"mean", statistics.mean}, {"squares", statistics.squares}};
}

}  // namespace

void DecisionLog::record(Decision decision) {
  if (ring_.size() < kCapacity) {
    ring_.push_back(std::move(decision));
    return;
  }
  ring_[next_] = std::move(decision);
  next_ = (next_ + 1) % kCapacity;
}

std::string DecisionLog::explain(const RequestId& request) const {
  json::array found;
  for (std::size_t index = 0; index < ring_.size(); ++index) {
    const Decision& decision = ring_[(next_ + index) % ring_.size()];
    if (decision.request == request) {
      found.push_back(toJsonObject(decision));
    }
  }
  return json::serialize(found);
}

void ArmStatistics::add(const std::string& policy, std::size_t promptTokens,
                        std::size_t cachedTokens, double firstTokenMs) {
  Arm& arm = arms_[policy];
  arm.promptTokens += promptTokens;
  arm.cachedTokens += cachedTokens;
  if (promptTokens > 0) {
    arm.hitRatio.add(static_cast<double>(cachedTokens) / static_cast<double>(promptTokens));
  }
  if (firstTokenMs >= 0) {
    arm.firstTokenMs.add(firstTokenMs);
  }
}

std::string ArmStatistics::toJson() const {
  json::object arms;
  for (const auto& [policy, arm] : arms_) {
    arms[policy] = json::object{{"prompt_tokens", arm.promptTokens},
                                {"cached_tokens", arm.cachedTokens},
                                {"hit_ratio", toJsonObject(arm.hitRatio)},
                                {"first_token_ms", toJsonObject(arm.firstTokenMs)}};
  }
  return json::serialize(arms);
}

}  // namespace calicodrift::router
