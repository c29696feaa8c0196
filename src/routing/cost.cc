#include "routing/cost.h"

#include <algorithm>

namespace calicodrift::routing {

double queueDelayMs(const Candidate& candidate) {
  // A decoding sequence lengthens each step a little and takes a place in the batch.
  constexpr double kMsARequest = 3.0;
  const auto tokens = static_cast<double>(prefillTokensAt(candidate));
  const auto requests = static_cast<double>(requestsAt(candidate));
  return tokens / candidate.prefillTokensPerMs + requests * kMsARequest;
}

double admissionDelayMs(const RouteRequest& request, const Candidate& candidate) {
  /// How long a request holds its place, roughly.
  constexpr double kHoldMs = 800;
  /// Part of the memory that running requests may take; the rest keeps cached prompts.
  constexpr double kMemoryShare = 0.8;
  constexpr double kNoRoomMs = 1000;
  double delayMs = 0;
  const std::size_t requests = requestsAt(candidate);
  if (candidate.slots > 0 && requests >= candidate.slots) {
    const auto waiting = static_cast<double>(requests - candidate.slots + 1);
    delayMs += waiting * kHoldMs / static_cast<double>(candidate.slots);
  }
  const auto needed =
      static_cast<double>(tokensAt(candidate) + request.promptTokens + request.outputTokens);
  const double room = static_cast<double>(candidate.memoryTokens) * kMemoryShare;
  if (candidate.memoryTokens > 0 && needed > room) {
    delayMs += kNoRoomMs * needed / room;
  }
  return delayMs;
}

double expectedWaitMs(const Candidate& candidate) {
  const RouteRequest anyRequest;
  return queueDelayMs(candidate) + admissionDelayMs(anyRequest, candidate);
}

double slotWaitMs(const Candidate& candidate) {
  /// How long such a request holds its place. A guess between the 15 and 60 ms of work that
  /// deployments tell of; it decides only how long a queue is borne before another region is asked.
  constexpr double kHoldMs = 40;
  const std::size_t requests = requestsAt(candidate);
  if (candidate.slots == 0 || requests < candidate.slots) {
    return 0;
  }
  const auto waiting = static_cast<double>(requests - candidate.slots + 1);
  return waiting * kHoldMs / static_cast<double>(candidate.slots);
}

double streamPauseMs(const Candidate& candidate, std::size_t uncached) {
  /// A stream that comes late is worth as much as so many milliseconds of this request's wait. With
  /// it 0.004 of a calm day's worth and 0.008 of days with trouble are earned where 90 engines run
  /// streams that may pause for 600 ms (one run each, processor time not charged).
  constexpr double kMsAStream = 100;
  /// Engines are a little slower than learnt while many requests run, and nodes hear of each
  /// other's prompts late.
  constexpr double kBoundShare = 0.7;
  if (candidate.pauseBoundMs <= 0) {
    return 0;
  }
  const auto tokens = static_cast<double>(prefillTokensAt(candidate) + uncached);
  const bool pauses = tokens / candidate.prefillTokensPerMs > kBoundShare * candidate.pauseBoundMs;
  return pauses ? kMsAStream * static_cast<double>(requestsAt(candidate)) : 0;
}

double meanQueueMs(const CandidateSet& candidates) {
  const auto tokens = static_cast<double>(candidates.totalPrefillTokens());
  return tokens / (static_cast<double>(candidates.size()) * Candidate::kDefaultPrefillTokensPerMs);
}

double prefillMs(const RouteRequest& request, const Candidate& candidate,
                 std::size_t cachedBlocks) {
  return static_cast<double>(uncachedTokens(request, cachedBlocks)) / candidate.prefillTokensPerMs;
}

std::size_t uncachedTokens(const RouteRequest& request, std::size_t cachedBlocks) {
  return request.promptTokens - std::min(request.promptTokens, cachedBlocks * request.blockTokens);
}

}  // namespace calicodrift::routing
