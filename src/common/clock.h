#pragma once

#include <chrono>

namespace calicodrift {

/// Time since an arbitrary start, never set back. State machines take it as an argument, so that
/// tests and the replay tool run them in virtual time.
using MonotonicTime = std::chrono::steady_clock::time_point;
/// Time of day, for idempotency keys only; may be off by the stated clock bound.
using WallTime = std::chrono::system_clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

inline MonotonicTime monotonicNow() {
  return std::chrono::steady_clock::now();
}
inline WallTime wallNow() {
  return std::chrono::system_clock::now();
}

/// A whole number of milliseconds as a double, for reports.
template <typename Duration>
double toMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace calicodrift
