#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "common/clock.h"

namespace calicodrift::testing {

/// Faults of one thing, which may overlap. Tells at any moment since when it has been free of them.
class FaultSpans {
 public:
  /// @param settle after a fault's end, until the thing counts as free of it.
  explicit FaultSpans(Milliseconds settle) : settle_(settle) {}

  void begin() { ++active_; }
  void end() {
    --active_;
    calmSince_ = monotonicNow() + settle_;
  }
  /// Nothing while a fault is active. In the future while the thing settles.
  std::optional<MonotonicTime> calmSince() const {
    return active_ > 0 ? std::nullopt : std::optional(calmSince_);
  }

 private:
  Milliseconds settle_;
  std::size_t active_ = 0;
  MonotonicTime calmSince_ = monotonicNow() + settle_;
};

/// One fault, from its making to its end.
class FaultSpan {
 public:
  explicit FaultSpan(FaultSpans& spans) : spans_(spans) { spans_.begin(); }
  ~FaultSpan() { spans_.end(); }
  FaultSpan(const FaultSpan&) = delete;
  FaultSpan& operator=(const FaultSpan&) = delete;

 private:
  FaultSpans& spans_;
};

}  // namespace calicodrift::testing
