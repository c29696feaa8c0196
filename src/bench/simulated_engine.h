#pragma once

#include <functional>
#include <map>

#include "bench/virtual_time.h"
#include "sim/engine_model.h"

namespace calicodrift::bench {

/// A model engine in virtual time.
class SimulatedEngine {
 public:
  using TokenListener = std::function<void(const sim::TokenEvent&)>;

  SimulatedEngine(VirtualTime& time, sim::EngineModelSettings settings)
      : time_(time), model_(settings) {}

  void submit(sim::EngineRequest request, TokenListener listener) {
    listeners_[request.id] = std::move(listener);
    model_.submit(std::move(request));
    step();
  }
  void cancel(std::uint64_t id) {
    model_.cancel(id);
    listeners_.erase(id);
  }
  /// What the engine would report of its load at this moment.
  std::size_t load() const { return model_.waitingRequests() + model_.runningRequests(); }

 private:
  void step() {
    if (stepping_ || model_.idle()) {
      return;
    }
    stepping_ = true;
    time_.schedule(model_.planStep(), [this] {
      stepping_ = false;
      deliver();
      step();
    });
  }

  void deliver() {
    for (const sim::TokenEvent& token : model_.finishStep()) {
      const auto found = listeners_.find(token.id);
      if (found == listeners_.end()) {
        continue;
      }
      const TokenListener listener = found->second;
      if (token.last) {
        listeners_.erase(found);
      }
      listener(token);
    }
  }

  VirtualTime& time_;
  sim::EngineModel model_;
  std::map<std::uint64_t, TokenListener> listeners_;
  bool stepping_ = false;
};

}  // namespace calicodrift::bench
