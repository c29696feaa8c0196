#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

#include "common/ids.h"
#include "http/message.h"

/// Which weights version serves a request while a model's engines change from one to another.
namespace calicodrift::router {

/// Header by which a caller names the version of an answer that it has seen (X-Engine-Weights of
/// that answer): the "update tag" of ordered rolling updates.
inline constexpr std::string_view kSeenWeightsHeader = "X-Seen-Weights";
/// Header that names the conversation a request belongs to.
inline constexpr std::string_view kConversationHeader = "X-Conversation-Id";

/// Usable engines of one model by the version they hold.
using VersionCounts = std::map<WeightsVersion, std::size_t>;

struct VersionQuery {
  /// The version that the bundle asks for.
  WeightsVersion desired;
  /// Share of the model's engines, in percent, that is enough for all its traffic.
  std::int64_t enoughPercent = 50;
  /// Equal for all requests of one conversation that names itself.
  std::uint64_t conversation = 0;
  /// Version that the caller has seen in this conversation; 0 where unknown.
  WeightsVersion seen;
};

/// The version to serve from. All traffic goes to the desired version once enough engines have it;
/// until then a part that grows with their number, chosen by conversation, so that a conversation
/// moves over once and a moved one stays. A caller who has seen the desired version gets it as long
/// as one engine has it. Where no engine has it, the most widespread other version serves: a
/// roll-out fails no request.
WeightsVersion chooseWeights(const VersionCounts& usable, const VersionQuery& query);

/// Reads the two headers; a request that names no conversation is one of its own.
VersionQuery readVersionQuery(const http::Request& request, std::string_view prompt,
                              WeightsVersion desired, std::int64_t enoughPercent);

}  // namespace calicodrift::router
