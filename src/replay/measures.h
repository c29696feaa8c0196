#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/priority.h"
#include "replay/trace.h"

namespace calicodrift::replay {

/// Times to first token, in milliseconds.
class LatencySample {
 public:
  void add(double milliseconds) { values_.push_back(milliseconds); }
  std::size_t count() const { return values_.size(); }
  /// Nearest-rank percentile; 0 for an empty sample. @param percent from 0 to 100.
  double percentile(double percent) const;

 private:
  std::vector<double> values_;
};

/// The outcome of one policy on one trace. See docs/design/policies.md for each definition.
struct Measures {
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  std::uint64_t retries = 0;
  /// Of completed requests.
  std::uint64_t promptTokens = 0;
  std::uint64_t cachedTokens = 0;
  std::uint64_t prefilledTokens = 0;
  std::uint64_t wastedTokens = 0;
  /// Cache events that reached a router, over all routers.
  std::uint64_t eventsReceived = 0;
  double oracleHitRate = 0;
  /// Share of the engines' full-batch throughput that the work took.
  double engineLoad = 0;
  LatencySample firstToken;
  std::map<std::string, LatencySample> firstTokenByTenant;
  std::map<Priority, LatencySample> firstTokenByPriority;

  double prefixHitRate() const;
};

}  // namespace calicodrift::replay
