#pragma once

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"
#include "common/ids.h"
#include "common/priority.h"

/// Replay of recorded traces in virtual time.
namespace calicodrift::replay {

/// Prompt tokens in one block of a trace.
inline constexpr std::size_t kTraceBlockTokens = 512;

/// One line of a Mooncake-style trace file.
struct TraceRequest {
  std::int64_t timestampMs = 0;
  std::size_t inputLength = 0;
  std::size_t outputLength = 0;
  /// Ids of the prompt's blocks of kTraceBlockTokens; equal leading ids are a shared prefix.
  std::vector<std::uint64_t> hashIds;
  TenantId tenant{"default"};
  ModelId model{"default"};
  Priority priority = Priority::kNormal;
  bool repeatable = true;

  bool operator==(const TraceRequest&) const = default;
};

using Trace = std::vector<TraceRequest>;

/// Reads a trace, one JSON object a line; empty lines are skipped and the result is ordered by
/// time. Fails with kMalformedRequest at the first bad line; the detail names its number.
Result<Trace> readTrace(std::istream& input);
/// Parses one line. Fails with kMalformedRequest.
Result<TraceRequest> parseTraceLine(std::string_view line);
std::string toTraceLine(const TraceRequest& request);

/// The whole blocks of the prompt as chain hashes, scoped by tenant and model.
std::vector<BlockHash> blocksOf(const TraceRequest& request);

}  // namespace calicodrift::replay
