#pragma once

#include <cstddef>
#include <cstdint>

namespace calicodrift::fleet {

/// The two versions of a service that are told apart while an order to move it is under way.
enum class Track : std::uint8_t { kStable, kCandidate };
inline constexpr std::size_t kTracks = 2;

}  // namespace calicodrift::fleet
