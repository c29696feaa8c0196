#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"

namespace calicodrift::config {

/// One step of a patch: bytes copied from the base, then bytes of its own.
struct PatchStep {
  std::uint32_t copyOffset = 0;
  std::uint32_t copyLength = 0;
  std::string literal;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(copyOffset, copyLength, literal);
  }
};

/// How to make one text out of another.
struct TextPatch {
  std::vector<PatchStep> steps;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(steps);
  }
};

/// Largest text that a patch may make; a broken one can't fill the memory.
inline constexpr std::size_t kMaxTextBytes = 8'388'608;

/// A patch that makes `target` out of `base`; with an empty base it holds the whole text. Compares
/// the members of the JSON text (cut after ',', '}' and line ends) in time linear in both lengths.
TextPatch makePatch(std::string_view base, std::string_view target);

/// Fails with kProtocolViolation where a step leaves the base or the result grows too large.
Result<std::string> applyPatch(std::string_view base, const TextPatch& patch);

}  // namespace calicodrift::config
