#pragma once

#include <string>

#include "common/error.h"
#include "common/ids.h"

namespace calicodrift::router {

/// What a back end echoes in X-Attempt, so that its answer is matched to this one dispatch. The
/// attempt's number alone would not do: callers choose their request ids, two may choose the same,
/// and a resumed request counts its attempts from 1 again on another router.
/// @return "ATTEMPT-RANDOM"; the random part has 64 bits and is new for each dispatch.
std::string makeDispatchId(Attempt attempt);

/// The error to answer with, so that its run statement stays true over all attempts of a request.
/// @param mayHaveRun whether an earlier attempt may have run; then a "run: no" of the last attempt
/// holds for that attempt only, and the answer becomes kOutcomeUnknown.
Error overAllAttempts(const Error& last, bool mayHaveRun);

}  // namespace calicodrift::router
