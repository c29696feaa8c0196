#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/hashing.h"
#include "common/ids.h"
#include "common/priority.h"

/// Routing policies: which back end serves a request. The same code runs in the live router and in
/// the virtual-time replay; nothing here reads a clock or does I/O.
namespace calicodrift::routing {

/// What a policy may know of a request.
struct RouteRequest {
  TenantId tenant;
  ModelId model;
  Priority priority = Priority::kNormal;
  /// Chain hashes of the prompt's whole blocks.
  std::vector<BlockHash> blocks;
  std::size_t promptTokens = 0;
  std::size_t outputTokens = 0;
};

/// What a router believes of one usable back end at this moment.
struct Candidate {
  BackendId id;
  /// Beliefs about its cache hold for this incarnation only.
  Incarnation incarnation;
  WeightsVersion weights;
  /// Requests that this router has dispatched and not yet seen the end of.
  std::size_t outstanding = 0;
  /// Prompt and output tokens of those requests.
  std::size_t outstandingTokens = 0;
  /// Requests waiting or running there by its own report, which lags.
  std::size_t reportedRequests = 0;
};

using Candidates = std::vector<Candidate>;
using Random = std::mt19937_64;

/// A policy's decision.
struct Choice {
  /// Position in the candidates.
  std::size_t index = 0;
  /// Blocks of the request that the policy believes to be cached there.
  std::size_t expectedCachedBlocks = 0;
  /// For `explain`: why this one.
  std::string_view reason;
};

/// Chooses a back end for a request. One policy a file; the bundle names it by its class's name.
class Policy {
 public:
  virtual ~Policy() = default;
  /// The class's name, as in the bundle.
  virtual std::string_view name() const = 0;
  /// @param candidates usable back ends of the request's model; never empty.
  virtual Choice choose(const RouteRequest& request, const Candidates& candidates,
                        MonotonicTime now) = 0;
  /// The request left for the chosen back end.
  virtual void onDispatched(const RouteRequest& /*request*/, const Candidate& /*backend*/,
                            MonotonicTime /*now*/) {}
  /// The back end is gone or came back as another incarnation; every belief about it is void.
  virtual void onBackendLost(const BackendId& /*backend*/) {}
};

/// Makes a policy by its name, or null for an unknown one.
/// @param seed for the policies that draw random numbers; equal seeds give equal decisions.
std::unique_ptr<Policy> makePolicy(std::string_view name, std::uint64_t seed);

/// Names of all policies, in the order of the documentation.
const std::vector<std::string_view>& policyNames();

}  // namespace calicodrift::routing
