#pragma once

#include <cstdint>
#include <functional>
#include <unordered_set>
#include <vector>

#include "common/ids.h"
#include "replay/event_queue.h"
#include "sim/engine_model.h"

namespace calicodrift::replay {

/// What an engine says of its load.
struct LoadReport {
  bool alive = false;
  Incarnation incarnation;
  std::size_t requests = 0;
  std::size_t prefillTokens = 0;
};

/// An engine model in virtual time. A crash loses its requests and its cache; it comes back as
/// another incarnation.
class VirtualEngine {
 public:
  struct Callbacks {
    std::function<void(const sim::TokenEvent&)> onToken;
    /// Cache events in order, gathered over a short time.
    std::function<void(const std::vector<sim::CacheEvent>&)> onCacheEvents;
  };

  VirtualEngine(EventQueue& queue, BackendId id, std::size_t zone,
                sim::EngineModelSettings settings, Callbacks callbacks);

  const BackendId& id() const { return id_; }
  std::size_t zone() const { return zone_; }
  Incarnation incarnation() const { return incarnation_; }
  bool alive() const { return alive_; }
  bool holds(BlockHash block) const { return alive_ && model_.holds(block); }
  LoadReport report() const;

  /// False where the engine is down or is another incarnation than the one expected: not run.
  bool submit(const sim::EngineRequest& request, Incarnation expected);
  /// Gives the ids of the requests that are lost.
  std::vector<std::uint64_t> crash();
  void restart();

 private:
  void startStep();
  void finishStep();
  void publishCacheEvents();

  EventQueue& queue_;
  BackendId id_;
  std::size_t zone_;
  sim::EngineModelSettings settings_;
  Callbacks callbacks_;
  sim::EngineModel model_;
  Incarnation incarnation_{1};
  bool alive_ = true;
  bool stepping_ = false;
  std::unordered_set<std::uint64_t> inFlight_;
  std::vector<sim::CacheEvent> unpublished_;
};

}  // namespace calicodrift::replay
