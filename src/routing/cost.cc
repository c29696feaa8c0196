#include "routing/cost.h"

#include <algorithm>

namespace calicodrift::routing {

double queueDelayMs(const Candidate& candidate) {
  // A decoding sequence slightly lengthens each step and occupies a batch slot.
  constexpr double kMsPerRequest = 3.0;
  const auto tokens = static_cast<double>(prefillTokensAt(candidate));
  const auto requests = static_cast<double>(requestsAt(candidate));
  return tokens / candidate.prefillTokensPerMs + requests * kMsPerRequest;
}

double admissionDelayMs(const RouteRequest& request, const Candidate& candidate) {
  /// Approximate time that a request occupies its slot.
  constexpr double kSlotHoldMs = 800;
  /// Share of the memory that running requests may use; the rest holds cached prompts.
  constexpr double kMemoryFraction = 0.8;
  constexpr double kMemoryWaitMs = 1000;
  double delayMs = 0;
  const std::size_t requests = requestsAt(candidate);
  if (candidate.slots > 0 && requests >= candidate.slots) {
    const auto waiting = static_cast<double>(requests - candidate.slots + 1);
    delayMs += waiting * kSlotHoldMs / static_cast<double>(candidate.slots);
  }
  const auto needed =
      static_cast<double>(tokensAt(candidate) + request.promptTokens + request.outputTokens);
  const double usableMemory = static_cast<double>(candidate.memoryTokens) * kMemoryFraction;
  if (candidate.memoryTokens > 0 && needed > usableMemory) {
    delayMs += kMemoryWaitMs * needed / usableMemory;
  }
  return delayMs;
}

double expectedWaitMs(const Candidate& candidate) {
  const RouteRequest anyRequest;
  return queueDelayMs(candidate) + admissionDelayMs(anyRequest, candidate);
}

double slotWaitMs(const Candidate& candidate) {
  /// Time that such a request occupies its slot. An estimate between the 15 and 60 ms of work that
  /// deployments report; it only determines how long a queue is tolerated before another region is
  /// used.
  constexpr double kSlotHoldMs = 40;
  const std::size_t requests = requestsAt(candidate);
  if (candidate.slots == 0 || requests < candidate.slots) {
    return 0;
  }
  const auto waiting = static_cast<double>(requests - candidate.slots + 1);
  return waiting * kSlotHoldMs / static_cast<double>(candidate.slots);
}

double streamPauseMs(const Candidate& candidate, std::size_t uncached) {
  /// Milliseconds of this request's wait that cost as much as one late stream. This gains 0.004 of
  /// a normal day's value and 0.008 of the value of days with failures where 90 engines run streams
  /// with an allowed pause of 600 ms (one run each, processor time not included).
  constexpr double kMsPerStream = 100;
  /// Engines are slightly slower than the learnt rate while many requests run, and nodes learn of
  /// each other's prompts late.
  constexpr double kBoundFraction = 0.7;
  if (candidate.maxStreamPauseMs <= 0) {
    return 0;
  }
  const auto tokens = static_cast<double>(prefillTokensAt(candidate) + uncached);
  const bool pauses =
      tokens / candidate.prefillTokensPerMs > kBoundFraction * candidate.maxStreamPauseMs;
  return pauses ? kMsPerStream * static_cast<double>(requestsAt(candidate)) : 0;
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
