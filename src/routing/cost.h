#pragma once

#include "routing/policy.h"

/// Estimates, in milliseconds, of what makes a caller wait for the first token.
namespace calicodrift::routing {

/// Time until the engine has prefilled what waits there: its lagging report and what this router
/// has sent since. Each request beside adds a little for its decode work.
double queueDelayMs(const Candidate& candidate);

/// Time that the request would wait for a place in the batch and for memory: nothing while both are
/// free. Where memory runs out, engines break off requests and read them anew, so that a place
/// without room is worse than any queue.
double admissionDelayMs(const RouteRequest& request, const Candidate& candidate);

/// Time that a request of any size would wait for its first place, as far as routers know: its
/// queue and a place in the batch.
double expectedWaitMs(const Candidate& candidate);

/// Time that requests of an ordinary service wait for a place, by the routers' counts: nothing
/// while one is free.
double slotWaitMs(const Candidate& candidate);

/// What it costs that the streams which run there stand still while a prompt is prefilled, for a
/// longer time than they may: an engine prefills long prompts between the tokens of all that run.
/// @param uncached tokens of the request's own prompt to prefill there.
double streamPauseMs(const Candidate& candidate, std::size_t uncached);

/// Mean over all candidates of the time until what waits there is prefilled.
double meanQueueMs(const CandidateSet& candidates);

/// Time to prefill the prompt where `cachedBlocks` of it are cached.
double prefillMs(const RouteRequest& request, const Candidate& candidate, std::size_t cachedBlocks);

/// Prompt tokens that are not covered by `cachedBlocks`.
std::size_t uncachedTokens(const RouteRequest& request, std::size_t cachedBlocks);

}  // namespace calicodrift::routing
