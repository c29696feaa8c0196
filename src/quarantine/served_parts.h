#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>
#include <utility>

#include "common/clock.h"
#include "quarantine/fingerprint.h"

namespace calicodrift::quarantine {

/// Parts of prompts that servers have lately answered soundly at this node, the least recently
/// served evicted first.
class ServedParts {
 public:
  static constexpr std::size_t kMaxParts = 4096;
  /// Parts that were not served for this long may have changed their effect on servers.
  static constexpr Milliseconds kMemory{60'000};

  void record(const PartFingerprint& part, MonotonicTime now) {
    const auto known = places_.find(part);
    if (known != places_.end()) {
      known->second->second = now;
      recent_.splice(recent_.begin(), recent_, known->second);
      return;
    }
    recent_.emplace_front(part, now);
    places_[part] = recent_.begin();
    if (recent_.size() > kMaxParts) {
      places_.erase(recent_.back().first);
      recent_.pop_back();
    }
  }
  bool contains(const PartFingerprint& part, MonotonicTime now) const {
    const auto known = places_.find(part);
    return known != places_.end() && now - known->second->second <= kMemory;
  }

 private:
  struct Hash {
    std::size_t operator()(const PartFingerprint& part) const { return part.low; }
  };
  using Entries = std::list<std::pair<PartFingerprint, MonotonicTime>>;

  /// The most recently served first.
  Entries recent_;
  std::unordered_map<PartFingerprint, Entries::iterator, Hash> places_;
};

}  // namespace calicodrift::quarantine
