#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/running_statistics.h"
#include "routing/policy.h"

namespace calicodrift::router {

/// Why one attempt of a request went where it went.
struct Decision {
  RequestId request;
  Attempt attempt;
  std::string policy;
  std::string reason;
  routing::Candidate backend;
  std::size_t blocks = 0;
  std::size_t expectedCachedBlocks = 0;
  std::size_t candidates = 0;
};

/// The newest decisions of this node, for `calicodriftctl explain`. Bounded: the oldest is
/// overwritten.
class DecisionLog {
 public:
  static constexpr std::size_t kCapacity = 2048;

  void record(Decision decision);
  /// JSON list of the request's decisions that are still kept, oldest first; "[]" for none.
  std::string explain(const RequestId& request) const;

 private:
  std::vector<Decision> ring_;
  std::size_t next_ = 0;
};

/// What the completed requests of each policy met, for `calicodriftctl policy report`.
class ArmStatistics {
 public:
  /// @param firstTokenMs negative where no token was sent.
  void add(const std::string& policy, std::size_t promptTokens, std::size_t cachedTokens,
           double firstTokenMs);
  /// JSON object from policy to its figures.
  std::string toJson() const;

 private:
  struct Arm {
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    RunningStatistics hitRatio;
    RunningStatistics firstTokenMs;
  };
  std::map<std::string, Arm> arms_;
};

}  // namespace calicodrift::router
