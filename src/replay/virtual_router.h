#pragma once

#include <memory>
#include <optional>
#include <string_view>

#include "replay/virtual_engine.h"
#include "routing/policy.h"

namespace calicodrift::replay {

/// A router's part in the replay: its own view of the engines and an instance of the real policy.
/// Routers share nothing.
class VirtualRouter {
 public:
  VirtualRouter(std::string_view policy, std::uint64_t seed, std::size_t zone);

  std::size_t zone() const { return zone_; }
  /// The chosen engine as this router sees it, or nothing where it knows no usable one.
  std::optional<routing::Candidate> dispatch(const routing::RouteRequest& request,
                                             MonotonicTime now);
  void attemptEnded(const routing::RouteRequest& request, const BackendId& engine);
  void completed(const routing::RouteRequest& request, const routing::Candidate& engine,
                 std::size_t cachedTokens, MonotonicTime now);
  void engineLost(const BackendId& engine);
  void applyReport(const BackendId& engine, const LoadReport& report);
  void applyCacheEvents(const routing::CacheEventBatch& batch, MonotonicTime now);

 private:
  std::size_t zone_;
  std::unique_ptr<routing::Policy> policy_;
  routing::CandidateSet candidates_;
};

}  // namespace calicodrift::replay
