#pragma once

#include <optional>
#include <string_view>

namespace calicodrift {

/// Urgency of a request; a lower value goes first.
enum class Priority { kHigh = 0, kNormal = 1, kLow = 2 };

constexpr std::string_view toString(Priority priority) {
  switch (priority) {
    case Priority::kHigh:
      return "high";
    case Priority::kNormal:
      return "normal";
    case Priority::kLow:
      return "low";
  }
  return "normal";
}

constexpr std::optional<Priority> parsePriority(std::string_view text) {
  for (const Priority priority : {Priority::kHigh, Priority::kNormal, Priority::kLow}) {
    if (toString(priority) == text) {
      return priority;
    }
  }
  return std::nullopt;
}

}  // namespace calicodrift
