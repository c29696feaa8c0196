#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "common/ids.h"

namespace calicodrift::forward {

/// Dispatches that their servers have not begun, so that those waiting for weights that must not be
/// used any more can be recalled. A node's estimate of a server's queue at sending is seconds too
/// low while servers are slow or silent, so only recalling enforces the bound on starts with
/// outdated weights. Does no I/O.
class WaitingDispatches {
 public:
  /// Cancels the dispatch.
  using Recall = std::function<void()>;
  struct Waiting {
    ModelId model;
    WeightsVersion weights;
    Recall recall;
  };
  using List = std::map<std::uint64_t, Waiting>;

  /// Registers a dispatch for the guard's lifetime, or until end(). May outlive the list, as
  /// happens to a dispatch that is cut off by a planned shutdown.
  class Guard {
   public:
    Guard(WaitingDispatches& list, const ModelId& model, WeightsVersion weights, Recall recall);
    ~Guard() { end(); }
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;
    /// Removes the dispatch because the server has begun. Safe at any time.
    void end();

   private:
    std::weak_ptr<List> list_;
    std::uint64_t number_;
  };

  /// Recalls all dispatches of the model that wait for weights below `least`.
  /// @return the number of dispatches.
  std::size_t recall(const ModelId& model, WeightsVersion least);
  std::size_t size() const { return waiting_->size(); }

 private:
  std::shared_ptr<List> waiting_ = std::make_shared<List>();
  std::uint64_t next_ = 0;
};

}  // namespace calicodrift::forward
