#pragma once

#include "routing/policy.h"

/// Estimates of the components of the time to first token, in milliseconds.
namespace calicodrift::routing {

/// Time until the engine has prefilled its queue: its lagging report and what routers have sent
/// since. Each request on the engine adds a small amount for its decode work.
double queueDelayMs(const Candidate& candidate);

/// Time that the request would wait for a batch slot and for memory; 0 while both are available.
/// When memory runs out, engines preempt requests and prefill them again, so a free slot without
/// memory is worse than any queue.
double admissionDelayMs(const RouteRequest& request, const Candidate& candidate);

/// Time that a request of any size would wait before it begins, as far as routers know: the prefill
/// queue and the wait for a batch slot.
double expectedWaitMs(const Candidate& candidate);

/// Time that requests of a service without models wait for a slot, by the routers' counts; 0 while
/// a slot is free.
double slotWaitMs(const Candidate& candidate);

/// Cost of pausing the running streams for longer than allowed while a prompt is prefilled: an
/// engine prefills long prompts between the tokens of all running streams.
/// @param uncached tokens of the request's own prompt to prefill on the candidate.
double streamPauseMs(const Candidate& candidate, std::size_t uncached);

/// Mean time over all candidates until their queued prompts are prefilled.
double meanQueueMs(const CandidateSet& candidates);

/// Time to prefill the prompt if `cachedBlocks` of it are cached.
double prefillMs(const RouteRequest& request, const Candidate& candidate, std::size_t cachedBlocks);

/// Prompt tokens that are not covered by `cachedBlocks`.
std::size_t uncachedTokens(const RouteRequest& request, std::size_t cachedBlocks);

}  // namespace calicodrift::routing
