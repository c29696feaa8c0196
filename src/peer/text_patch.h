#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"

namespace calicodrift::peer {

/// One step of a patch: bytes copied from the base, followed by literal bytes.
struct PatchStep {
  std::uint32_t copyOffset = 0;
  std::uint32_t copyLength = 0;
  std::string literal;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(copyOffset, copyLength, literal);
  }
};

/// Patch that turns a base text into a target text.
struct TextPatch {
  std::vector<PatchStep> steps;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(steps);
  }
};

/// Maximum size in bytes of a text produced by a patch, so that a malformed patch cannot exhaust
/// memory.
inline constexpr std::size_t kMaxTextBytes = 8'388'608;

/// Creates a patch from `base` to `target`; with an empty base it contains the full text. Compares
/// the members of the JSON text (split after ',', '}' and line ends) in time linear in both
/// lengths.
TextPatch makePatch(std::string_view base, std::string_view target);

/// Applies a patch. Fails with kProtocolViolation if a step exceeds the base or the result exceeds
/// kMaxTextBytes.
Result<std::string> applyPatch(std::string_view base, const TextPatch& patch);

}  // namespace calicodrift::peer
