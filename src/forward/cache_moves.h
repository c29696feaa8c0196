#pragma once

#include <optional>

#include "common/clock.h"
#include "common/endpoint.h"
#include "common/ids.h"

namespace calicodrift::forward {

struct CacheMoveSettings {
  /// A view of the named weights that is older may miss that a roll-out has begun.
  Milliseconds weightsProofAge{1200};
};

/// What decides about moves for one dispatch.
struct CacheMoveQuery {
  /// Weights of the chosen server, and the newest that were named.
  WeightsVersion serverWeights;
  std::optional<WeightsVersion> newestWeights;
  /// When that was proven.
  MonotonicTime weightsProvenAt{};
  /// A server that is believed to hold the common part, with its weights.
  std::optional<Endpoint> holder;
  WeightsVersion holderWeights;
  /// The store of kept cache, if it answers.
  std::optional<Endpoint> store;
  /// Whether other requests may share a part of the prompt.
  bool sharesPrompt = false;
};

struct CacheMove {
  std::optional<Endpoint> fetchFrom;
  std::optional<Endpoint> saveTo;
};

/// Decides which cache is moved between model servers and the store of kept cache.
///
/// Invariant: no cache is fetched that other weights than the request's may have made. Cache is
/// found only under a scope that names the weights, and what a server makes under a scope could be
/// of other weights only while it loads newer ones. So nothing is moved once newer weights are
/// named, nor where that could have happened unseen; orders to load wait longer than that after the
/// naming (WeightsRolloutSettings::settleTime).
class CacheMoves {
 public:
  explicit CacheMoves(CacheMoveSettings settings) : settings_(settings) {}

  CacheMove decide(const CacheMoveQuery& query, MonotonicTime now) const;

 private:
  CacheMoveSettings settings_;
};

}  // namespace calicodrift::forward
