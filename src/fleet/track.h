#pragma once

#include <cstddef>
#include <cstdint>

namespace calicodrift::fleet {

/// Distinguishes the two versions of a service while a rollout order is in progress.
enum class Track : std::uint8_t { kStable, kCandidate };
inline constexpr std::size_t kTrackCount = 2;

}  // namespace calicodrift::fleet
