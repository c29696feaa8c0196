#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "common/error.h"
#include "metrics/metrics.h"

namespace calicodrift::config {

/// Where a bundle came from.
enum class BundleSource { kStore, kPeer };
std::string_view toString(BundleSource source);

/// All counters of the config module.
class ConfigMetrics {
 public:
  explicit ConfigMetrics(prometheus::Registry& registry);

  void countAdopted(BundleSource source);
  /// A bundle that was offered and not adopted. One that is merely not newer doesn't count.
  void countRejected(BundleSource source, ErrorKind kind);
  /// A read or watch of the store: "ok", "compacted", "restored", "unavailable".
  void countStoreRead(std::string_view outcome);
  /// The store held an older version than this node had before it asked.
  void countStoreBehind() { storeBehind_.Increment(); }
  /// Somebody has another text under the version in force here.
  void countContradiction() { contradictions_.Increment(); }
  void countSent(std::string_view message, std::size_t bytes);
  /// A transfer that led to an adoption: "delta" or "whole".
  void countTransfer(std::string_view form, std::size_t bytes);
  /// A request for pieces that was left unanswered because the bound on serving was reached.
  void countServingBound() { servingBound_.Increment(); }
  void setVouched(bool vouched) { vouched_.Set(vouched ? 1 : 0); }
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
  prometheus::Gauge& vouched_;
  prometheus::Gauge& confirmationAge_;
  prometheus::Gauge& watcher_;
};

}  // namespace calicodrift::config
