#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "common/ids.h"

namespace calicodrift::forward {

/// Dispatches that their servers have not begun with, so that those which wait for weights that
/// must not be used any more can be taken back. What a node believes of a server's queue when it
/// sends is too low by seconds while servers are slow or silent, so that only this keeps the bound
/// on beginnings. No I/O.
class WaitingDispatches {
 public:
  /// Ends the dispatch.
  using Recall = std::function<void()>;
  struct Waiting {
    ModelId model;
    WeightsVersion weights;
    Recall recall;
  };
  using List = std::map<std::uint64_t, Waiting>;

  /// Lists a dispatch for as long as it lives, or until end(). May outlive the list, as a dispatch
  /// that a planned stop cuts does.
  class Guard {
   public:
    Guard(WaitingDispatches& list, const ModelId& model, WeightsVersion weights, Recall recall);
    ~Guard() { end(); }
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;
    /// The server has begun. Safe at any time.
    void end();

   private:
    std::weak_ptr<List> list_;
    std::uint64_t number_;
  };

  /// Takes back all dispatches of the model that wait for weights below `least`.
  /// @return how many.
  std::size_t recall(const ModelId& model, WeightsVersion least);
  std::size_t size() const { return waiting_->size(); }

 private:
  std::shared_ptr<List> waiting_ = std::make_shared<List>();
  std::uint64_t next_ = 0;
};

}  // namespace calicodrift::forward
