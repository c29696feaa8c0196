#include "replay/virtual_engine.h"

#include <algorithm>
#include <utility>

namespace calicodrift::replay {

VirtualEngine::VirtualEngine(EventQueue& queue, BackendId id, std::size_t zone,
                             sim::EngineModelSettings settings, Callbacks callbacks)
    : queue_(queue),
      id_(std::move(id)),
      zone_(zone),
      settings_(settings),
      callbacks_(std::move(callbacks)),
      model_(settings) {}

LoadReport VirtualEngine::report() const {
  return {alive_, incarnation_, model_.waitingRequests() + model_.runningRequests(),
          model_.pendingPrefillTokens()};
}

bool VirtualEngine::submit(const sim::EngineRequest& request, Incarnation expected) {
  if (!alive_ || expected != incarnation_) {
    return false;
  }
  inFlight_.insert(request.id);
  model_.submit(request);
  if (!stepping_) {
    startStep();
  }
  return true;
}

std::vector<std::uint64_t> VirtualEngine::crash() {
  std::vector<std::uint64_t> lost(inFlight_.begin(), inFlight_.end());
  std::sort(lost.begin(), lost.end());
  inFlight_.clear();
  unpublished_.clear();
  model_ = sim::EngineModel(settings_);
  incarnation_ = Incarnation(incarnation_.value() + 1);
  alive_ = false;
  stepping_ = false;
  return lost;
}

void VirtualEngine::restart() {
  alive_ = true;
}

void VirtualEngine::startStep() {
  stepping_ = true;
  queue_.schedule(model_.planStep(), [this, incarnation = incarnation_] {
    if (incarnation == incarnation_) {
      finishStep();
    }
  });
}

void VirtualEngine::finishStep() {
  for (const sim::TokenEvent& token : model_.finishStep()) {
    if (token.last) {
      inFlight_.erase(token.id);
    }
    callbacks_.onToken(token);
  }
  publishCacheEvents();
  stepping_ = false;
  if (!model_.idle()) {
    startStep();
  }
}

void VirtualEngine::publishCacheEvents() {
  constexpr Milliseconds kGatherTime{100};
  const std::vector<sim::CacheEvent> events = model_.takeCacheEvents();
  const bool publishing = !unpublished_.empty();
  unpublished_.insert(unpublished_.end(), events.begin(), events.end());
  if (publishing || unpublished_.empty()) {
    return;
  }
  queue_.schedule(kGatherTime, [this, incarnation = incarnation_] {
    if (incarnation == incarnation_) {
      callbacks_.onCacheEvents(std::exchange(unpublished_, {}));
    }
  });
}

}  // namespace calicodrift::replay
