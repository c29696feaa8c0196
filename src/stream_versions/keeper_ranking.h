#pragma once

#include <cstddef>
#include <vector>

#include "common/endpoint.h"
#include "stream_versions/messages.h"

namespace calicodrift::stream_versions {

/// The first `count` of the keepers in the order in which they keep the stream's record. The order
/// depends on the stream and the endpoints only (rendezvous hashing), so that nodes with the same
/// list agree, and a node that comes or goes moves only its own records.
std::vector<Endpoint> rankedKeepers(const std::vector<Endpoint>& keepers, StreamKey stream,
                                    std::size_t count);

}  // namespace calicodrift::stream_versions
