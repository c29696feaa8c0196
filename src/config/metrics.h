#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "common/error.h"
#include "metrics/metrics.h"

namespace calicodrift::config {

/// Origin of a bundle.
enum class BundleSource { kStore, kPeer };
std::string_view toString(BundleSource source);

/// All metrics of the config module.
class ConfigMetrics {
 public:
  explicit ConfigMetrics(prometheus::Registry& registry);

  void countAdopted(BundleSource source);
  /// Counts a bundle that was offered but rejected, unless it was merely not newer.
  void countRejected(BundleSource source, ErrorKind kind);
  /// Counts a read or watch of the store; the outcome is "ok", "compacted", "restored" or
  /// "unavailable".
  void countStoreRead(std::string_view outcome);
  /// Counts a read in which the store held an older version than this node had before the read.
  void countStoreBehind() { storeBehind_.Increment(); }
  /// Counts a different text found elsewhere under the active version.
  void countContradiction() { contradictions_.Increment(); }
  void countSent(std::string_view message, std::size_t bytes);
  /// Counts a transfer that led to an adoption; the form is "delta" or "whole".
  void countTransfer(std::string_view form, std::size_t bytes);
  /// Counts a request for pieces that was dropped because of the serving limit.
  void countServingBound() { servingBound_.Increment(); }
  void setConfirmed(bool confirmed) { confirmed_.Set(confirmed ? 1 : 0); }
  void setConfirmationAge(double seconds) { confirmationAge_.Set(seconds); }
  void setWatcher(bool watcher) { watcher_.Set(watcher ? 1 : 0); }

 private:
  prometheus::Family<prometheus::Counter>& adopted_;
  prometheus::Family<prometheus::Counter>& rejected_;
  prometheus::Family<prometheus::Counter>& storeReads_;
  prometheus::Counter& storeBehind_;
  prometheus::Counter& contradictions_;
  prometheus::Family<prometheus::Counter>& sentMessages_;
  prometheus::Family<prometheus::Counter>& sentBytes_;
  prometheus::Family<prometheus::Counter>& transfers_;
  prometheus::Family<prometheus::Counter>& transferBytes_;
  prometheus::Counter& servingBound_;
  prometheus::Gauge& confirmed_;
  prometheus::Gauge& confirmationAge_;
  prometheus::Gauge& watcher_;
};

}  // namespace calicodrift::config
