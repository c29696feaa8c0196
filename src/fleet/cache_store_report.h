#pragma once

#include <cstdint>

namespace calicodrift::fleet {

/// State of a KV cache store as observed by one node, exchanged between nodes.
struct CacheStoreReport {
  /// Hash of the store's address.
  std::uint64_t store = 0;
  /// Changes when the store restarts empty; 0 if it has never answered.
  std::uint64_t epoch = 0;
  bool answers = false;
  /// Start time of the store's process, by which delayed reports of an earlier process are
  /// recognized; 0: unknown.
  std::uint64_t started = 0;

  bool operator==(const CacheStoreReport&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(store, epoch, answers, started);
  }
};

}  // namespace calicodrift::fleet
