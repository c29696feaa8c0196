#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "gateway/store_schema.h"
#include "store/object_store.h"
#include "weights/weights_targets.h"

namespace calicodrift::gateway {

/// What the recorder needs of the node; outlives it.
struct WeightsFloorContext {
  boost::asio::any_io_executor executor;
  store::ObjectStore& store;
  const StoreSchema& schema;
  const weights::WeightsTargets& targets;
  /// By model, as this node read it last.
  std::function<const std::map<ModelId, StoredWeights>&()> stored;
  /// Whether this node reads the store itself; one or two of a group do.
  std::function<bool()> mayWrite;
};

/// Keeps in the store which weights have run out, beside their naming, as no node's memory outlives
/// a restart of all nodes. A node reads it with the naming, in the same call.
///
/// Without it a node that restarts together with all others uses every version that servers hold
/// for WeightsTargets::kDiscoveredTerm, also those that expired long before. A naming costs one or
/// two writes a group of relays, and one change that all nodes read.
///
/// Invariant: a floor only rises, and is at most what all nodes have abandoned: what is written is
/// known for certain (WeightsTargets::confirmedLeast), on condition that the object is as it was
/// read.
class WeightsFloorRecorder {
 public:
  /// @param seed spreads the writes of several nodes.
  WeightsFloorRecorder(WeightsFloorContext context, std::uint64_t seed);

  void start();

 private:
  boost::asio::awaitable<void> run();
  /// Writes the model's floor where the store lacks it.
  boost::asio::awaitable<void> record(ModelId model);
  /// Models whose floor the store lacks.
  std::vector<ModelId> lacking() const;
  /// The model's floor; nothing where the store has it.
  std::optional<WeightsVersion> missing(const ModelId& model) const;
  Milliseconds pauseAfterWrites() const;
  Milliseconds delay() const;

  WeightsFloorContext context_;
  std::uint64_t seed_;
  /// Writes that failed since the last one that did not.
  unsigned failures_ = 0;
};

}  // namespace calicodrift::gateway
