#pragma once

#include <string>

#include "http/message.h"
#include "sim/engine_cache_feed.h"
#include "sim/engine_model.h"

/// The engine stand-in's HTTP forms of cache events and of KV export and import.
namespace calicodrift::sim {

/// GET /cache/events?after=SEQUENCE. The answer names the incarnation and weights version, since an
/// event is worth nothing without them.
http::Response cacheEventsResponse(const http::Request& request, const EngineCacheFeed& feed,
                                   Incarnation incarnation, WeightsVersion weights,
                                   MonotonicTime now);
/// GET /kv/export?blocks=HASH,HASH: those of the blocks that the engine holds.
http::Response kvExportResponse(const http::Request& request, const EngineModel& model,
                                WeightsVersion weights);
/// POST /kv/import with an export's body. Refused with 412 where it is of other weights.
http::Response kvImportResponse(const http::Request& request, EngineModel& model,
                                WeightsVersion weights);

}  // namespace calicodrift::sim
