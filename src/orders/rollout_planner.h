#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "bundle/bundle.h"
#include "common/clock.h"
#include "orders/engine_order.h"

namespace calicodrift::orders {

struct RolloutSettings {
  /// An engine that is unreachable, or whose answer to a load order was lost, counts as loading for
  /// this time; after it, the engine no longer delays the others.
  Milliseconds loadTimeout{10000};
  /// Minimum time between load orders to the same engine after a failed load.
  Milliseconds retryInterval{2000};
};

/// State of an engine as found by the lease holder's survey.
struct SurveyedEngine {
  BackendId id;
  ModelId model;
  /// Marked as terminating in the machine list: it gets no order and is not counted as capacity.
  bool leaving = false;
  /// Empty if the engine did not answer.
  std::optional<EngineReport> report;
};

/// Desired weights of the fleet's engines, and the limits of the roll-out.
struct RolloutGoal {
  struct Model {
    ModelId id;
    WeightsVersion weights;
    /// Minimum percentage of the model's engines that must accept requests during the roll-out.
    std::int64_t minUsablePercent = 0;
  };
  std::int64_t maxConcurrentLoads = 1;
  std::vector<Model> models;
};

RolloutGoal goalOf(const bundle::Bundle& bundle);

struct LoadOrder {
  BackendId engine;
  Incarnation incarnation;
  WeightsVersion weights;
};

/// Number of engines of all models by state of the roll-out.
struct RolloutProgress {
  std::size_t atDesired = 0;
  std::size_t waiting = 0;
  std::size_t loading = 0;
  std::size_t unreachable = 0;
  /// Engines that could load now if the capacity rule allowed it.
  std::size_t heldForCapacity = 0;
};

/// Decides which engines load other weights now. All required state is read from the bundle and the
/// engines, so that the next lease holder continues where the last one stopped.
///
/// Invariants:
/// - At most `max_concurrent_loads` engines load at once, over all models. Engines that may be
///   loading without the holder's knowledge (unreachable, or the answer to an order was lost)
///   count.
/// - Of a model's engines that answer and are not leaving, at least `min_usable_percent` accept
///   requests.
class RolloutPlanner {
 public:
  explicit RolloutPlanner(RolloutSettings settings) : settings_(settings) {}

  /// Starts a new lease tenure: discards the state of an earlier one.
  void beginTenure();
  /// @param engines all engines of the goal's models, each polled in this tenure.
  std::vector<LoadOrder> plan(const RolloutGoal& goal, const std::vector<SurveyedEngine>& engines,
                              MonotonicTime now);
  std::vector<LoadOrder> plan(const bundle::Bundle& bundle,
                              const std::vector<SurveyedEngine>& engines, MonotonicTime now) {
    return plan(goalOf(bundle), engines, now);
  }
  /// Records that the engine answered the order, with whatever result; later reports show its
  /// effect.
  void onOrderAnswered(const BackendId& engine);
  const RolloutProgress& progress() const { return progress_; }

 private:
  struct EngineState {
    /// Since when the engine hasn't answered.
    std::optional<MonotonicTime> unreachableSince;
    std::optional<MonotonicTime> orderedAt;
    LoadOrder order;
    /// Whether its last report in this tenure showed no load, and no order was sent since. As the
    /// engine refuses orders of earlier holders after that report, it can't be loading even if it
    /// does not respond.
    bool knownIdle = false;
    /// Whether the engine's reports show the result of the order, or the order can't take effect
    /// any more.
    bool orderResolved = true;
  };

  void removeOtherEngines(const std::vector<SurveyedEngine>& engines);
  void observe(const SurveyedEngine& engine, MonotonicTime now);
  bool mayBeLoading(const SurveyedEngine& engine, MonotonicTime now) const;
  bool mayOrder(const SurveyedEngine& engine, WeightsVersion desired, MonotonicTime now) const;
  void planModel(const RolloutGoal::Model& model, const std::vector<SurveyedEngine>& engines,
                 std::size_t& budget, MonotonicTime now, std::vector<LoadOrder>& orders);

  RolloutSettings settings_;
  std::map<BackendId, EngineState> engineStates_;
  RolloutProgress progress_;
};

}  // namespace calicodrift::orders
